//go:build debug

package must

// Hold panics if what has to hold does not.
func Hold(ok bool, what string) bool {
	if !ok {
		panic("must hold: " + what)
	}
	return true
}
