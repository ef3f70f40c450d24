//go:build debug

package invariant

// Debug tells whether this is a debug build, in which expensive checks are made as well.
const Debug = true

// Check panics with the description if ok is false, and returns true otherwise.
func Check(ok bool, description string) bool {
	if !ok {
		panic("invariant violated: " + description)
	}
	return true
}
