//go:build planted_mac

package peers

// checkMAC is the planted fault: whatever comes counts as signed.
const checkMAC = false
