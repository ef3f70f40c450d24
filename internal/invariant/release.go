//go:build !debug

package invariant

// Debug is false: checks that cost much are left out.
const Debug = false

// Hold counts if what has to hold does not, and tells whether it does.
func Hold(ok bool, what string) bool {
	if !ok {
		broken.Add(1)
	}
	return ok
}
