package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// NotMeasuredError reports a formula that names a figure without rows.
type NotMeasuredError struct{ Key string }

func (e *NotMeasuredError) Error() string { return e.Key + " has no row" }

// FormulaError reports an invalid formula.
type FormulaError struct{ Formula, Why string }

func (e *FormulaError) Error() string { return fmt.Sprintf("%s: %s", e.Formula, e.Why) }

// Remedy tells the operator how to resolve the error.
func (e *FormulaError) Remedy() string {
	return `write figures as "role/what/size", with + - * / and numbers, or as slope("role/what"), intercept("role/what"), ` +
		`residual("role/what"), exponent("role/what"), line("role/what", size), most("role/what/size"), least("role/what/size")`
}

// Evaluate computes a formula over rows. A figure, "role/what/size", is the median of its rows; most and
// least return the largest and smallest of them. slope, intercept, residual, exponent and line fit the
// rows of "role/what" over their sizes: all rows, or only those of the sizes that follow as further
// arguments. The error is a *NotMeasuredError or a *FormulaError.
func Evaluate(formula string, rows []Row) (float64, error) {
	tree, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, &FormulaError{formula, err.Error()}
	}
	f := evaluation{formula: formula, rows: rows}
	value, err := f.evaluate(tree)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		return 0, &FormulaError{formula, "the value is not finite"}
	}
	return value, err
}

// evaluation is the evaluation of one formula.
type evaluation struct {
	formula string
	rows    []Row
}

func (f *evaluation) formulaError(why string) error { return &FormulaError{f.formula, why} }

func (f *evaluation) evaluate(node ast.Expr) (float64, error) {
	switch x := node.(type) {
	case *ast.ParenExpr:
		return f.evaluate(x.X)
	case *ast.BinaryExpr:
		return f.binary(x)
	case *ast.CallExpr:
		return f.call(x)
	case *ast.BasicLit:
		if x.Kind == token.STRING {
			values, err := f.figure(x)
			if err != nil {
				return 0, err
			}
			return stat.Quantile(0.5, stat.Empirical, values, nil), nil
		}
		return f.number(x)
	}
	return 0, f.formulaError("only figures, numbers, functions and + - * / are allowed")
}

func (f *evaluation) number(x ast.Expr) (float64, error) {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.INT && literal.Kind != token.FLOAT {
		return 0, f.formulaError("a number is missing")
	}
	return strconv.ParseFloat(literal.Value, 64)
}

func (f *evaluation) binary(x *ast.BinaryExpr) (float64, error) {
	left, err := f.evaluate(x.X)
	if err != nil {
		return 0, err
	}
	right, err := f.evaluate(x.Y)
	if err != nil {
		return 0, err
	}
	switch x.Op {
	case token.ADD:
		return left + right, nil
	case token.SUB:
		return left - right, nil
	case token.MUL:
		return left * right, nil
	case token.QUO:
		return left / right, nil
	}
	return 0, f.formulaError("unknown operator " + x.Op.String())
}

func (f *evaluation) call(x *ast.CallExpr) (float64, error) {
	name, ok := x.Fun.(*ast.Ident)
	if !ok || len(x.Args) == 0 {
		return 0, f.formulaError("a function needs a name and a figure")
	}
	switch name.Name {
	case "most", "least":
		values, err := f.figure(x.Args[0])
		if err != nil {
			return 0, err
		}
		if name.Name == "most" {
			return slices.Max(values), nil
		}
		return slices.Min(values), nil
	case "line":
		if len(x.Args) < 2 {
			return 0, f.formulaError("line needs a figure and a size")
		}
		size, err := f.number(x.Args[1])
		if err != nil {
			return 0, err
		}
		rows, err := f.curve(x.Args[0], x.Args[2:])
		return FitLine(rows).At(int(size)), err
	case "slope", "intercept", "residual", "exponent":
		rows, err := f.curve(x.Args[0], x.Args[1:])
		if err != nil {
			return 0, err
		}
		line := FitLine(rows)
		return map[string]float64{"slope": line.Slope, "intercept": line.Intercept, "residual": line.Residual,
			"exponent": FitPower(rows).Exponent}[name.Name], nil
	}
	return 0, f.formulaError("unknown function " + name.Name)
}

// keyParts splits a key, a string literal, into its n parts.
func (f *evaluation) keyParts(x ast.Expr, n int) ([]string, error) {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return nil, f.formulaError("a figure in quotes is missing")
	}
	key, err := strconv.Unquote(literal.Value)
	if err != nil {
		return nil, f.formulaError(err.Error())
	}
	parts := strings.Split(key, "/")
	if len(parts) != n {
		return nil, f.formulaError(fmt.Sprintf("%q has %d parts, not %d", key, len(parts), n))
	}
	return parts, nil
}

// figure returns the values of "role/what/size" in ascending order.
func (f *evaluation) figure(x ast.Expr) ([]float64, error) {
	parts, err := f.keyParts(x, 3)
	if err != nil {
		return nil, err
	}
	size, err := strconv.Atoi(parts[2])
	if err != nil {
		return nil, f.formulaError(fmt.Sprintf("%q is not a size", parts[2]))
	}
	var values []float64
	for _, row := range Select(f.rows, parts[0], parts[1]) {
		if row.Size == size {
			values = append(values, row.Value)
		}
	}
	if len(values) == 0 {
		return nil, &NotMeasuredError{strings.Join(parts, "/")}
	}
	slices.Sort(values)
	return values, nil
}

// curve returns the rows of "role/what", limited to the given sizes if there are any. The rows must
// have at least two sizes.
func (f *evaluation) curve(x ast.Expr, sizes []ast.Expr) ([]Row, error) {
	parts, err := f.keyParts(x, 2)
	if err != nil {
		return nil, err
	}
	var only []int
	for _, arg := range sizes {
		size, err := f.number(arg)
		if err != nil {
			return nil, err
		}
		only = append(only, int(size))
	}
	rows := Select(f.rows, parts[0], parts[1])
	if len(only) > 0 {
		rows = slices.DeleteFunc(rows, func(row Row) bool { return !slices.Contains(only, row.Size) })
	}
	if line := FitLine(rows); math.IsNaN(line.Slope) {
		return nil, &NotMeasuredError{strings.Join(parts, "/") + " at two sizes"}
	}
	return rows, nil
}
