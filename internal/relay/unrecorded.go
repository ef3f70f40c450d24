//go:build !planted_follow

package relay

// unrecorded is false: it plants a fault for the checks, a load sent before what it binds
// is in the record.
const unrecorded = false
