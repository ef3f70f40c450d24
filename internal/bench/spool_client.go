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

// spoolPatience is how long clients wait for an answer.
const spoolPatience = 12 * time.Second

// resultReader is a client connection that reads one answer at a time, optionally at a limited rate.
type resultReader struct {
	net.Conn
	received       []byte // bytes that readAnswer has not returned yet
	lastMessage    uint32
	bytesPerSecond int // rate limit; 0 for none
}

// dialController connects to a controller. If bytesPerSecond isn't 0, it limits the rate at which the client
// reads. It then also makes the receive buffer small, so that the controller notices the slow reads.
func dialController(address string, bytesPerSecond int) (*resultReader, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if bytesPerSecond > 0 {
		c.(*net.TCPConn).SetReadBuffer(4096)
	}
	return &resultReader{Conn: c, bytesPerSecond: bytesPerSecond}, nil
}

// readAnswer returns the next message from the controller.
func (r *resultReader) readAnswer(ctx context.Context) (client.Answer, error) {
	buffer := make([]byte, 64<<10)
	if r.bytesPerSecond > 0 {
		buffer = buffer[:r.bytesPerSecond/4]
	}
	for {
		if answer, n, err := client.Read(r.received); err != nil || n > 0 {
			r.received = slices.Clone(r.received[n:])
			return answer, err
		}
		if r.bytesPerSecond > 0 {
			select {
			case <-ctx.Done():
				return client.Answer{}, ctx.Err()
			case <-time.After(time.Second / 4):
			}
		}
		n, err := r.Read(buffer)
		if r.received = append(r.received, buffer[:n]...); err != nil {
			return client.Answer{}, err
		}
	}
}

// submitQuery submits a query whose result has a number of rows. If paged is true, it requests the result
// in pages.
func (r *resultReader) submitQuery(id string, rows int, paged bool, patience time.Duration) error {
	r.lastMessage++
	fields := []string{"trace", id, "patience", strconv.FormatInt(patience.Milliseconds(), 10)}
	if paged {
		fields = append(fields, "pages", "1")
	}
	_, err := r.Write(client.AppendQuery(nil, r.lastMessage, "report", engine.Statement(engine.Work{Threads: 1,
		CPU: 2 * time.Millisecond, MemoryMB: 10, Rows: rows}), fields...))
	return err
}

// requestPage requests one page of a spooled result and returns the answer.
func (r *resultReader) requestPage(ctx context.Context, token string, page int) (client.Answer, error) {
	r.lastMessage++
	if _, err := r.Write(client.AppendPageRequest(nil, r.lastMessage, token, strconv.Itoa(page))); err != nil {
		return client.Answer{}, err
	}
	return r.readAnswer(ctx)
}

// acknowledgedResult is a spooled result. A client has received the result's first page and token.
type acknowledgedResult struct {
	id        string
	rows      int
	firstPage []byte
	fields    map[string]string // fields of the answer, with the token and the number of pages
}

// verify reads the other pages of a result and compares all pages with the rows that the engines
// generate. The result is lost if a page can't be read.
func (result *acknowledgedResult) verify(ctx context.Context, r *resultReader) (lost, corrupt bool) {
	pages, _ := strconv.Atoi(result.fields["pages"])
	rows := slices.Clone(result.firstPage)
	for i := 1; i < pages; i++ {
		answer, err := r.requestPage(ctx, result.fields["token"], i)
		if err != nil || answer.Kind != client.Finished {
			return true, false
		}
		rows = append(rows, answer.Rows...)
	}
	return false, !bytes.Equal(rows,
		world.ExpectedRows(&world.Query{ID: result.id, Work: engine.Work{Rows: result.rows}}))
}

// releaseRecorder records when queries finish at the engines, and when the controller releases the queries.
type releaseRecorder struct {
	mu         sync.Mutex
	finishedAt map[string]time.Time
	releasedAt map[string]time.Time
}

// observe sets the recorder's methods as callbacks of an engine.
func (r *releaseRecorder) observe(_ int, s *engine.Server) {
	s.Model.OnEnd = func(id string, outcome engine.Outcome, _ time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if outcome == engine.Succeeded {
			r.finishedAt[id] = time.Now()
		}
	}
	s.OnRelease = func(id string, _ time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, released := r.releasedAt[id]; !released {
			r.releasedAt[id] = time.Now()
		}
	}
}

// p99HoldSeconds returns the 99th percentile of the times for which engines held finished queries. If the
// controller didn't release a query, its hold time is abandonAfter, after which the engine deletes the query.
func (r *releaseRecorder) p99HoldSeconds(abandonAfter time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var holdTimes []time.Duration
	for id, finishedAt := range r.finishedAt {
		if releasedAt, ok := r.releasedAt[id]; ok {
			holdTimes = append(holdTimes, releasedAt.Sub(finishedAt))
		} else {
			holdTimes = append(holdTimes, abandonAfter)
		}
	}
	if len(holdTimes) == 0 {
		return 0
	}
	slices.Sort(holdTimes)
	return holdTimes[len(holdTimes)*99/100].Seconds()
}
