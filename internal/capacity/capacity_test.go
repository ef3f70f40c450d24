package capacity

import (
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"runtime/debug"
	"strings"
	"testing"
)

func figure(size int, value float64) Row {
	return Row{Role: "leader", What: "bytes_sent", Size: size, Seed: 7, Value: value, Unit: "bytes/s",
		Machine: "8 cores 24 GB", Commit: "0123456789ab"}
}

func TestReadReturnsAppendedRows(t *testing.T) {
	path := filepath.Join(t.TempDir(), "capacity.csv")
	if _, err := Read(path); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("reading a missing file returns %v", err)
	}
	first, second := figure(40, 18591.25), figure(580, 1e-7)
	second.What, second.Seed = "a comma, a \"quote\"", math.MaxUint64
	for _, rows := range [][]Row{{first}, {second, first}, nil} {
		if err := Append(path, rows); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := Read(path)
	if want := []Row{first, second, first}; err != nil || !reflect.DeepEqual(rows, want) {
		t.Fatalf("%+v, %v; not %+v", rows, err, want)
	}
	if found := Select(rows, "leader", "bytes_sent"); len(found) != 2 {
		t.Fatalf("%d rows of bytes_sent, not 2", len(found))
	}
}

func TestDamagedFileIsReportedAndNotChanged(t *testing.T) {
	const header = "role,what,size,seed,value,unit,machine,commit\n"
	const good = "leader,bytes_sent,40,1,18591,bytes/s,8 cores 24 GB,0123456789ab\n"
	cases := []struct {
		name, text  string
		line        int
		field, says string
	}{
		{"empty", "", 1, "", "empty"},
		{"truncated header", "role,what,si", 1, "", "truncated"},
		{"no header", good, 1, "role", `"leader"`},
		{"header in another order", "what,role,size,seed,value,unit,machine,commit\n", 1, "role", `"what"`},
		{"header without its last column", "role,what,size,seed,value,unit,machine\n", 1, "", "number of fields"},
		{"truncated last line", header + good + strings.TrimSuffix(good, "\n"), 3, "", "truncated"},
		{"line without its last columns", header + good + "leader,bytes_s\n", 3, "", "number of fields"},
		{"additional column", header + "x," + good, 2, "", "number of fields"},
		{"size that is not a number", header + strings.Replace(good, ",40,", ",forty,", 1), 2, "size", `"forty"`},
		{"size below 0", header + strings.Replace(good, ",40,", ",-1,", 1), 2, "size", "below 0"},
		{"negative seed", header + good + strings.Replace(good, ",1,", ",-1,", 1), 3, "seed", `"-1"`},
		{"value with an unquoted comma", header + strings.Replace(good, "18591", "18,591", 1), 2, "", "number of fields"},
		{"value that is not a number", header + strings.Replace(good, "18591", "185x1", 1), 2, "value", `"185x1"`},
		{"value that is not finite", header + strings.Replace(good, "18591", "NaN", 1), 2, "value", "finite"},
		{"no unit", header + strings.Replace(good, "bytes/s", "", 1), 2, "unit", "empty"},
		{"unterminated quote", header + `"leader,` + good, 2, "", "quote"},
		{"zero bytes", header + "\x00\x00\x00\n" + good, 2, "", "number of fields"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "capacity.csv")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(path)
			var damage *FileError
			if !errors.As(err, &damage) {
				t.Fatalf("%v is not a FileError", err)
			}
			if damage.Path != path || damage.Line != c.line || damage.Field != c.field || !strings.Contains(damage.Why, c.says) {
				t.Errorf("%+v: not line %d, field %q, %q", damage, c.line, c.field, c.says)
			}
			if damage.Remedy() == "" || !strings.Contains(damage.Error(), path) {
				t.Errorf("%q, remedy %q", damage, damage.Remedy())
			}
			if err := Append(path, []Row{figure(40, 1)}); !errors.As(err, &damage) {
				t.Errorf("appending returns %v", err)
			}
			if after, _ := os.ReadFile(path); string(after) != c.text {
				t.Errorf("the file was changed to %q", after)
			}
		})
	}
}

