// Package goldentest has checks for tests of encoded types: each field has an explicit key, and the
// encoding of an earlier version is still read and written the same way. Only tests use it.
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

// Format is an encoding, named after its struct tag.
type Format string

// The encodings.
const (
	CBOR Format = "cbor"
	JSON Format = "json"
	YAML Format = "yaml"
)

// tagNames lists the struct tags that a format reads, in order of precedence.
var tagNames = map[Format][]string{
	CBOR: {"cbor", "json"}, // the library falls back to the json tag
	JSON: {"json"},
	YAML: {"yaml"},
}

// codecs lists the interfaces by which a type defines its own encoding. The fields of such a type
// have no keys.
var codecs = map[Format][]reflect.Type{
	CBOR: {reflect.TypeFor[cbor.Marshaler](), reflect.TypeFor[cbor.Unmarshaler](), reflect.TypeFor[encoding.BinaryMarshaler]()},
	JSON: {reflect.TypeFor[json.Marshaler](), reflect.TypeFor[json.Unmarshaler](), reflect.TypeFor[encoding.TextMarshaler]()},
	YAML: {reflect.TypeFor[yaml.NodeUnmarshaler](), reflect.TypeFor[yaml.BytesUnmarshaler](),
		reflect.TypeFor[yaml.InterfaceUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler]()},
}

// ExplicitKeys fails the test for each exported field without an explicit key, because a rename of
// the field would change its encoding, and for each key that two fields of a struct share. It checks
// the types of the roots and all types that they contain.
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
		t.Errorf("no struct was checked: the roots are %T", roots)
	}
}

// EveryFieldSet fails the test for each encoded field that is zero in all values, because a golden
// file of the values wouldn't cover the field.
func EveryFieldSet(t testing.TB, format Format, values ...any) {
	t.Helper()
	set := map[reflect.Type]map[string]bool{}
	for _, value := range values {
		recordNonZero(reflect.ValueOf(value), set)
	}
	walk(format, values, func(s reflect.Type) {
		for field := range s.Fields() {
			if field.IsExported() && keyOf(format, field) != "-" && !set[s][field.Name] {
				t.Errorf("%v.%s is zero in all values", s, field.Name)
			}
		}
	})
}

// recordNonZero records the fields that aren't zero in a value and in the values it contains.
func recordNonZero(v reflect.Value, set map[reflect.Type]map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			recordNonZero(v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			recordNonZero(v.Index(i), set)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			recordNonZero(entries.Value(), set)
		}
	case reflect.Struct:
		if set[v.Type()] == nil {
			set[v.Type()] = map[string]bool{}
		}
		for field, value := range v.Fields() {
			if field.IsExported() && !value.IsZero() {
				set[v.Type()][field.Name] = true
				recordNonZero(value, set)
			}
		}
	}
}

// walk visits each struct type that the roots contain and whose fields have keys.
func walk(format Format, roots []any, visit func(s reflect.Type)) {
	seen := map[reflect.Type]bool{}
	var visitType func(t reflect.Type)
	visitType = func(t reflect.Type) {
		if seen[t] || encodesItself(format, t) {
			return
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			visitType(t.Elem())
		case reflect.Struct:
			visit(t)
			for field := range t.Fields() {
				if (field.IsExported() || field.Anonymous) && keyOf(format, field) != "-" {
					visitType(field.Type)
				}
			}
		}
	}
	for _, root := range roots {
		visitType(reflect.TypeOf(root))
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

// isFlattened reports whether a field is an embedded struct whose fields are encoded in the outer one.
func isFlattened(format Format, field reflect.StructField) bool {
	return field.Anonymous && format != YAML && keyOf(format, field) == ""
}

// keyOf returns the key in a field's tag, or "" if there is none.
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
