//go:build !planted_force

package node

// waitForClosed: nothing is in force before all have stopped. A build with its tag takes that away, and tests must find it.
const waitForClosed = true
