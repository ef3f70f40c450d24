package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// answer is a controller's answer to a call.
type answer struct {
	number  uint32
	problem string // the error's name; empty: none
	body    []byte
	alive   bool
}

func appendText(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(append(b, 0xd9, byte(len(s))), s...)
}

// appendCall appends the message [0, NUMBER, METHOD, [FIELDS, BODY]], or without a body [FIELDS].
func appendCall(b []byte, number uint32, method string, fields []string, body []byte, hasBody bool) []byte {
	b = binary.BigEndian.AppendUint32(append(b, 0x94, 0, 0xce), number)
	b = appendText(b, method)
	if hasBody {
		b = append(b, 0x92)
	} else {
		b = append(b, 0x91)
	}
	b = append(b, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		b = appendText(b, f)
	}
	if hasBody {
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(body)))
		b = append(b, body...)
	}
	return b
}

// reader reads MessagePack values; ok turns false where bytes are missing or of another kind.
type reader struct {
	data []byte
	ok   bool
}

func (r *reader) take(n int) []byte {
	if !r.ok || len(r.data) < n {
		r.ok = false
		return make([]byte, max(n, 1))
	}
	part := r.data[:n]
	r.data = r.data[n:]
	return part
}

func (r *reader) number(size int) (n int) {
	for _, b := range r.take(size) {
		n = n<<8 | int(b)
	}
	return n
}

// value reads a number, a text or bytes, nil, a bool, an array or a map.
func (r *reader) value() any {
	switch b := r.take(1)[0]; {
	case !r.ok:
		return nil
	case b < 0x80:
		return int(b)
	case b < 0x90:
		return r.list(2 * int(b&0x0f))
	case b < 0xa0:
		return r.list(int(b & 0x0f))
	case b < 0xc0:
		return append([]byte{}, r.take(int(b&0x1f))...)
	case b == 0xc0, b == 0xc2:
		return nil
	case b == 0xc3:
		return true
	case b >= 0xc4 && b <= 0xc6:
		return append([]byte{}, r.take(r.number(1<<(b-0xc4)))...)
	case b >= 0xcc && b <= 0xcf:
		return r.number(1 << (b - 0xcc))
	case b >= 0xd9 && b <= 0xdb:
		return append([]byte{}, r.take(r.number(1<<(b-0xd9)))...)
	}
	r.ok = false
	return nil
}

func (r *reader) list(n int) (items []any) {
	for ; n > 0 && r.ok; n-- {
		items = append(items, r.value())
	}
	return items
}

// readAnswer reads one answer and returns the bytes behind it; ok is false if it is not whole.
func readAnswer(data []byte) (a answer, rest []byte, ok bool) {
	r := &reader{data, true}
	parts, _ := r.value().([]any)
	if !r.ok || len(parts) != 4 {
		return a, data, false
	}
	number, _ := parts[1].(int)
	a.number = uint32(number)
	if failure, is := parts[2].([]any); is && len(failure) > 0 {
		name, _ := failure[0].([]byte)
		a.problem = string(name)
		if len(failure) > 1 {
			a.problem += fmt.Sprintf(" %s", failure[1])
		}
	}
	if result, is := parts[3].([]any); is && len(result) > 0 {
		a.body, _ = result[0].([]byte)
		a.alive = result[0] == true
	}
	return a, r.data, true
}

// request is one request of a client, from when its last byte is written.
type request struct {
	trace    string
	number   uint32
	class    string
	sentAt   time.Time
	patience time.Duration
	answers  []answer
	at       time.Time // of the first answer
	done     chan struct{}
	closed   bool // done is closed
}

// client is one connection to the controller.
type client struct {
	conn   net.Conn
	record *record
	name   string
	slots  chan struct{} // one for each open request: up to 32, by the protocol

	mu       sync.Mutex
	last     uint32
	requests map[uint32]*request
	all      []*request
	endedAt  time.Time
	endedBy  error
	// stayAwayUntil is how long the controller's last refusal told the client to stay away.
	stayAwayUntil time.Time
}

