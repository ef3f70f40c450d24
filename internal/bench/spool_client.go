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

// patience is what clients wait for an answer.
const patience = 12 * time.Second

// reader is a client's connection that takes one answer at a time.
type reader struct {
	net.Conn
	in   []byte
	msg  uint32
	pace int // bytes a second, 0: as fast as they come
}

func dial(address string, pace int) (*reader, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if pace > 0 {
		c.(*net.TCPConn).SetReadBuffer(4096)
	}
	return &reader{Conn: c, pace: pace}, nil
}

func (r *reader) answer(ctx context.Context) (client.Answer, error) {
	p := make([]byte, 64<<10)
	if r.pace > 0 {
		p = p[:r.pace/4]
	}
	for {
		if a, n, err := client.Read(r.in); err != nil || n > 0 {
			r.in = slices.Clone(r.in[n:])
			return a, err
		}
		if r.pace > 0 {
			select {
			case <-ctx.Done():
				return client.Answer{}, ctx.Err()
			case <-time.After(time.Second / 4):
			}
		}
		n, err := r.Read(p)
		if r.in = append(r.in, p[:n]...); err != nil {
			return client.Answer{}, err
		}
	}
}

// ask asks for a result of so many rows, by pages or whole.
func (r *reader) ask(id string, rows int, paged bool, patience time.Duration) error {
	r.msg++
	fields := []string{"trace", id, "patience", strconv.FormatInt(patience.Milliseconds(), 10)}
	if paged {
		fields = append(fields, "pages", "1")
	}
	_, err := r.Write(client.AppendQuery(nil, r.msg, "report", engine.Statement(engine.Work{Threads: 1, CPU: 2 * time.Millisecond, MemoryMB: 10, Rows: rows}), fields...))
	return err
}

func (r *reader) page(ctx context.Context, token string, page int) (client.Answer, error) {
	r.msg++
	if _, err := r.Write(client.AppendPageRequest(nil, r.msg, token, strconv.Itoa(page))); err != nil {
		return client.Answer{}, err
	}
	return r.answer(ctx)
}

// promised is a result that a client was told it has.
type promised struct {
	id    string
	rows  int
	first []byte
	about map[string]string
}

// whole reads a promised result's other pages and compares all with what engines make.
func (p *promised) whole(ctx context.Context, r *reader) (lost, corrupt bool) {
	n, _ := strconv.Atoi(p.about["pages"])
	got := slices.Clone(p.first)
	for i := 1; i < n; i++ {
		a, err := r.page(ctx, p.about["token"], i)
		if err != nil || a.Kind != client.Finished {
			return true, false
		}
		got = append(got, a.Rows...)
	}
	return false, !bytes.Equal(got, world.ExpectedRows(&world.Query{ID: p.id, Work: engine.Work{Rows: p.rows}}))
}

// rid keeps when engines had done a query and when they were rid of it.
type rid struct {
	mu       sync.Mutex
	done     map[string]time.Time
	released map[string]time.Time
}

func (x *rid) hear(_ int, s *engine.Server) {
	s.Model.OnEnd = func(id string, how engine.Outcome, _ time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if how == engine.Succeeded {
			x.done[id] = time.Now()
		}
	}
	s.OnRelease = func(id string, _ time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if _, again := x.released[id]; !again {
			x.released[id] = time.Now()
		}
	}
}

// p99 is how long engines kept what they had done; what they were not told to forget
// they keep until they forget it by themselves.
func (x *rid) p99(forgets time.Duration) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	var l []time.Duration
	for id, at := range x.done {
		if r, ok := x.released[id]; ok {
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
