//go:build !planted_write

package run

// lookBeforeWrite: the fleet's word is asked right before a submission is written.
const lookBeforeWrite = true
