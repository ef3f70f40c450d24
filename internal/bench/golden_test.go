package bench

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

// TestGoldenMeasuredLines compares the forms of all lines that begin with "measured": scripts
// read their names, and their numbers as they are printed.
func TestGoldenMeasuredLines(t *testing.T) {
	goldentest.Same(t, "measured_lines", measuredStrings(t))
}

// measuredStrings are the strings of the package's source that begin with "measured ", each
// quoted and on a line, in order. Strings that are joined by + count as one.
func measuredStrings(t *testing.T) []byte {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			expression, isExpression := n.(ast.Expr)
			if !isExpression {
				return true
			}
			text, isText := stringValue(expression)
			if isText && strings.HasPrefix(text, "measured ") {
				lines = append(lines, strconv.Quote(text))
			}
			return !isText
		})
	}
	slices.Sort(lines)
	return bytes.TrimLeft([]byte(strings.Join(lines, "\n")+"\n"), "\n")
}

// stringValue is the value of a string, or of strings joined by +.
func stringValue(e ast.Expr) (text string, isText bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.BinaryExpr:
		left, isLeft := stringValue(e.X)
		right, isRight := stringValue(e.Y)
		return left + right, isLeft && isRight && e.Op == token.ADD
	}
	return "", false
}
