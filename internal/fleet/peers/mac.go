//go:build !planted_mac

package peers

// checkMAC: the keyed MAC is looked at. The build tag planted_mac leaves that out, to
// show that the tests find it.
const checkMAC = true