func TestInvalidRowIsNotWritten(t *testing.T) {
	for field, spoil := range map[string]func(*Row){
		"role": func(r *Row) { r.Role = "" }, "what": func(r *Row) { r.What = "" }, "size": func(r *Row) { r.Size = -1 },
		"value": func(r *Row) { r.Value = math.Inf(1) }, "unit": func(r *Row) { r.Unit = "" },
		"machine": func(r *Row) { r.Machine = "" }, "commit": func(r *Row) { r.Commit = "" },
	} {
		path := filepath.Join(t.TempDir(), "capacity.csv")
		bad := figure(40, 1)
		spoil(&bad)
		var fault *RowError
		if err := Append(path, []Row{figure(40, 1), bad}); !errors.As(err, &fault) || fault.Field != field {
			t.Errorf("appending a row with an invalid %s returns %v", field, err)
		}
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("appending a row with an invalid %s left a file: %v", field, err)
		}
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s is %v, not %v", what, got, want)
	}
}

func TestFitLine(t *testing.T) {
	line := FitLine([]Row{figure(1, 13), figure(2, 15), figure(10, 31)})
	near(t, "intercept", line.Intercept, 11)
	near(t, "slope", line.Slope, 2)
	near(t, "residual", line.Residual, 0)
	near(t, "at 580", line.At(580), 1171)
	if line.Points != 3 {
		t.Error(line.Points, "points")
	}
	// Computed by hand: slope 5/2, mean 13/3, residuals 1/6, -1/3, 1/6.
	line = FitLine([]Row{figure(0, 2), figure(1, 4), figure(2, 7)})
	near(t, "slope", line.Slope, 2.5)
	near(t, "intercept", line.Intercept, 11./6)
	near(t, "residual", line.Residual, math.Sqrt(1./18))
	for _, rows := range [][]Row{nil, {figure(3, 4)}, {figure(3, 4), figure(3, 5)}} {
		if line := FitLine(rows); !math.IsNaN(line.Slope) || line.Points != len(rows) {
			t.Errorf("%d rows of one size give %+v", len(rows), line)
		}
	}
}

func TestFitPower(t *testing.T) {
	power := FitPower([]Row{figure(0, 5), figure(1, 3), figure(10, 300), figure(100, 30000), figure(7, 0)})
	near(t, "exponent", power.Exponent, 2)
	near(t, "factor", power.Factor, 3)
	near(t, "residual", power.Residual, 0)
	if power.Points != 3 {
		t.Error(power.Points, "points")
	}
	if power := FitPower([]Row{figure(0, 5), figure(4, 5)}); !math.IsNaN(power.Exponent) || power.Points != 1 {
		t.Errorf("one point gives %+v", power)
	}
}

func TestMachineAndCommit(t *testing.T) {
	if machine := Machine(); !strings.Contains(machine, "cores") || !strings.HasSuffix(machine, "GB") {
		t.Errorf("%q", machine)
	}
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123"}
	for want, settings := range map[string][]debug.BuildSetting{
		"unknown":              {{Key: "vcs.modified", Value: "true"}},
		"0123456789ab":         {revision, {Key: "vcs.modified", Value: "false"}},
		"0123456789ab+changes": {revision, {Key: "vcs.modified", Value: "true"}},
	} {
		if got := commitFromBuild(settings); got != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
	if commit := Commit(); commit != unknown && len(commit) < commitLength {
		t.Errorf("commit %q", commit)
	}
}

func TestExceededResourcesAreReportedWithARemedy(t *testing.T) {
	if err := errors.Join(CheckDescriptors(3), CheckMemory(1, 0.5)); err != nil {
		t.Fatal(err)
	}
	for _, err := range []error{CheckDescriptors(math.MaxInt32), CheckMemory(1e12, 0.5)} {
		var room *RoomError
		if !errors.As(err, &room) || room.Need <= room.Has || room.Has <= 0 || room.Remedy() == "" {
			t.Errorf("%v", err)
		}
	}
}
