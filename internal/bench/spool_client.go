package bench

import (
	"bytes"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
)

// spoolPatience is what clients wait for an answer.
const spoolPatience = 12 * time.Second

// resultReader is a client's connection that takes one answer at a time.
type resultReader struct {
	net.Conn
	received       []byte
	lastMessage    uint32
	bytesPerSecond int // bytes a second, 0: as fast as they come
}

func dialController(address string, pace int) (*resultReader, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if pace > 0 {
		c.(*net.TCPConn).SetReadBuffer(4096)
	}
	return &resultReader{Conn: c, bytesPerSecond: pace}, nil
}

func (r *resultReader) readAnswer(ctx context.Context) (client.Answer, error) {
	p := make([]byte, 64<<10)
	if r.bytesPerSecond > 0 {
		p = p[:r.bytesPerSecond/4]
	}
	for {
		if a, n, err := client.Read(r.received); err != nil || n > 0 {
			r.received = slices.Clone(r.received[n:])
			return a, err
		}
		if r.bytesPerSecond > 0 {
			select {
			case <-ctx.Done():
				return client.Answer{}, ctx.Err()
			case <-time.After(time.Second / 4):
			}
		}
		n, err := r.Read(p)
		if r.received = append(r.received, p[:n]...); err != nil {
			return client.Answer{}, err
		}
	}
}

// submitQuery asks for a result of so many rows, by pages or whole.
func (r *resultReader) submitQuery(id string, rows int, paged bool, patience time.Duration) error {
	r.lastMessage++
	fields := []string{"trace", id, "patience", strconv.FormatInt(patience.Milliseconds(), 10)}
	if paged {
		fields = append(fields, "pages", "1")
	}
	_, err := r.Write(client.AppendQuery(nil, r.lastMessage, "report", engine.Statement(engine.Work{Threads: 1, CPU: 2 * time.Millisecond, MemoryMB: 10, Rows: rows}), fields...))
	return err
}

func (r *resultReader) requestPage(ctx context.Context, token string, page int) (client.Answer, error) {
	r.lastMessage++
	if _, err := r.Write(client.AppendPageRequest(nil, r.lastMessage, token, strconv.Itoa(page))); err != nil {
		return client.Answer{}, err
	}
	return r.readAnswer(ctx)
}

// acknowledgedResult is a result that a client was told it has.
type acknowledgedResult struct {
	id        string
	rows      int
	firstPage []byte
	fields    map[string]string
}

// verify reads a promised result's other pages and compares all with what engines make.
func (p *acknowledgedResult) verify(ctx context.Context, r *resultReader) (lost, corrupt bool) {
	n, _ := strconv.Atoi(p.fields["pages"])
	got := slices.Clone(p.firstPage)
	for i := 1; i < n; i++ {
		a, err := r.requestPage(ctx, p.fields["token"], i)
		if err != nil || a.Kind != client.Finished {
			return true, false
		}
		got = append(got, a.Rows...)
	}
	return false, !bytes.Equal(got, world.ExpectedRows(&world.Query{ID: p.id, Work: engine.Work{Rows: p.rows}}))
}

// releaseRecorder keeps when engines had done a query and when they were rid of it.
type releaseRecorder struct {
	mu         sync.Mutex
	finishedAt map[string]time.Time
	releasedAt map[string]time.Time
}

func (x *releaseRecorder) observe(_ int, s *engine.Server) {
	s.Model.OnEnd = func(id string, how engine.Outcome, _ time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if how == engine.Succeeded {
			x.finishedAt[id] = time.Now()
		}
	}
	s.OnRelease = func(id string, _ time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if _, again := x.releasedAt[id]; !again {
			x.releasedAt[id] = time.Now()
		}
	}
}

// p99HoldSeconds is how long engines kept what they had done; what they were not told to forget
// they keep until they forget it by themselves.
func (x *releaseRecorder) p99HoldSeconds(forgets time.Duration) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	var l []time.Duration
	for id, at := range x.finishedAt {
		if r, ok := x.releasedAt[id]; ok {
			l = append(l, r.Sub(at))
		} else {
			l = append(l, forgets)
		}
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)*99/100].Seconds()
}
