package transport

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/semaphore"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/node"
)

const (
	maxQueuedMessages = 256     // messages that wait for a peer
	maxBatchBytes     = 4 << 20 // in one POST, unless one message alone is more
	minBackoff        = 10 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	minBytesPerSecond = 1 << 20   // bytes a second: a frame's time-out grows by its length over this
	maxBytesBeingRead = 256 << 20 // of all frames that are being read, each counted as long as it says it is
	maxAttempts       = 2         // of a message that may have reached its peer

	pathFleet  = "/fleet"
	headerMAC  = "Fleet-Mac"
	headerBoot = "Fleet-Boot"
)

// Options are what a PeerTransport is made with.
type Options struct {
	Fleet       string       // its name: another fleet's frames are refused
	Self        string       // this controller's name
	Incarnation uint64       // of this run, 0: it is drawn
	Keys        Keys         // the first signs, all are accepted
	Listener    net.Listener // where peers come in; Close closes it

	// Got is handed what came in, on the goroutine of the connection it came by, which
	// answers its sender afterwards: it must not block for long.
	OnMessage func(*node.Message)
	// OnRejected is told what wasn't taken, once a minute for each peer and reason; from
	// is the peer's name, or its address where the name isn't proven. May be nil.
	OnRejected func(err fleet.ErrorWithRemedy, from string)

	Timeout     time.Duration // to connect, and for an answer; 0: 1 s. A frame has a second more for each MiB
	IdleTimeout time.Duration // a peer's goroutine and connection end after it; 0: 30 s
	Seed        uint64        // for the back-off

	LocalIP net.IP // connections to peers come from this address; nil: as the system chooses
	// Dial connects to peers in place of a net.Dialer, for links that a test shapes; nil: none does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// PeerTransport sends messages to peers and receives theirs. A message may be lost, doubled
// or late: whoever needs an answer asks again.
type PeerTransport struct {
	options    Options
	keys       atomic.Pointer[Keys]
	transport  *http.Transport
	server     *http.Server
	readBudget *semaphore.Weighted
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	serving    sync.WaitGroup // the listener's goroutine
	inbound    sync.WaitGroup // connections that came in
	outbound   sync.WaitGroup // peers' goroutines

	mu     sync.Mutex // over peers and closed
	peers  map[string]*peer
	closed bool

	replayGuardMu sync.Mutex
	replayGuard   *replayGuard

	counters
	meter byteMeter
}

// queuedMessage is an encoded message that waits to be sent.
type queuedMessage struct {
	body     cbor.RawMessage
	attempts int
}

// peer is one that was sent to. It has a goroutine only while there is something to send.
type peer struct {
	name string
	wake chan struct{} // of one place: a full one wakes as well

	mu          sync.Mutex
	address     string
	queue       []queuedMessage // at most maxQueuedMessages and MaxFrameBytes bytes: over it the oldest go
	queuedBytes int
	running     bool

	// Of the goroutine that runs.
	incarnation uint64 // the peer's, 0: not known
	seq         uint64
	backoff     time.Duration
	rand        *rand.Rand
}

// Open begins to listen. It fails only by its options.
func Open(o Options) (*PeerTransport, error) {
	if err := o.Keys.validate(); err != nil {
		return nil, err
	}
	if o.Incarnation == 0 {
		o.Incarnation = RandomID()
	}
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 30 * time.Second
	}
	w := &PeerTransport{options: o, peers: map[string]*peer{}, replayGuard: newReplayGuard(o.Fleet, o.Self, o.Incarnation),
		readBudget: semaphore.NewWeighted(maxBytesBeingRead)}
	w.init(o.OnRejected)
	w.keys.Store(&o.Keys)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: o.Timeout}
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	dial := dialer.DialContext
	if o.Dial != nil {
		dial = o.Dial
	}
	w.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(w.ctx, cancel)()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return w.meter.conn(c), nil
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFleet, w.serveFrame)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * o.Timeout, IdleTimeout: 2 * o.IdleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: discardLog, ConnState: countConnections(&w.inbound)}
	w.serving.Go(func() { w.server.Serve(w.meter.listener(o.Listener)) })
	return w, nil
}

