package capacity

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

const (
	pagePath = "../../docs/CAPACITY.md"
	filePath = "../../docs/capacity.csv"
)

func readPage(t *testing.T) (string, []Row) {
	t.Helper()
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Read(filePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(page), rows
}

// The page's tables are what the file of figures gives. One who adds rows fills the page
// anew: bin/railrelay-bench page.
func TestThePageAgreesWithTheFigures(t *testing.T) {
	page, rows := readPage(t)
	filled, err := FillPage(page, rows)
	if err != nil {
		t.Fatal(err)
	}
	was, is := strings.Split(page, "\n"), strings.Split(filled.Text, "\n")
	for _, line := range filled.Changed {
		t.Errorf("line %d says\n%s\nand %s gives\n%s", line, was[line-1], filePath, is[line-1])
	}
	const least = 40 // a page without tables would agree with anything
	if filled.Figures < least {
		t.Errorf("only %d figures were checked", filled.Figures)
	}
	t.Logf("%d figures, %d formulas not measured yet", filled.Figures, filled.Unmeasured)
}

// Each figure of the page, spoilt in a copy, is found on its line; so is a figure of the
// file that is another.
func TestAWrongFigureOnThePageIsFound(t *testing.T) {
	page, rows := readPage(t)
	lines := strings.Split(page, "\n")
	spoilt := 0
	var columns []string
	for i, line := range lines {
		cells, is := cellsOf(line)
		if !is || columns == nil || isRule(cells) {
			if columns = nil; is {
				columns = cells
			}
			if is && isRule(cells) && i > 0 {
				columns, _ = cellsOf(lines[i-1])
			}
			continue
		}
		for at, column := range columns {
			if _, number := numberOf(cells[at]); column != neededColumn && column != ratioColumn || !number {
				continue
			}
			bad := append([]string{}, cells...)
			bad[at] = "9" + bad[at] // 1.05 becomes 91.05
			copied := append([]string{}, lines...)
			copied[i] = "| " + strings.Join(bad, " | ") + " |"
			spoilt++
			filled, err := FillPage(strings.Join(copied, "\n"), rows)
			if err != nil || !reflect.DeepEqual(filled.Changed, []int{i + 1}) || filled.Text != page {
				t.Errorf("line %d, %s spoilt to %q: lines %v found, %v", i+1, column, bad[at], filled.Changed, err)
			}
		}
	}
	if spoilt < 40 {
		t.Errorf("only %d figures were spoilt", spoilt)
	}
	for i := range rows {
		rows[i].Value *= 2
	}
	if filled, err := FillPage(page, rows); err != nil || len(filled.Changed) < 20 {
		t.Errorf("with all figures doubled %d lines differ, %v", len(filled.Changed), err)
	}
}

// What is over its allowance anywhere on the page stands in the table of what is missing,
// and nothing else does.
func TestAllThatIsMissingIsListed(t *testing.T) {
	page, _ := readPage(t)
	unlisted, within := Missing(page)
	for _, line := range unlisted {
		t.Errorf("over its allowance, and not listed under %q:\n%s", MissingHeading, line)
	}
	for _, line := range within {
		t.Errorf("listed as missing, and over its allowance in no other table:\n%s", line)
	}
}
