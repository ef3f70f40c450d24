package goldentest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// recorder is a testing.TB that records errors.
type recorder struct {
	testing.TB
	errors []string
}

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

type leaf struct {
	Bare  int
	Named int `cbor:"Named"`
	Only  int `json:"only"`
	held  int
}

type base struct {
	Inner int `json:"inner"`
}

type tree struct {
	base
	Leaves map[string][]*leaf `json:"leaves" cbor:"1,keyasint"`
	Same   int                `json:"same" cbor:"1,keyasint"`
	Empty  int                `json:"empty" cbor:",omitempty"`
	Hidden leaf               `json:"-" cbor:"-"`
}

func TestExplicitKeysReportsFieldsWithoutKey(t *testing.T) {
	for _, c := range []struct {
		format Format
		want   []string
	}{
		{CBOR, []string{
			`goldentest.tree.Leaves and goldentest.tree.Same have the same cbor key "1"`,
			"goldentest.tree.Empty has no explicit cbor key", "goldentest.leaf.Bare has no explicit cbor key",
		}},
		{JSON, []string{
			"goldentest.leaf.Bare has no explicit json key", "goldentest.leaf.Named has no explicit json key",
		}},
	} {
		r := &recorder{}
		ExplicitKeys(r, c.format, &tree{})
		if !slices.Equal(r.errors, c.want) {
			t.Errorf("%s: got %q, want %q", c.format, r.errors, c.want)
		}
	}
	r := &recorder{}
	ExplicitKeys(r, CBOR, 5)
	if len(r.errors) != 1 {
		t.Errorf("no struct: got %q", r.errors)
	}
}

func TestEveryFieldSetReportsZeroFields(t *testing.T) {
	r := &recorder{}
	one := tree{Leaves: map[string][]*leaf{"a": {{Bare: 1, held: 1}}}}
	two := tree{Leaves: map[string][]*leaf{"b": {{Only: 2}}}, Same: 3, Empty: 4}
	EveryFieldSet(r, CBOR, one, two)
	want := []string{"goldentest.base.Inner is zero in all values", "goldentest.leaf.Named is zero in all values"}
	if !slices.Equal(r.errors, want) {
		t.Errorf("got %q, want %q", r.errors, want)
	}
}

func TestKeyPaths(t *testing.T) {
	type node struct {
		tree
		Next *node `cbor:"next"`
	}
	got := string(KeyPaths(CBOR, node{}))
	want := ".1 int\n.1{}[]. int\n.1{}[].Named int\n.1{}[].only int\n. int\n.inner int\n.next again\n"
	if sortedLines(got) != sortedLines(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func sortedLines(text string) string {
	lines := strings.Split(text, "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
