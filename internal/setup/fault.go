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
type Fault struct {
	File   string
	Line   int
	Field  string
	Why    string
	Source string // the line and those round it
}

func (f *Fault) Error() string {
	text := f.File
	if f.Line > 0 {
		text += ":" + strconv.Itoa(f.Line)
	}
	if text += ": "; f.Field != "" {
		text += f.Field + ": "
	}
	text += f.Why
	if f.Source != "" {
		text += "\n" + strings.TrimRight(f.Source, "\n")
	}
	return text
}

// spot turns an error of the YAML library into a Fault.
func spot(file string, err error) error {
	f := &Fault{File: file, Why: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Why = y.GetMessage()
		if t := y.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Field = t.Position.Line, t.Value
		}
		_, f.Source, _ = strings.Cut(y.FormatError(false, true), "\n")
	}
	return f
}

// checker finds what is wrong beyond form, and where.
type checker struct {
	file   string
	text   []byte
	tree   *ast.File
	faults []error
}

// wrong adds a fault at a path as in groups[0].name; one that isn't written
// stands at the nearest part above it that is.
func (c *checker) wrong(path, form string, args ...any) {
	f := &Fault{File: c.file, Field: path, Why: fmt.Sprintf(form, args...)}
	for at := path; ; {
		if p, err := yaml.PathString("$." + at); err == nil {
			if node, err := p.FilterFile(c.tree); err == nil && node != nil && node.GetToken() != nil {
				f.Line = node.GetToken().Position.Line
				if source, err := p.AnnotateSource(c.text, false); err == nil {
					f.Source = string(source)
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
	c.faults = append(c.faults, f)
}

// number wants a figure from least to most; 0 is left out and has its default
// unless it is wanted.
func (c *checker) number(path string, x, least, most float64) {
	switch {
	case x == 0 && least > 0:
		c.wrong(path, "is missing, or %v", x)
	default:
		c.maybe(path, x, least, most)
	}
}

func (c *checker) maybe(path string, x, least, most float64) {
	switch {
	case x != x:
		c.wrong(path, "is no number")
	case x != 0 && x < least || x < 0:
		c.wrong(path, "%v is under %v", x, max(least, 0))
	case x > most:
		c.wrong(path, "%v is over %v", x, most)
	}
}

func (c *checker) name(path, x string) {
	switch {
	case x == "":
		c.wrong(path, "is missing")
	case len(x) > nameMost || strings.ContainsAny(x, ", \t\n"):
		c.wrong(path, "%.40q is no name: up to %d letters without blanks or commas", x, nameMost)
	}
}

const nameMost = 128

// oneOf wants one of some words; none is left out.
func (c *checker) oneOf(path, x string, words ...string) {
	if x != "" && !slices.Contains(words, x) {
		c.wrong(path, "%q is none of: %s", x, strings.Join(words, ", "))
	}
}

func (c *checker) address(path, x string) {
	if x == "" {
		c.wrong(path, "is missing")
		return
	}
	_, port, err := net.SplitHostPort(x)
	if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil {
		c.wrong(path, "%q is no address with a port, as in 127.0.0.1:6565", x)
	}
}
