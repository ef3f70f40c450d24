package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// MissingHeading stands before the table that is kept in order, the worst ratio first and
// rows without a ratio last.
const MissingHeading = "## What is missing, in order"

// sortMissing puts the rows of the table under MissingHeading in order.
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
	first := min(header+2, len(lines)) // behind the rule
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

// Missing holds the table under MissingHeading against all others of a filled page, by
// their formulas: unlisted are rows over their allowance that it lacks, within are rows
// of it that are measured and over their allowance nowhere else.
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

// ratioRow is a row of a table with a ratio; 0: there is none yet.
type ratioRow struct {
	line, source string
	ratio        float64
}

// ratiosOf are all rows of a text's tables that have columns for a ratio and a source.
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
