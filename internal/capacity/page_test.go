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

// The tables of the page must equal those computed from the figures file. After adding rows, run
// bin/railrelay-bench page to update the page.
func TestPageAgreesWithFigures(t *testing.T) {
	page, rows := readPage(t)
	filled, err := FillPage(page, rows)
	if err != nil {
		t.Fatal(err)
	}
	was, is := strings.Split(page, "\n"), strings.Split(filled.Text, "\n")
	for _, line := range filled.Changed {
		t.Errorf("line %d says\n%s\nand %s gives\n%s", line, was[line-1], filePath, is[line-1])
	}
	const least = 40 // a page without tables would pass any comparison
	if filled.Figures < least {
		t.Errorf("only %d figures were checked", filled.Figures)
	}
	t.Logf("%d figures, %d formulas not measured yet", filled.Figures, filled.Unmeasured)
}

// A wrong figure in a copy of the page must be found on its line, for each figure. Changed values in
// the figures file must be found too.
func TestWrongFigureOnPageIsFound(t *testing.T) {
	page, rows := readPage(t)
	lines := strings.Split(page, "\n")
	changed := 0
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
			changed++
			filled, err := FillPage(strings.Join(copied, "\n"), rows)
			if err != nil || !reflect.DeepEqual(filled.Changed, []int{i + 1}) || filled.Text != page {
				t.Errorf("line %d, %s changed to %q: lines %v found, %v", i+1, column, bad[at], filled.Changed, err)
			}
		}
	}
	if changed < 40 {
		t.Errorf("only %d figures were changed", changed)
	}
	for i := range rows {
		rows[i].Value *= 2
	}
	if filled, err := FillPage(page, rows); err != nil || len(filled.Changed) < 20 {
		t.Errorf("with all figures doubled %d lines differ, %v", len(filled.Changed), err)
	}
}

// The table under MissingHeading must list exactly the rows that exceed their allowance elsewhere on
// the page.
func TestMissingTableListsRowsOverAllowance(t *testing.T) {
	page, _ := readPage(t)
	unlisted, within := Missing(page)
	for _, line := range unlisted {
		t.Errorf("over its allowance but not listed under %q:\n%s", MissingHeading, line)
	}
	for _, line := range within {
		t.Errorf("listed as missing but over its allowance in no other table:\n%s", line)
	}
}
