package capacity

import (
	"errors"
	"strings"
	"testing"
)

func TestMissingTableIsSortedByRatio(t *testing.T) {
	const head = MissingHeading + "\n\ntext\n\n| Needed | Allowed | Ratio | Source |\n| --- | --- | --- | --- |\n"
	rows := []Row{figure(10, 1000), figure(20, 2000)}
	low, high := "| 1,000 | 500 | 2 | `\"leader/bytes_sent/10\"` |", "| 2,000 | 500 | 4 | `\"leader/bytes_sent/20\"` |"
	open, same := "| not measured | 500 | - | `\"leader/bytes_sent/30\"` |", "| 2,000 | 1,000 | 2 | `\"leader/bytes_sent/20\"` |"
	filled, err := FillPage(head+strings.Join([]string{open, low, high, same}, "\n")+"\n\nend", rows)
	if want := head + strings.Join([]string{high, low, same, open}, "\n") + "\n\nend"; err != nil || filled.Text != want {
		t.Errorf("%v, %s", err, filled.Text)
	}
	for _, page := range []string{MissingHeading, MissingHeading + "\n\nno table", MissingHeading + "\n| Ratio |"} {
		if filled, err := FillPage(page, rows); err != nil || filled.Text != page {
			t.Errorf("%q becomes %q, %v", page, filled.Text, err)
		}
	}
}

func TestMissing(t *testing.T) {
	const columns = "| Figure | Ratio | Source |\n| --- | --- | --- |\n"
	const others = columns + "| a | 2 | `1` |\n| b | 1.01 | `2` |\n| c | 1 | `3` |\n| d | - | `4` |\n"
	const listed = "\n" + MissingHeading + "\n\n" + columns
	for _, c := range []struct{ page, unlisted, within string }{
		{others + listed + "| a | 2 | `1` |\n| b | 1.01 | `2` |\n| d | - | `4` |\n", "", ""},
		{others + listed + "| a | 2 | `1` |\n", "| b | 1.01 | `2` |", ""},
		{others + listed + "| a | 2 | `1` |\n| b | 1.01 | `2` |\n| c | 1 | `3` |\n", "", "| c | 1 | `3` |"},
		{others + listed + "| a | 2 | `1` |\n| b | 1.01 | `2` |\n| e | 3 | `5` |\n", "", "| e | 3 | `5` |"},
		{others, "| a | 2 | `1` || b | 1.01 | `2` |", ""},
	} {
		unlisted, within := Missing(c.page)
		if strings.Join(unlisted, "") != c.unlisted || strings.Join(within, "") != c.within {
			t.Errorf("%s\n%q and %q, not %q and %q", c.page, unlisted, within, c.unlisted, c.within)
		}
	}
}

func TestFillPage(t *testing.T) {
	rows := []Row{figure(10, 1000), figure(20, 2000), figure(20, 2600), figure(20, 2100)}
	const head = "text\n| Figure | Needed | Allowed | Ratio | Source |\n| --- | --- | --- | --- | --- |\n"
	fill := func(line string) string {
		t.Helper()
		filled, err := FillPage(head+line+"\nmore", rows)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := strings.CutPrefix(filled.Text, head)
		return strings.TrimSuffix(got, "\nmore")
	}
	for line, want := range map[string]string{
		"| a | 1 bytes/s | 4,096 bytes/s | 0 | `\"leader/bytes_sent/20\"` |":              "| a | 2,100 bytes/s | 4,096 bytes/s | 0.513 | `\"leader/bytes_sent/20\"` |",
		"| a | not measured bytes/s | 70 | 0 | `most(\"leader/bytes_sent/20\") / 1000` |": "| a | 2.6 bytes/s | 70 | 0.0371 | `most(\"leader/bytes_sent/20\") / 1000` |",
		"| a | 7 | none | 9 | `least(\"leader/bytes_sent/20\")` |":                        "| a | 2,000 | none | - | `least(\"leader/bytes_sent/20\")` |",
		"| a | 7 MB | 5 | 9 | `\"leader/bytes_sent/30\"` |":                               "| a | not measured MB | 5 | - | `\"leader/bytes_sent/30\"` |",
		"| a | not measured MB | 5 | - | `slope(\"relay/bytes_sent\") * 580` |":           "| a | not measured MB | 5 | - | `slope(\"relay/bytes_sent\") * 580` |",
		"| a | 1 | 5 | - | `2 * (3 + 4) - 8 / 2` |":                                       "| a | 10 | 5 | 2 | `2 * (3 + 4) - 8 / 2` |",
	} {
		if got := fill(line); got != want {
			t.Errorf("%s\nbecomes %s\nand not %s", line, got, want)
		}
	}
	for _, line := range []string{"| a | 1 | 5 | - |", "| a | 1 | 5 | - | none |", "| a | 1 | 5 | - | `3 +` |", "| a | 1 | 5 | - | `mean(\"a/b/1\")` |",
		"| a | 1 | 5 | - | `\"a/b\"` |", "| a | 1 | 5 | - | `\"a/b/c\"` |", "| a | 1 | 5 | - | `1 / 0` |", "| a | 1 | 5 | - | `x` |",
		"| a | 1 | 5 | - | `line(\"leader/bytes_sent\")` |", "| a | 1 | 5 | - | `5 % 2` |", "| a | 1 | 5 | - | `slope(3)` |"} {
		var fault *PageError
		if _, err := FillPage(head+line, rows); !errors.As(err, &fault) || fault.Line != 4 || fault.Remedy() == "" {
			t.Errorf("%s gives %v", line, err)
		}
	}
	if _, err := FillPage("| Source |\n| --- |\n| `1` |", rows); err == nil {
		t.Error("a table without the column Needed is accepted")
	}
	plain := "| a | Source of b |\n| --- | --- |\n| 1 | 2 |"
	if filled, err := FillPage(plain, rows); err != nil || filled.Text != plain || filled.Figures != 0 {
		t.Errorf("%+v, %v", filled, err)
	}
}

func TestCurveFormulas(t *testing.T) {
	rows := []Row{figure(10, 100), figure(20, 200), figure(40, 390), figure(40, 410)}
	for formula, want := range map[string]float64{
		`slope("leader/bytes_sent")`: 10, `intercept("leader/bytes_sent")`: 0, `line("leader/bytes_sent", 580)`: 5800,
		`slope("leader/bytes_sent", 10, 20)`: 10, `line("leader/bytes_sent", 30, 10, 20)`: 300,
	} {
		got, err := Evaluate(formula, rows)
		if err != nil {
			t.Error(formula, err)
		}
		near(t, formula, got, want)
	}
	if residual, err := Evaluate(`residual("leader/bytes_sent")`, rows); err != nil || residual < 7 || residual > 7.2 {
		t.Error(residual, err)
	}
	if exponent, err := Evaluate(`exponent("leader/bytes_sent")`, rows); err != nil || exponent < 0.99 || exponent > 1.01 {
		t.Error(exponent, err)
	}
	var open *NotMeasuredError
	if _, err := Evaluate(`slope("leader/bytes_sent", 10, 30)`, rows); !errors.As(err, &open) {
		t.Error(err)
	}
}

func TestFormatFigure(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 0.00012345: "0.000123", 0.9996: "1", 1.5: "1.5", 12.34: "12.3", 123.4: "123",
		999.9: "1,000", 12345: "12,300", 2278912: "2,280,000", -45678: "-45,700", 100: "100"} {
		if got := formatFigure(value); got != want {
			t.Errorf("%v is formatted as %s, not %s", value, got, want)
		}
	}
}