func connect(r *record, address, name string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, record: r, name: name, slots: make(chan struct{}, 32),
		requests: map[uint32]*request{}}
	go c.read()
	return c, nil
}

// newRequest makes a request with a new trace, and its message. The key may be empty.
func (c *client) newRequest(class, key, statement string, patience time.Duration) (*request, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	q := &request{trace: fmt.Sprintf("%016x", rand.Uint64()), number: c.last, class: class,
		patience: patience, done: make(chan struct{})}
	fields := []string{"trace", q.trace, "patience", fmt.Sprint(patience.Milliseconds())}
	if key != "" {
		fields = append(fields, "entity", key)
	}
	return q, appendCall(nil, q.number, class, fields, []byte(statement), true)
}

// opened notes that a request is on its way; called before its last byte is written.
func (c *client) opened(q *request) {
	c.mu.Lock()
	q.sentAt = time.Now()
	c.requests[q.number] = q
	c.all = append(c.all, q)
	c.mu.Unlock()
	c.record.line("%s sent %s %s", c.name, q.trace, q.class)
}

// send writes a request in one piece once fewer than 32 are open.
func (c *client) send(class, key, statement string, patience time.Duration) (*request, error) {
	c.slots <- struct{}{}
	q, message := c.newRequest(class, key, statement, patience)
	c.opened(q)
	_, err := c.conn.Write(message)
	return q, err
}

// sendInPieces writes a request in pieces, with pauses between them.
func (c *client) sendInPieces(class, key, statement string, patience time.Duration, piece int,
	pause time.Duration) error {
	c.slots <- struct{}{}
	q, message := c.newRequest(class, key, statement, patience)
	c.record.line("%s begins to write %s, %d bytes", c.name, q.trace, len(message))
	for len(message) > piece {
		if _, err := c.conn.Write(message[:piece]); err != nil {
			return err
		}
		message = message[piece:]
		time.Sleep(pause)
		if c.isOver() {
			return errors.New("the controller ended the connection")
		}
	}
	c.opened(q)
	_, err := c.conn.Write(message)
	return err
}

func (c *client) read() {
	var data []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.conn.Read(buffer)
		data = append(data, buffer[:n]...)
		for {
			a, rest, ok := readAnswer(data)
			if !ok {
				break
			}
			data = rest
			c.answered(a)
		}
		if err != nil {
			c.ended(err)
			return
		}
	}
}

func (c *client) answered(a answer) {
	c.mu.Lock()
	q := c.requests[a.number]
	c.mu.Unlock()
	if q == nil {
		c.record.line("%s got an answer to no request of its own: %d %q", c.name, a.number, a.problem)
		return
	}
	c.mu.Lock()
	q.answers = append(q.answers, a)
	first := !q.closed
	q.closed = true
	if first {
		q.at = time.Now()
	}
	var pause int
	if _, err := fmt.Sscanf(a.problem, "Throttled [pause %d", &pause); err == nil {
		c.stayAwayUntil = time.Now().Add(time.Duration(pause) * time.Millisecond)
	}
	c.mu.Unlock()
	c.record.line("%s answered %s %q %q", c.name, q.trace, a.problem, firstLine(a.body))
	if first {
		close(q.done)
		select {
		case <-c.slots:
		default:
		}
	}
}

func (c *client) ended(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt, c.endedBy = time.Now(), err
	open := 0
	for _, q := range c.requests {
		if !q.closed {
			open++
			q.closed = true
			close(q.done)
		}
	}
	c.record.line("%s: the connection ended with %d requests open: %v", c.name, open, err)
	for len(c.slots) > 0 {
		<-c.slots
	}
}

// isOver reports whether the connection has ended.
func (c *client) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.endedAt.IsZero()
}

// isToldToStayAway reports whether a refusal told the client to stay away for now.
func (c *client) isToldToStayAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.stayAwayUntil)
}

func firstLine(body []byte) string {
	for i, b := range body {
		if b == '\n' {
			return string(body[:i])
		}
	}
	return string(body)
}
