package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Columns of the page's tables that are filled from the file of figures. A table with a
// column Source has its column Needed worked out by the formula there, which stands in
// backticks, and its column Ratio as Needed over Allowed.
const (
	neededColumn  = "Needed"
	allowedColumn = "Allowed"
	ratioColumn   = "Ratio"
	sourceColumn  = "Source"
)

// What stands where there is no figure.
const (
	notMeasured = "not measured"
	noRatio     = "-"
)

// PageError is a row of a table that can't be filled.
type PageError struct {
	Line int // from 1
	Err  error
}

func (e *PageError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives what is wrong.
func (e *PageError) Unwrap() error { return e.Err }

// Remedy says what to do.
func (e *PageError) Remedy() string {
	var formula *FormulaError
	if errors.As(e.Err, &formula) {
		return formula.Remedy()
	}
	return "give the row as many cells as its table has columns, with a formula in backticks under " + sourceColumn
}

// Filled is a page with its figures as the rows give them.
type FilledPage struct {
	Text string
	// Figures is how many cells under Needed and Ratio were worked out, Open how many
	// formulas name figures that are not measured yet.
	Figures, Unmeasured int
	// Changed are the lines, from 1, in which something else stood.
	Changed []int
}

// Fill works out the figures of a page's tables, and puts the one under MissingHeading in
// order. What stands behind the number of a cell stays as it is. The error is a *PageError.
func FillPage(page string, rows []Row) (FilledPage, error) {
	lines := strings.Split(page, "\n")
	filled := FilledPage{}
	var columns []string // of the table that the line is in
	for i, line := range lines {
		cells, is := cellsOf(line)
		switch {
		case !is:
			columns = nil
			continue
		case columns == nil:
			columns = cells
			continue
		case !slices.Contains(columns, sourceColumn) || isRule(cells):
			continue
		}
		next, err := filled.fillRow(columns, cells, rows)
		if err != nil {
			return filled, &PageError{i + 1, err}
		}
		lines[i] = "| " + strings.Join(next, " | ") + " |"
	}
	sortMissing(lines)
	for i, line := range strings.Split(page, "\n") {
		if lines[i] != line {
			filled.Changed = append(filled.Changed, i+1)
		}
	}
	filled.Text = strings.Join(lines, "\n")
	return filled, nil
}

// cellsOf splits a table's line; false if it is none.
func cellsOf(line string) ([]string, bool) {
	if !strings.HasPrefix(line, "|") || !strings.HasSuffix(line, "|") || len(line) < 2 {
		return nil, false
	}
	cells := strings.Split(line[1:len(line)-1], "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells, true
}

// isRule tells the line under a table's header.
func isRule(cells []string) bool {
	return !slices.ContainsFunc(cells, func(cell string) bool { return strings.Trim(cell, "-: ") != "" || cell == "" })
}

// row fills one row of a table.
func (f *FilledPage) fillRow(columns, cells []string, rows []Row) ([]string, error) {
	if len(cells) != len(columns) {
		return nil, fmt.Errorf("%d cells in a table of %d columns", len(cells), len(columns))
	}
	cells = slices.Clone(cells)
	cell := func(column string) *string {
		if i := slices.Index(columns, column); i >= 0 {
			return &cells[i]
		}
		return nil
	}
	needed := cell(neededColumn)
	if needed == nil {
		return nil, fmt.Errorf("a table with a column %s has no column %s", sourceColumn, neededColumn)
	}
	formula, ok := strings.CutPrefix(*cell(sourceColumn), "`")
	formula, closed := strings.CutSuffix(formula, "`")
	if !ok || !closed {
		return nil, fmt.Errorf("%q is no formula in backticks", *cell(sourceColumn))
	}
	value, err := Evaluate(formula, rows)
	var open *NotMeasuredError
	switch {
	case errors.As(err, &open):
		f.Unmeasured++
		*needed = replaceNumber(*needed, notMeasured)
	case err != nil:
		return nil, err
	default:
		f.Figures++
		*needed = replaceNumber(*needed, formatFigure(value))
	}
	if ratio := cell(ratioColumn); ratio != nil && cell(allowedColumn) != nil {
		*ratio = noRatio
		if allowed, is := numberOf(*cell(allowedColumn)); is && open == nil {
			f.Figures++
			*ratio = formatFigure(value / allowed)
		}
	}
	return cells, nil
}

// replaceNumber puts another text for the number, or the word that there is none, that a
// cell begins with.
func replaceNumber(cell, text string) string {
	rest, was := strings.CutPrefix(cell, notMeasured)
	if !was {
		_, after, found := strings.Cut(cell, " ")
		if rest = ""; found {
			rest = " " + after
		}
	}
	return text + rest
}

// numberOf reads the number that a cell begins with.
func numberOf(cell string) (float64, bool) {
	word, _, _ := strings.Cut(cell, " ")
	value, err := strconv.ParseFloat(strings.ReplaceAll(word, ",", ""), 64)
	return value, err == nil && value > 0
}

// printedDigits is how many digits of a figure the page shows.
const significantDigits = 3

// printed is a figure as the page shows it: three digits, and commas between thousands.
func formatFigure(value float64) string {
	if value == 0 {
		return "0"
	}
	magnitude := int(math.Floor(math.Log10(math.Abs(value))))
	scale := math.Pow(10, float64(significantDigits-1-magnitude))
	value = math.Round(value*scale) / scale
	text := strconv.FormatFloat(value, 'f', max(0, significantDigits-1-magnitude), 64)
	whole, part, _ := strings.Cut(text, ".")
	sign := ""
	if whole[0] == '-' {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if part = strings.TrimRight(part, "0"); part != "" {
		part = "." + part
	}
	return sign + whole + part
}
