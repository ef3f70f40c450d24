package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const (
	floodLasts    = 2 * time.Second
	floodMemoryMB = 32
	// floodObjective is the latency objective of lookups in testSettings.
	floodObjective = time.Second
)

// One client sends small or unsound messages at full speed, also under ever new ids, keys and groups, and
// connects again when it is disconnected. Others must get their answers in time, within the memory limit.
func TestOneFloodingClientDelaysNoOthers(t *testing.T) {
	load := func(i int) []byte {
		return queryMessage(byte(1+i%32), "load", fmt.Sprintf("%016x", 1<<40+i), "9000",
			[]byte("INSERT INTO sales_1.x"), "entity", fmt.Sprint("k", i))
	}
	for name, message := range map[string]func(i int) []byte{
		"new keys": load,
		"taken back": func(i int) []byte {
			return append(load(32*i), "\x93\x02"+fixString("cancelRequest")+"\x91\x01"...)
		},
		"new groups": func(i int) []byte {
			return queryMessage(byte(1+i%32), fmt.Sprint("g", i), fmt.Sprintf("%016x", i), "9000",
				[]byte("SELECT 1"))
		},
		"out of range": func(i int) []byte {
			return queryMessage(byte(1+i%32), "lookup", fmt.Sprintf("%016x", i), "-5", []byte("SELECT 1"))
		},
		"alive": func(int) []byte { return []byte("\x94\x00\x63" + fixString("alive") + "\x91\x80") },
		"noise": func(int) []byte { return []byte("\xc1") },
	} {
		t.Run(name, func(t *testing.T) {
			e, f := newFakeEngine(t, twoPages(false)), newFakeFeed(t)
			go func() {
				for range e.calls {
				}
			}()
			c := startWith(t, testSettings, floodMemoryMB, f.Addr().String(), 256, "127.0.0.1:0",
				entry("e1", e.address(), "SERVING"))
			until := time.Now().Add(floodLasts)
			sent := make(chan int, 1)
			go func() { sent <- flood(c.address, until, message) }()
			usual := c.client()
			for i := 0; time.Now().Before(until); i++ {
				startedAt := time.Now()
				usual.lastMessage = 0
				usual.query("lookup", fmt.Sprintf("%04x", i), "5000", "")
				usual.expect(1, fmt.Sprintf("%04x\tfirst", i))
				if took := time.Since(startedAt); took > floodObjective {
					t.Errorf("a lookup of another client took %v", took)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if count := <-sent; count < 10_000 {
				t.Errorf("only %d messages sent: the test proves nothing", count)
			}
			if peak := c.peakMemoryKB(); peak > floodMemoryMB<<10 {
				t.Errorf("the peak of resident memory is %d kB, allowed are %d", peak, floodMemoryMB<<10)
			}
		})
	}
}

// flood sends messages as fast as it can, on one connection at a time, and returns how many it sent.
func flood(address string, until time.Time, message func(i int) []byte) (sent int) {
	for time.Now().Before(until) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		go io.Copy(io.Discard, conn)
		conn.SetWriteDeadline(until)
		for err == nil {
			sent++
			_, err = conn.Write(message(sent))
		}
		conn.Close()
	}
	return sent
}
