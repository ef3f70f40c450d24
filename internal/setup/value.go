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

// Duration is a time.Duration written with its unit: 250ms, 1.5s, 2m.
type Duration time.Duration

// UnmarshalYAML reads a duration. A number without a unit is an error.
func (s *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	d, err := time.ParseDuration(text)
	if err != nil {
		if _, bare := strconv.ParseFloat(text, 64); bare == nil {
			return errorAt(node, fmt.Sprintf("%s has no unit: write %sms or %ss", text, text, text))
		}
		return errorAt(node, fmt.Sprintf("%q is not a duration: write 250ms, 1.5s or 2m", text))
	}
	if d < 0 {
		return errorAt(node, text+" is negative")
	}
	*s = Duration(d)
	return nil
}

// Prefix is an address prefix, as in 10.1.0.0/16, or a single address.
type Prefix struct{ netip.Prefix }

// UnmarshalYAML reads a prefix or an address.
func (p *Prefix) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	if a, err := netip.ParseAddr(text); err == nil {
		p.Prefix = netip.PrefixFrom(a, a.BitLen())
		return nil
	}
	x, err := netip.ParsePrefix(text)
	if err != nil {
		return errorAt(node, fmt.Sprintf("%q is not an address or a prefix: write 10.1.0.0/16", text))
	}
	p.Prefix = x
	return nil
}

// errorAt returns an error with the position of a node.
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
