//go:build planted_write

package run

// lookBeforeWrite: a planted fault, for the checks to find.
const lookBeforeWrite = false
