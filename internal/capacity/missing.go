package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// MissingHeading is the heading of the table that FillPage sorts by ratio, the highest first and rows
// without a ratio last.
const MissingHeading = "## What is missing, in order"

// sortMissing sorts the rows of the table under MissingHeading by their ratios.
func sortMissing(lines []string) {
	heading := slices.Index(lines, MissingHeading)
	if heading < 0 {
		return
	}
	isRow := func(line string) bool { _, is := cellsOf(line); return is }
	header := heading + slices.IndexFunc(lines[heading:], isRow)
	if header < heading {
		return
	}
	columns, _ := cellsOf(lines[header])
	ratio := slices.Index(columns, ratioColumn)
	first := min(header+2, len(lines)) // after the delimiter row
	last := first
	for last < len(lines) && isRow(lines[last]) {
		last++
	}
	ratioOf := func(line string) float64 {
		cells, _ := cellsOf(line)
		if ratio < 0 || ratio >= len(cells) {
			return 0
		}
		value, _ := numberOf(cells[ratio])
		return value
	}
	slices.SortStableFunc(lines[first:last], func(a, b string) int { return cmp.Compare(ratioOf(b), ratioOf(a)) })
}

// Missing compares the table under MissingHeading with all other tables of a filled page, by the rows'
// formulas. unlisted are the rows over their allowance that the table lacks; within are its measured
// rows that exceed their allowance in no other table.
func Missing(page string) (unlisted, within []string) {
	before, after, _ := strings.Cut(page, MissingHeading)
	others, listed := ratiosOf(before), ratiosOf(after)
	over := map[string]bool{}
	for _, row := range others {
		if row.ratio > 1 {
			over[row.source] = true
			if !slices.ContainsFunc(listed, func(x ratioRow) bool { return x.source == row.source }) {
				unlisted = append(unlisted, row.line)
			}
		}
	}
	for _, row := range listed {
		if row.ratio > 0 && !over[row.source] {
			within = append(within, row.line)
		}
	}
	return unlisted, within
}

// ratioRow is a table row with its ratio, which is 0 if the figure is not measured.
type ratioRow struct {
	line, source string
	ratio        float64
}

// ratiosOf returns the rows of all tables in text that have the columns Ratio and Source.
func ratiosOf(text string) (rows []ratioRow) {
	var columns []string
	for line := range strings.SplitSeq(text, "\n") {
		cells, is := cellsOf(line)
		if !is || columns == nil {
			columns = cells
			continue
		}
		ratio, source := slices.Index(columns, ratioColumn), slices.Index(columns, sourceColumn)
		if ratio < 0 || source < 0 || len(cells) != len(columns) || isRule(cells) {
			continue
		}
		value, _ := numberOf(cells[ratio])
		rows = append(rows, ratioRow{line, cells[source], value})
	}
	return rows
}