// Boot is this run's number.
func (w *PeerTransport) Incarnation() uint64 { return w.options.Incarnation }

// SetKeys takes other keys from now on, for all that is sent and comes in.
func (w *PeerTransport) SetKeys(keys Keys) error {
	if err := keys.validate(); err != nil {
		return err
	}
	w.keys.Store(&keys)
	return nil
}

// Close ends all of it and waits for its goroutines. What waits is not sent any more.
func (w *PeerTransport) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	err := w.options.Listener.Close()
	w.serving.Wait() // first, so that no connection begins that the server's Close doesn't see
	w.server.Close()
	w.inbound.Wait()
	w.outbound.Wait()
	w.transport.CloseIdleConnections()
	return err
}

// Counts are what was done since the start: messages sent (and answered), got, dropped
// (a ring was full, or its peer away for too long), lost (sent, and no answer came),
// bytes_out and bytes_in of frames, conn_bytes_out and conn_bytes_in of connections with
// all that HTTP adds, cut (frames that ended too early), failed (POSTs without an
// answer), and refused_REASON.
func (w *PeerTransport) Counts() map[string]int {
	counts := w.counters.snapshot()
	counts["conn_bytes_out"], counts["conn_bytes_in"] = int(w.meter.sent.Load()), int(w.meter.received.Load())
	return counts
}

// Send puts a message into the ring of a peer and returns at once. If the ring is full
// its oldest message goes. The message must not be changed until Send returns; it is
// sent as from this controller and for that one, whatever it says.
func (w *PeerTransport) Send(to, address string, m *node.Message) {
	c := *m
	c.From, c.To = w.options.Self, to
	body, err := encoding.Marshal(&c)
	if err != nil {
		w.refuse(&MalformedError{w.options.Self, err}, to)
		return
	}
	if len(body) > MaxFrameBytes-1<<10 { // what a frame has beside its messages is under that
		w.refuse(&TooLargeError{to, int64(len(body)), MaxFrameBytes}, to)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.count("dropped", 1)
		return
	}
	p := w.peers[to]
	if p == nil {
		p = &peer{name: to, wake: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(w.options.Seed, xxhash.Sum64String(to)))}
		w.peers[to] = p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
	p.queue = append(p.queue, queuedMessage{body: body})
	p.queuedBytes += len(body)
	w.count("dropped", p.dropOldest())
	if !p.running {
		p.running = true
		w.outbound.Go(func() { w.sendLoop(p) })
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dropOldest keeps the queue within its bounds and tells how many messages were dropped.
func (p *peer) dropOldest() (gone int) {
	for len(p.queue) > maxQueuedMessages || p.queuedBytes > MaxFrameBytes {
		p.queuedBytes -= len(p.queue[0].body)
		p.queue[0] = queuedMessage{}
		p.queue = p.queue[1:]
		gone++
	}
	return gone
}

// nextBatch takes what goes into the next POST.
func (p *peer) nextBatch() (batch []queuedMessage, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, bytes := 0, 0
	for n < len(p.queue) && (n == 0 || bytes+len(p.queue[n].body) <= maxBatchBytes) {
		bytes += len(p.queue[n].body)
		n++
	}
	batch, p.queuedBytes = p.queue[:n:n], p.queuedBytes-bytes
	p.queue = append([]queuedMessage(nil), p.queue[n:]...)
	return batch, p.address
}

// requeue puts a batch back before all that came since, and tells what was given up: lost
// are messages that have had their attempts, dropped are those without room.
func (p *peer) requeue(batch []queuedMessage, tried bool) (lost, dropped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var back []queuedMessage
	for _, i := range batch {
		if tried {
			i.attempts++
		}
		if i.attempts < maxAttempts {
			back = append(back, i)
			p.queuedBytes += len(i.body)
		}
	}
	p.queue = append(back, p.queue...)
	return len(batch) - len(back), p.dropOldest()
}

// sendLoop is a peer's goroutine: it ends when there was nothing to send, or no answer, for
// as long as Options.Idle.
func (w *PeerTransport) sendLoop(p *peer) {
	timer := time.NewTimer(w.options.IdleTimeout)
	defer timer.Stop()
	good := time.Now() // the last time all was well
	for {
		batch, address := p.nextBatch()
		if len(batch) == 0 {
			timer.Reset(w.options.IdleTimeout)
			select {
			case <-p.wake:
				continue
			case <-timer.C:
			case <-w.ctx.Done():
			}
			if p.stopUnlessQueued(w.ctx.Err() != nil) {
				return
			}
			continue
		}
		tried, err := w.deliver(p, address, batch)
		var refused RejectionError
		switch {
		case err == nil:
			p.backoff, good = 0, time.Now()
			continue
		case errors.As(err, &refused):
			w.refuse(refused, p.name)
		default:
			w.count("failed", 1)
		}
		if _, away := err.(*PeerRejectedError); away {
			w.count("lost", len(batch)) // the same would be refused again
		} else {
			lost, dropped := p.requeue(batch, tried)
			w.count("lost", lost)
			w.count("dropped", dropped)
		}
		if time.Since(good) > w.options.IdleTimeout {
			w.count("dropped", p.dropAll())
			if p.stopUnlessQueued(false) {
				return
			}
			good = time.Now()
		}
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		timer.Reset(p.backoff/2 + time.Duration(p.rand.Int64N(int64(p.backoff/2)+1)))
		select {
		case <-timer.C:
		case <-w.ctx.Done():
			p.stopUnlessQueued(true)
			return
		}
	}
}

// stopUnlessQueued lets the goroutine end unless something came to be sent meanwhile;
// anyway ends it in any case.
func (p *peer) stopUnlessQueued(anyway bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 && !anyway {
		return false
	}
	p.running = false
	return true
}

func (p *peer) dropAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.queue)
	p.queue, p.queuedBytes = nil, 0
	return n
}

