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

// Fault is what is wrong with a file, at a place in it.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Reason  string
	Excerpt string // the line and those round it
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

// spot turns an error of the YAML library into a Fault.
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

// checker finds what is wrong beyond form, and where.
type checker struct {
	file   string
	text   []byte
	tree   *ast.File
	errors []error
}

// wrong adds a fault at a path as in groups[0].name; one that isn't written
// stands at the nearest part above it that is.
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

// number wants a figure from least to most; 0 is left out and has its default
// unless it is wanted.
func (c *checker) requiredNumber(path string, x, least, most float64) {
	switch {
	case x == 0 && least > 0:
		c.addError(path, "is missing, or %v", x)
	default:
		c.optionalNumber(path, x, least, most)
	}
}

func (c *checker) optionalNumber(path string, x, least, most float64) {
	switch {
	case x != x:
		c.addError(path, "is no number")
	case x != 0 && x < least || x < 0:
		c.addError(path, "%v is under %v", x, max(least, 0))
	case x > most:
		c.addError(path, "%v is over %v", x, most)
	}
}

func (c *checker) checkName(path, x string) {
	switch {
	case x == "":
		c.addError(path, "is missing")
	case len(x) > maxNameLength || strings.ContainsAny(x, ", \t\n"):
		c.addError(path, "%.40q is no name: up to %d letters without blanks or commas", x, maxNameLength)
	}
}

const maxNameLength = 128

// oneOf wants one of some words; none is left out.
func (c *checker) checkOneOf(path, x string, words ...string) {
	if x != "" && !slices.Contains(words, x) {
		c.addError(path, "%q is none of: %s", x, strings.Join(words, ", "))
	}
}

func (c *checker) checkAddress(path, x string) {
	if x == "" {
		c.addError(path, "is missing")
		return
	}
	_, port, err := net.SplitHostPort(x)
	if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil {
		c.addError(path, "%q is no address with a port, as in 127.0.0.1:6565", x)
	}
}
