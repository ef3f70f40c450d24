package setup

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// FieldError is a mistake in a file, with its position.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Reason  string
	Excerpt string // the line with the mistake and its neighbours
}

func (f *FieldError) Error() string {
	text := f.File
	if f.Line > 0 {
		text += ":" + strconv.Itoa(f.Line)
	}
	if text += ": "; f.Field != "" {
		text += f.Field + ": "
	}
	text += f.Reason
	if f.Excerpt != "" {
		text += "\n" + strings.TrimRight(f.Excerpt, "\n")
	}
	return text
}

// yamlError converts an error of the YAML library into a FieldError.
func yamlError(file string, err error) error {
	f := &FieldError{File: file, Reason: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Reason = y.GetMessage()
		if t := y.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Field = t.Position.Line, t.Value
		}
		_, f.Excerpt, _ = strings.Cut(y.FormatError(false, true), "\n")
	}
	return f
}

// checker collects the mistakes in the values of a parsed file, with their positions.
type checker struct {
	file   string
	text   []byte
	tree   *ast.File
	errors []error
}

// addError adds an error at a path such as groups[0].name. If the file doesn't contain the path,
// the error has the position of its nearest ancestor that the file contains.
func (c *checker) addError(path, form string, args ...any) {
	f := &FieldError{File: c.file, Field: path, Reason: fmt.Sprintf(form, args...)}
	for at := path; ; {
		if p, err := yaml.PathString("$." + at); err == nil {
			if node, err := p.FilterFile(c.tree); err == nil && node != nil && node.GetToken() != nil {
				f.Line = node.GetToken().Position.Line
				if source, err := p.AnnotateSource(c.text, false); err == nil {
					f.Excerpt = string(source)
				}
				break
			}
		}
		i := strings.LastIndexAny(at, ".[")
		if i <= 0 {
			break
		}
		at = at[:i]
	}
	c.errors = append(c.errors, f)
}

// requiredNumber checks a number from least to most. 0 stands for a missing field, which is an
// error if least is positive.
func (c *checker) requiredNumber(path string, x, least, most float64) {
	switch {
	case x == 0 && least > 0:
		c.addError(path, "is missing or %v", x)
	default:
		c.optionalNumber(path, x, least, most)
	}
}

// optionalNumber checks a number from least to most. 0 stands for a missing field and is always
// allowed.
func (c *checker) optionalNumber(path string, x, least, most float64) {
	switch {
	case x != x:
		c.addError(path, "is not a number")
	case x != 0 && x < least || x < 0:
		c.addError(path, "%v is less than %v", x, max(least, 0))
	case x > most:
		c.addError(path, "%v is greater than %v", x, most)
	}
}

// checkName checks a required name.
func (c *checker) checkName(path, x string) {
	switch {
	case x == "":
		c.addError(path, "is missing")
	case len(x) > maxNameLength || strings.ContainsAny(x, ", \t\n"):
		c.addError(path, "%.40q is not a valid name: use up to %d characters without blanks and commas", x,
			maxNameLength)
	}
}

const maxNameLength = 128

// checkOneOf checks that a value is one of words or missing.
func (c *checker) checkOneOf(path, x string, words ...string) {
	if x != "" && !slices.Contains(words, x) {
		c.addError(path, "%q is not one of: %s", x, strings.Join(words, ", "))
	}
}

// checkAddress checks a required address with a port.
func (c *checker) checkAddress(path, x string) {
	if x == "" {
		c.addError(path, "is missing")
		return
	}
	_, port, err := net.SplitHostPort(x)
	if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil {
		c.addError(path, "%q is not an address with a port, as in 127.0.0.1:6565", x)
	}
}