// deliver brings a batch to a peer. It first asks for the peer's boot number if it
// doesn't know it, and sends anew if that was an earlier run's. tried: it may have
// reached the peer though no answer came.
func (w *PeerTransport) deliver(p *peer, address string, batch []queuedMessage) (tried bool, err error) {
	messages := make([]cbor.RawMessage, len(batch))
	for i, it := range batch {
		messages[i] = it.body
	}
	for range 3 { // hello, the batch, and once more if the peer starts in between
		f := &frame{Fleet: w.options.Fleet, From: w.options.Self, To: p.name, SenderIncarnation: w.options.Incarnation, ReceiverIncarnation: p.incarnation}
		p.seq++
		f.Seq = p.seq
		if p.incarnation != 0 {
			f.Messages = messages
		}
		status, boot, err := w.post(f, address)
		if err != nil {
			var op *net.OpError
			return !errors.As(err, &op) || op.Op != "dial", err
		}
		if status == http.StatusNoContent {
			w.count("sent", len(batch))
			return true, nil
		}
		p.incarnation = boot
	}
	return false, errors.New("its boot number is another one each time")
}

// post sends one frame. The status is 204, or 409 with the peer's boot number.
func (w *PeerTransport) post(f *frame, address string) (status int, boot uint64, err error) {
	body, keys := encode(f), *w.keys.Load()
	sum := keys.sign(forFrame, body)
	ctx, cancel := context.WithTimeout(w.ctx, w.options.Timeout+w.timeoutFor(int64(len(body))))
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: pathFleet}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Header.Set(headerMAC, hex.EncodeToString(sum))
	w.count("bytes_out", len(body))
	a, err := w.transport.RoundTrip(r)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	io.CopyN(io.Discard, a.Body, 1<<10) // what is longer costs the connection
	if a.StatusCode != http.StatusNoContent && a.StatusCode != http.StatusConflict {
		return 0, 0, &PeerRejectedError{f.To, address, a.StatusCode}
	}
	boot, err = strconv.ParseUint(a.Header.Get(headerBoot), 16, 64)
	theirs, err2 := hex.DecodeString(a.Header.Get(headerMAC))
	said := encode(&answer{f.Fleet, f.To, a.StatusCode, boot, f.Seq, sum})
	if err != nil || err2 != nil || !keys.verify(forAnswer, said, theirs) {
		return 0, 0, &UnauthenticatedError{address, "an answer"}
	}
	if a.StatusCode == http.StatusConflict && (boot == 0 || boot == f.ReceiverIncarnation) {
		return 0, 0, &MalformedError{f.To, errors.New("it refuses its own boot number")}
	}
	return a.StatusCode, boot, nil
}

