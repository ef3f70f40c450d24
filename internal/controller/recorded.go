package controller

import "railrelay.dev/railrelay/internal/fleet"

// unrecorded reports whether a load must not be sent yet, by the word of placement.needs:
// the record doesn't have all that it binds, or that can't be told.
func unrecorded(need *fleet.Binding, err error) bool {
	return need != nil || err != nil
}
