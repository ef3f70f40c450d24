//go:build !planted_down

package node

// waitForDown: a purge is confirmed once those that were down have done it. A build with its tag takes that away, and tests must find it.
const waitForDown = true
