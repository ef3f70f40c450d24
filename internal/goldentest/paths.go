package goldentest

import (
	"reflect"
	"slices"
	"strings"
)

// KeyPaths are all keys that a value of the root's type can have, each with those of what
// it stands in and with the kind of its value, sorted, a line each: what a format
// promises to who writes or reads it by hand.
func KeyPaths(format Format, root any) []byte {
	var lines []string
	var within []reflect.Type // the structs on the way, so that one that holds itself ends
	var look func(path string, t reflect.Type)
	look = func(path string, t reflect.Type) {
		if encodesItself(format, t) {
			lines = append(lines, path+" itself")
			return
		}
		switch t.Kind() {
		case reflect.Pointer:
			look(path, t.Elem())
		case reflect.Slice, reflect.Array:
			look(path+"[]", t.Elem())
		case reflect.Map:
			look(path+"{}", t.Elem())
		case reflect.Struct:
			if slices.Contains(within, t) {
				lines = append(lines, path+" again")
				return
			}
			within = append(within, t)
			for field := range t.Fields() {
				key := keyOf(format, field)
				switch {
				case isFlattened(format, field):
					look(path, field.Type)
				case field.IsExported() && key != "-":
					look(path+"."+key, field.Type)
				}
			}
			within = within[:len(within)-1]
		default:
			lines = append(lines, path+" "+t.Kind().String())
		}
	}
	look("", reflect.TypeOf(root))
	slices.Sort(lines)
	return []byte(strings.Join(lines, "\n") + "\n")
}
