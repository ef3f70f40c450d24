//go:build debug

package invariant

// Debug is true: checks that cost much are made.
const Debug = true

// Check panics if what has to hold does not.
func Check(ok bool, description string) bool {
	if !ok {
		panic("must hold: " + description)
	}
	return true
}
