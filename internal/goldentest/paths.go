package goldentest

import (
	"reflect"
	"slices"
	"strings"
)

// KeyPaths returns the paths of all keys in the encoding of the root's type, each with the kind of
// its value, sorted, one per line. They are what people who write or read the format by hand rely
// on.
func KeyPaths(format Format, root any) []byte {
	var lines []string
	var enclosing []reflect.Type // the enclosing structs, to stop at a recursive type
	var addPaths func(path string, t reflect.Type)
	addPaths = func(path string, t reflect.Type) {
		if encodesItself(format, t) {
			lines = append(lines, path+" itself")
			return
		}
		switch t.Kind() {
		case reflect.Pointer:
			addPaths(path, t.Elem())
		case reflect.Slice, reflect.Array:
			addPaths(path+"[]", t.Elem())
		case reflect.Map:
			addPaths(path+"{}", t.Elem())
		case reflect.Struct:
			if slices.Contains(enclosing, t) {
				lines = append(lines, path+" again")
				return
			}
			enclosing = append(enclosing, t)
			for field := range t.Fields() {
				key := keyOf(format, field)
				switch {
				case isFlattened(format, field):
					addPaths(path, field.Type)
				case field.IsExported() && key != "-":
					addPaths(path+"."+key, field.Type)
				}
			}
			enclosing = enclosing[:len(enclosing)-1]
		default:
			lines = append(lines, path+" "+t.Kind().String())
		}
	}
	addPaths("", reflect.TypeOf(root))
	slices.Sort(lines)
	return []byte(strings.Join(lines, "\n") + "\n")
}
