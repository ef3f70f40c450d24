//go:build !debug

package invariant

// Debug is false: checks that cost much are left out.
const Debug = false

// Check counts if what has to hold does not, and tells whether it does.
func Check(ok bool, description string) bool {
	if !ok {
		violations.Add(1)
	}
	return ok
}
