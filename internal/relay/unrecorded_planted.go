//go:build planted_follow

package relay

// unrecorded plants a fault: a load is sent before what it binds is in the record.
const unrecorded = true
