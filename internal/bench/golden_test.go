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

// TestGoldenMeasuredLines compares the formats of all printed lines that begin with "measured" with a golden
// file. Scripts parse the names and the numbers in these lines.
func TestGoldenMeasuredLines(t *testing.T) {
	goldentest.Same(t, "measured_lines", measuredStrings(t))
}

// measuredStrings returns the strings in the package's source that begin with "measured ", sorted, quoted
// and one to a line. Strings that are joined by + count as one string.
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
			text, isString := stringValue(expression)
			if isString && strings.HasPrefix(text, "measured ") {
				lines = append(lines, strconv.Quote(text))
			}
			return !isString
		})
	}
	slices.Sort(lines)
	return bytes.TrimLeft([]byte(strings.Join(lines, "\n")+"\n"), "\n")
}

// stringValue returns the value of a string literal, or of string literals that are joined by +.
func stringValue(expression ast.Expr) (text string, isString bool) {
	switch e := expression.(type) {
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