// timeoutFor is the time that so many bytes and an answer may take.
func (w *PeerTransport) timeoutFor(n int64) time.Duration {
	return w.options.Timeout + time.Duration(n)*time.Second/minBytesPerSecond
}

// serveFrame answers a POST. Nothing is handed on before all of a frame was checked.
func (w *PeerTransport) serveFrame(rw http.ResponseWriter, r *http.Request) {
	remote, _, _ := net.SplitHostPort(r.RemoteAddr)
	body, status := w.readFrame(rw, r, remote)
	if status != 0 {
		rw.WriteHeader(status)
		return
	}
	keys := *w.keys.Load()
	sum, _ := hex.DecodeString(r.Header.Get(headerMAC)) // what is no hex fits no key
	f, refused := authenticate(keys, body, sum, remote)
	if refused != nil {
		w.refuse(refused, remote)
		rw.WriteHeader(statusOf(refused))
		return
	}
	w.replayGuardMu.Lock()
	refused = w.replayGuard.accept(f)
	w.replayGuardMu.Unlock()
	var ms []*node.Message
	if refused == nil {
		ms, refused = f.messages()
	}
	switch {
	case refused != nil:
		w.refuse(refused, f.From)
		status = statusOf(refused)
	case f.ReceiverIncarnation == 0:
		status = http.StatusConflict // a hello
	default:
		status = http.StatusNoContent
		w.count("got", len(ms))
		for _, m := range ms {
			w.options.OnMessage(m)
		}
	}
	if status == http.StatusConflict || status == http.StatusNoContent {
		said := encode(&answer{w.options.Fleet, w.options.Self, status, w.options.Incarnation, f.Seq, sum})
		rw.Header().Set(headerBoot, strconv.FormatUint(w.options.Incarnation, 16))
		rw.Header().Set(headerMAC, hex.EncodeToString(keys.sign(forAnswer, said)))
	}
	rw.WriteHeader(status)
}

// readFrame reads a frame's bytes; a status other than 0 is the answer instead. They are
// read before it is known who sends them, so that all that are being read have a bound.
func (w *PeerTransport) readFrame(rw http.ResponseWriter, r *http.Request, remote string) ([]byte, int) {
	if r.ContentLength < 0 {
		return nil, http.StatusLengthRequired
	}
	if r.ContentLength > MaxFrameBytes {
		w.refuse(&TooLargeError{remote, r.ContentLength, MaxFrameBytes}, remote)
		return nil, http.StatusRequestEntityTooLarge
	}
	within := w.timeoutFor(r.ContentLength)
	http.NewResponseController(rw).SetReadDeadline(time.Now().Add(within))
	ctx, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	if w.readBudget.Acquire(ctx, r.ContentLength) != nil {
		return nil, http.StatusServiceUnavailable
	}
	defer w.readBudget.Release(r.ContentLength)
	body, err := io.ReadAll(r.Body)
	w.count("bytes_in", len(body))
	if err != nil {
		w.count("cut", 1)
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// discardLog drops what net/http would log of strangers' broken requests: it is counted here.
var discardLog = log.New(io.Discard, "", 0)

func statusOf(err RejectionError) int {
	switch err.(type) {
	case *StaleIncarnationError:
		return http.StatusConflict
	case *WrongRecipientError:
		return http.StatusMisdirectedRequest
	case *MalformedError:
		return http.StatusBadRequest
	case *TooLargeError:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusForbidden
}

// RandomID draws a number that no other incarnation has, not 0.
func RandomID() uint64 {
	var b [8]byte
	crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// countConnections counts a server's connections, so that its Close can wait for their goroutines.
func countConnections(conns *sync.WaitGroup) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			conns.Add(1)
		case http.StateClosed, http.StateHijacked:
			conns.Done()
		}
	}
}
