// Package goldentest holds the checks that tests of encoded types share: each field states
// its key, and what an earlier program wrote is still read and written the same way. It is
// for tests only.
package goldentest

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"
)

// Format is an encoding, named by the struct tag that it reads.
type Format string

// The encodings in use.
const (
	CBOR Format = "cbor"
	JSON Format = "json"
	YAML Format = "yaml"
)

// tagNames are the struct tags that a format looks for, in its order.
var tagNames = map[Format][]string{
	CBOR: {"cbor", "json"}, // the library takes a json tag where there is no cbor tag
	JSON: {"json"},
	YAML: {"yaml"},
}

// codecs are the interfaces by which a type encodes or decodes itself: its fields have no
// keys then.
var codecs = map[Format][]reflect.Type{
	CBOR: {reflect.TypeFor[cbor.Marshaler](), reflect.TypeFor[cbor.Unmarshaler](), reflect.TypeFor[encoding.BinaryMarshaler]()},
	JSON: {reflect.TypeFor[json.Marshaler](), reflect.TypeFor[json.Unmarshaler](), reflect.TypeFor[encoding.TextMarshaler]()},
	YAML: {reflect.TypeFor[yaml.NodeUnmarshaler](), reflect.TypeFor[yaml.BytesUnmarshaler](),
		reflect.TypeFor[yaml.InterfaceUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler]()},
}

// ExplicitKeys fails for each exported field that encodes under its Go name, which a rename
// would change, and for a key that two fields of a struct have. It looks at the types of
// the roots and at all types that these reach.
func ExplicitKeys(t testing.TB, format Format, roots ...any) {
	t.Helper()
	structs := 0
	walk(format, roots, func(s reflect.Type) {
		structs++
		fields := map[string]string{}
		for field := range s.Fields() {
			if !field.IsExported() || isFlattened(format, field) {
				continue
			}
			key := keyOf(format, field)
			if key == "" {
				t.Errorf("%v.%s has no explicit %s key", s, field.Name, format)
			}
			if other, isTaken := fields[key]; isTaken && key != "" && key != "-" {
				t.Errorf("%v.%s and %v.%s have the same %s key %q", s, other, s, field.Name, format, key)
			}
			fields[key] = field.Name
		}
	})
	if structs == 0 {
		t.Errorf("no struct was looked at: the roots are %T", roots)
	}
}

// EveryFieldSet fails for each encoded field that is zero in all of the values: what they
// show would say nothing of it.
func EveryFieldSet(t testing.TB, format Format, values ...any) {
	t.Helper()
	set := map[reflect.Type]map[string]bool{}
	for _, value := range values {
		noteSet(reflect.ValueOf(value), set)
	}
	walk(format, values, func(s reflect.Type) {
		for field := range s.Fields() {
			if field.IsExported() && keyOf(format, field) != "-" && !set[s][field.Name] {
				t.Errorf("%v.%s is zero in all values", s, field.Name)
			}
		}
	})
}

// noteSet notes the fields that aren't zero in a value and in all that it holds.
func noteSet(v reflect.Value, set map[reflect.Type]map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			noteSet(v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			noteSet(v.Index(i), set)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			noteSet(entries.Value(), set)
		}
	case reflect.Struct:
		if set[v.Type()] == nil {
			set[v.Type()] = map[string]bool{}
		}
		for field, value := range v.Fields() {
			if field.IsExported() && !value.IsZero() {
				set[v.Type()][field.Name] = true
				noteSet(value, set)
			}
		}
	}
}

// walk visits each struct type that the roots reach and whose fields have keys.
func walk(format Format, roots []any, visit func(s reflect.Type)) {
	seen := map[reflect.Type]bool{}
	var look func(t reflect.Type)
	look = func(t reflect.Type) {
		if seen[t] || encodesItself(format, t) {
			return
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			look(t.Elem())
		case reflect.Struct:
			visit(t)
			for field := range t.Fields() {
				if (field.IsExported() || field.Anonymous) && keyOf(format, field) != "-" {
					look(field.Type)
				}
			}
		}
	}
	for _, root := range roots {
		look(reflect.TypeOf(root))
	}
}

func encodesItself(format Format, t reflect.Type) bool {
	for _, codec := range codecs[format] {
		if t.Implements(codec) || reflect.PointerTo(t).Implements(codec) {
			return true
		}
	}
	return false
}

// isFlattened reports whether a field is an embedded struct whose fields count as the outer one's.
func isFlattened(format Format, field reflect.StructField) bool {
	return field.Anonymous && format != YAML && keyOf(format, field) == ""
}

// keyOf is the key that a field's tag states, "" if it states none.
func keyOf(format Format, field reflect.StructField) string {
	for _, name := range tagNames[format] {
		tag, isThere := field.Tag.Lookup(name)
		if isThere {
			key, _, _ := strings.Cut(tag, ",")
			return key
		}
	}
	return ""
}
