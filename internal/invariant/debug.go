//go:build debug

package invariant

// Debug is true: checks that cost much are made.
const Debug = true

// Hold panics if what has to hold does not.
func Hold(ok bool, what string) bool {
	if !ok {
		panic("must hold: " + what)
	}
	return true
}
