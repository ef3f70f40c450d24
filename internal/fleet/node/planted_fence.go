//go:build planted_fence

package node

// Planted: tests must find that this is false.
const fenceOnRestart = false
