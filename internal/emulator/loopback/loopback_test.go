package loopback

import (
	"net"
	"testing"
)

func TestAddressesAreFreeAndDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatal(address, " was issued twice")
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
	}
}

func TestEachProcessHasItsOwnIP(t *testing.T) {
	seen := map[string]int{}
	for process := range 1 << 16 {
		ip := processIP(process)
		if other, had := seen[ip.String()]; had || !ip.IsLoopback() || ip.To4()[3] == 0 || ip.To4()[3] == 255 {
			t.Fatalf("process %d has address %v, as process %d", process, ip, other)
		}
		seen[ip.String()] = process
	}
}
