package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Columns of the page's tables that are filled from the figures file. In a table with a column Source,
// the formula there, in backticks, gives the column Needed, and Ratio is Needed divided by Allowed.
const (
	neededColumn  = "Needed"
	allowedColumn = "Allowed"
	ratioColumn   = "Ratio"
	sourceColumn  = "Source"
)

// Contents of a cell without a figure.
const (
	notMeasured = "not measured"
	noRatio     = "-"
)

// PageError reports a table row that can't be filled.
type PageError struct {
	Line int // from 1
	Err  error
}

func (e *PageError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *PageError) Unwrap() error { return e.Err }

// Remedy tells the operator how to resolve the error.
func (e *PageError) Remedy() string {
	var formula *FormulaError
	if errors.As(e.Err, &formula) {
		return formula.Remedy()
	}
	return "give the row as many cells as its table has columns, with a formula in backticks under " + sourceColumn
}

// FilledPage is a page whose figures were computed from the rows.
type FilledPage struct {
	Text string
	// Figures is the number of computed cells under Needed and Ratio. Unmeasured is the number of
	// formulas that name figures without rows.
	Figures, Unmeasured int
	// Changed lists the lines, from 1, that differ from the given page.
	Changed []int
}

// FillPage computes the figures of a page's tables, and sorts the table under MissingHeading. It keeps
// the text after the number of a cell, such as a unit. The error is a *PageError.
func FillPage(page string, rows []Row) (FilledPage, error) {
	lines := strings.Split(page, "\n")
	filled := FilledPage{}
	var columns []string // of the current table
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

// cellsOf splits a table row into its cells. It returns false for a line outside a table.
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

// isRule reports whether cells form the delimiter row under a table's header.
func isRule(cells []string) bool {
	return !slices.ContainsFunc(cells, func(cell string) bool { return strings.Trim(cell, "-: ") != "" || cell == "" })
}

// fillRow returns the cells of one table row with its figures filled in.
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
		return nil, fmt.Errorf("the table has a column %s but no column %s", sourceColumn, neededColumn)
	}
	formula, ok := strings.CutPrefix(*cell(sourceColumn), "`")
	formula, closed := strings.CutSuffix(formula, "`")
	if !ok || !closed {
		return nil, fmt.Errorf("%q is not a formula in backticks", *cell(sourceColumn))
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

// replaceNumber replaces the number, or notMeasured, at the start of a cell with text.
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

// numberOf parses the number at the start of a cell. It returns false unless the number is above 0.
func numberOf(cell string) (float64, bool) {
	word, _, _ := strings.Cut(cell, " ")
	value, err := strconv.ParseFloat(strings.ReplaceAll(word, ",", ""), 64)
	return value, err == nil && value > 0
}

// significantDigits is the number of significant digits of a figure on the page.
const significantDigits = 3

// formatFigure formats a figure with significantDigits digits and commas between thousands.
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
