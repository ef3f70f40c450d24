//go:build planted_down

package node

// Planted: tests must find that this is false.
const waitForDown = false
