package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// queryMessage returns a call for a query with additional fields and a statement of any size.
func queryMessage(messageID byte, group, trace, timeout string, statement []byte, fields ...string) []byte {
	fields = append([]string{"trace", trace, "patience", timeout}, fields...)
	message := []byte("\x94\x00" + string([]byte{messageID}) + str8(group) + "\x92\xde")
	message = binary.BigEndian.AppendUint16(message, uint16(len(fields)/2))
	for _, field := range fields {
		message = append(message, str8(field)...)
	}
	message = binary.BigEndian.AppendUint32(append(message, 0xc6), uint32(len(statement)))
	return append(message, statement...)
}

// peakMemoryKB returns the peak of the process's resident memory.
func (c *controller) peakMemoryKB() int {
	c.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		c.t.Fatal(err)
	}
	return peak
}

const (
	crowdMemoryMB = 32
	crowdSockets  = 1024
	crowdClients  = 320 // fewer than a third of the descriptors
	crowdLasts    = 10 * time.Second
	crowdTimeout  = "9000" // of the crowd's queries, in milliseconds
)

// crowdMember sends one round of messages on a new connection. The number differs in every round.
type crowdMember struct {
	conn   net.Conn
	number int
}

// message returns a query of the member, which differs by messageID from its others.
func (m crowdMember) message(messageID byte, statementBytes int, fields ...string) []byte {
	trace := fmt.Sprintf("%08x%08x", m.number, messageID)
	return queryMessage(messageID, "lookup", trace, crowdTimeout, make([]byte, statementBytes), fields...)
}

// writeSlowly writes a message in parts, with a pause after each.
func (m crowdMember) writeSlowly(message []byte, partBytes int, pause time.Duration) {
	for len(message) > 0 {
		part := message[:min(partBytes, len(message))]
		if _, err := m.conn.Write(part); err != nil {
			return
		}
		message = message[len(part):]
		time.Sleep(pause)
	}
}

// Hundreds of clients that wrote slowly, stopped half way through a large request or sent very many short
// fields once made the process use more memory than it may, with 32 MB and 1,024 descriptors.
func TestMemoryIsBoundedUnderManySlowClients(t *testing.T) {
	const largest = crowdMemoryMB<<20/64 - 2000 // a statement that the controller still accepts
	var manyFields []string
	for i := range 240 {
		manyFields = append(manyFields, fmt.Sprint("f", i), strings.Repeat("v", 200))
	}
	slow := func(m crowdMember) { m.writeSlowly(m.message(2, largest), 9000, 20*time.Millisecond) }
	half := func(m crowdMember) {
		message := m.message(2, largest)
		m.conn.Write(message[:len(message)/2])
		time.Sleep(time.Second)
	}
	large := func(m crowdMember) {
		for i := range 20 {
			m.conn.Write(m.message(byte(i+2), 100_000))
		}
		time.Sleep(time.Second)
	}
	fields := func(m crowdMember) {
		for i := range 25 {
			m.conn.Write(m.message(byte(i+2), 8, manyFields...))
		}
	}
	kinds := []func(m crowdMember){slow, large, half, fields}
	e, f := newFakeEngine(t, twoPages(true)), newFakeFeed(t)
	defer close(e.release)
	go func() {
		for range e.calls {
		}
	}()
	c := startWith(t, testSettings, crowdMemoryMB, f.Addr().String(), crowdSockets, "127.0.0.1:0",
		entry("e1", e.address(), "SERVING"))
	c.meetCrowd(func(m crowdMember) {
		m.conn.Write(m.message(1, 8)) // a query that stays open
		kinds[m.number%len(kinds)](m)
	})
	peak := c.peakMemoryKB()
	t.Logf("peak of resident memory: %d kB", peak)
	if peak > crowdMemoryMB<<10 {
		t.Errorf("the peak of resident memory is %d kB, allowed are %d", peak, crowdMemoryMB<<10)
	}
}

// meetCrowd lets hundreds of clients connect again and again for crowdLasts, each of which sends a round of
// messages and closes. The process must still run afterwards.
func (c *controller) meetCrowd(sendRound func(m crowdMember)) {
	c.t.Helper()
	until := time.Now().Add(crowdLasts)
	var group sync.WaitGroup
	for n := range crowdClients {
		group.Go(func() {
			for round := 0; time.Now().Before(until); round++ {
				conn, err := net.Dial("tcp", c.address)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				go io.Copy(io.Discard, conn)
				conn.SetDeadline(until.Add(time.Second))
				sendRound(crowdMember{conn, round*crowdClients + n})
				conn.Close()
			}
		})
	}
	group.Wait()
	select {
	case err := <-c.exited:
		c.t.Fatal("the process ended: ", err)
	default:
	}
}
