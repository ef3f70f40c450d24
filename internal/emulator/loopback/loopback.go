// Package loopback issues loopback addresses for the processes that a test or a benchmark starts
// later. A port that the system reports as free may belong to a connection by the time it is used.
// The ports issued here lie outside the system's range for connections, at an IP address that no
// other process that uses this package has.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Issued ports lie below the system's ephemeral port range, which begins at 32768 by default.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var portsIssued atomic.Int64

// ErrNoAddress is returned when all addresses of the process have been issued.
var ErrNoAddress = errors.New("all loopback addresses of this process have been issued")

// FreeAddress returns an address on which no process listens. It returns each address once.
func FreeAddress() (string, error) {
	ip := processIP(os.Getpid())
	for {
		port := firstPort + int(portsIssued.Add(1)) - 1
		if port > lastPort {
			return "", ErrNoAddress
		}
		address := net.JoinHostPort(ip.String(), strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil { // in use by a process left behind under the same process ID
			continue
		}
		if err := listener.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
}

// processIP returns a process's own address in 127.128.0.0/9, from the lower 21 bits of its ID.
func processIP(process int) net.IP {
	return net.IPv4(127, byte(128+process>>14&127), byte(process>>6), byte(1+process&63))
}
