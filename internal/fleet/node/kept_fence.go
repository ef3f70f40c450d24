//go:build !planted_fence

package node

// fenceOnRestart: a controller that starts waits until it has caught up. A build with its tag takes that away, and tests must find it.
const fenceOnRestart = true
