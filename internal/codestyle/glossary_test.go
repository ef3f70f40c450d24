package codestyle

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const glossaryFile = "docs/glossary.md"

// TestGlossaryNamesWhatExists checks that the files in the glossary's last column exist, and that
// they declare the identifiers in the column before.
func TestGlossaryNamesWhatExists(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repository, glossaryFile))
	if err != nil {
		t.Fatal(err)
	}
	quoted := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		files := quoted.FindAllStringSubmatch(cells[len(cells)-1], -1)
		if !strings.HasPrefix(line, "|") || len(cells) < 3 || len(files) == 0 {
			continue
		}
		rows++
		var contents strings.Builder
		for _, file := range files {
			contents.WriteString(readGoFiles(t, file[1]))
		}
		for _, name := range quoted.FindAllStringSubmatch(cells[len(cells)-2], -1) {
			if !declares(contents.String(), name[1]) {
				t.Errorf("%s: %s is not declared in %v", glossaryFile, name[1], cells[len(cells)-1])
			}
		}
	}
	if rows < 40 {
		t.Errorf("%s has %d rows with a file, at least 40 are expected", glossaryFile, rows)
	}
}

// readGoFiles returns the contents of a file, or of all Go files in a folder.
func readGoFiles(t *testing.T, path string) string {
	path = filepath.Join(repository, path)
	info, err := os.Stat(path)
	if err != nil {
		t.Error(err)
		return ""
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*.go")); err != nil {
			t.Fatal(err)
		}
	}
	var contents strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		contents.Write(text)
	}
	return contents.String()
}

// declares reports whether Go source text declares a name, given as Name or Type.Member, as a type,
// function, method, field, constant or variable.
func declares(text, name string) bool {
	if _, member, isMember := strings.Cut(name, "."); isMember {
		name = member
	}
	name = regexp.QuoteMeta(name)
	declaration := `(?m)^(func (\([^)]*\) )?|type |var |const |\t+(\w+, )*)` + name + `(\[|\(|,| |$)`
	return regexp.MustCompile(declaration).MatchString(text)
}

// TestPagesNameWhatExists checks that repository paths in backticks on the engineers' pages exist,
// and that the identifier after a path and a colon is declared at that path.
func TestPagesNameWhatExists(t *testing.T) {
	reference := regexp.MustCompile("`((?:internal|cmd)/[\\w./-]+)(?::([\\w.]+))?`")
	for _, page := range []string{"README.md", "docs/architecture.md", "docs/oncall.md", "docs/design.md", glossaryFile} {
		text, err := os.ReadFile(filepath.Join(repository, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range reference.FindAllStringSubmatch(string(text), -1) {
			path, name := strings.TrimSuffix(strings.TrimSuffix(found[1], "/..."), "/"), found[2]
			if _, err := os.Stat(filepath.Join(repository, path)); err != nil {
				t.Errorf("%s: %v", page, err)
				continue
			}
			if name != "" && !declares(readGoFiles(t, path), name) {
				t.Errorf("%s: %s declares no %s", page, path, name)
			}
		}
	}
}
