// Package loopback gives addresses of this machine to listen on later, for processes that
// a test or a measurement starts. A port that the system names as free may be some
// connection's own by the time it is used; these ports are none that the system gives to
// connections, at an IP address that no other process of this package has.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports that are given lie below those that the system gives to connections: from 32768
// on, unless it was configured otherwise.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var given atomic.Int64

// ErrNone is the error where a process has had all addresses that there are for it.
var ErrNoAddress = errors.New("no address is left on the loopback network for this process")

// Address is one that nobody listens on, a different one each time.
func FreeAddress() (string, error) {
	ip := ipOf(os.Getpid())
	for {
		port := firstPort + int(given.Add(1)) - 1
		if port > lastPort {
			return "", ErrNoAddress
		}
		address := net.JoinHostPort(ip.String(), strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil { // left behind by a process that had the same number
			continue
		}
		if err := listener.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
}

// ipOf is an address in 127.128.0.0/9 of a process's own, by its number's lower 21 bits.
func ipOf(process int) net.IP {
	return net.IPv4(127, byte(128+process>>14&127), byte(process>>6), byte(1+process&63))
}
