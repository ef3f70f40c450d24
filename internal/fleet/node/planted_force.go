//go:build planted_force

package node

// Planted: tests must find that this is false.
const waitForClosed = false
