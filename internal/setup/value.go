package setup

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Span is a time with its unit: 250ms, 1.5s, 2m.
type Duration time.Duration

// UnmarshalYAML reads one; a bare number is no time.
func (s *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	d, err := time.ParseDuration(text)
	if err != nil {
		if _, bare := strconv.ParseFloat(text, 64); bare == nil {
			return errorAt(node, fmt.Sprintf("%s has no unit: write %sms or %ss", text, text, text))
		}
		return errorAt(node, fmt.Sprintf("%q is no time: write 250ms, 1.5s or 2m", text))
	}
	if d < 0 {
		return errorAt(node, text+" is less than nothing")
	}
	*s = Duration(d)
	return nil
}

// Prefix is a set of addresses: 10.1.0.0/16, or a single one.
type Prefix struct{ netip.Prefix }

// UnmarshalYAML reads one.
func (p *Prefix) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	if a, err := netip.ParseAddr(text); err == nil {
		p.Prefix = netip.PrefixFrom(a, a.BitLen())
		return nil
	}
	x, err := netip.ParsePrefix(text)
	if err != nil {
		return errorAt(node, fmt.Sprintf("%q is no set of addresses: write 10.1.0.0/16", text))
	}
	p.Prefix = x
	return nil
}

// at is an error at a place.
func errorAt(node ast.Node, why string) error {
	return &yaml.SyntaxError{Message: why, Token: node.GetToken()}
}

func prefixes(l []Prefix) (all []netip.Prefix) {
	for _, p := range l {
		all = append(all, p.Prefix)
	}
	return all
}

func (s Duration) orDefault(absent time.Duration) time.Duration {
	return cmp.Or(time.Duration(s), absent)
}
