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
	maxQueuedMessages      = 256     // per peer
	maxBatchBytes          = 4 << 20 // in one POST, unless a single message is larger
	minBackoff             = 10 * time.Millisecond
	maxBackoff             = 500 * time.Millisecond
	minBytesPerSecond      = 1 << 20   // a frame's timeout grows by its size over this rate
	maxFrameBytesBeingRead = 256 << 20 // of all frames being read, each counted by its Content-Length
	maxAttempts            = 2         // for a message that may have reached its peer

	pathFrame         = "/fleet"
	headerMAC         = "Fleet-Mac"
	headerIncarnation = "Fleet-Boot" // in control requests and responses: the challenge
)

// Options configure a PeerTransport.
type Options struct {
	Fleet       string       // name of the fleet; frames of other fleets are rejected
	Self        string       // name of this controller
	Incarnation uint64       // of this controller; 0: chosen at random
	Keys        Keys         // the first key signs, all are accepted
	Listener    net.Listener // accepts connections from peers; Close closes it

	// OnMessage is called with each received message, on the goroutine of its connection. The
	// sender gets its response only afterwards, so OnMessage must not block for long.
	OnMessage func(*node.Message)
	// OnRejected is called with rejections, at most once a minute for each peer and reason. from
	// is the name of the peer, or its address if the name isn't authenticated. May be nil.
	OnRejected func(err fleet.ErrorWithRemedy, from string)

	Timeout     time.Duration // to connect, and for a response; 0: 1 s. A frame gets a second more for each MiB
	IdleTimeout time.Duration // after which a peer's goroutine and connection end; 0: 30 s
	Seed        uint64        // of the backoff jitter

	LocalIP net.IP // source address of connections to peers; nil: chosen by the system
	// Dial replaces net.Dialer for connections to peers, so that a test can shape the links. May be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// PeerTransport sends messages to peers and receives messages from peers. Messages may be lost,
// duplicated or delayed; a sender that needs a response must retry.
type PeerTransport struct {
	options    Options
	keys       atomic.Pointer[Keys]
	transport  *http.Transport
	server     *http.Server
	readBudget *semaphore.Weighted
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	serving    sync.WaitGroup // goroutine of the listener
	inbound    sync.WaitGroup // accepted connections
	outbound   sync.WaitGroup // goroutines of peers

	mu     sync.Mutex // guards peers and closed
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

// peer holds the send queue of a peer. It has a goroutine only while there are messages to send,
// and for Options.IdleTimeout afterwards.
type peer struct {
	name string
	wake chan struct{} // capacity 1: a full channel has the same effect as a send

	mu          sync.Mutex
	address     string
	queue       []queuedMessage // limited by maxQueuedMessages and MaxFrameBytes, see dropOldest
	queuedBytes int
	running     bool

	// Owned by the peer's goroutine.
	incarnation uint64 // of the peer; 0: unknown
	seq         uint64
	backoff     time.Duration
	rand        *rand.Rand
}

// Open starts to serve the listener. It fails only if the keys are invalid.
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
	t := &PeerTransport{options: o, peers: map[string]*peer{},
		replayGuard: newReplayGuard(o.Fleet, o.Self, o.Incarnation),
		readBudget:  semaphore.NewWeighted(maxFrameBytesBeingRead)}
	t.init(o.OnRejected)
	t.keys.Store(&o.Keys)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: o.Timeout}
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	dial := dialer.DialContext
	if o.Dial != nil {
		dial = o.Dial
	}
	t.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(t.ctx, cancel)()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.meter.conn(c), nil
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFrame, t.serveFrame)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * o.Timeout, IdleTimeout: 2 * o.IdleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: discardLog, ConnState: countConnections(&t.inbound)}
	t.serving.Go(func() { t.server.Serve(t.meter.listener(o.Listener)) })
	return t, nil
}

// Incarnation returns the incarnation number of this controller.
func (t *PeerTransport) Incarnation() uint64 { return t.options.Incarnation }

// SetKeys replaces the keys for all subsequent sends and receives.
func (t *PeerTransport) SetKeys(keys Keys) error {
	if err := keys.validate(); err != nil {
		return err
	}
	t.keys.Store(&keys)
	return nil
}

// Close closes the listener and all connections, and waits for the goroutines. Queued messages are
// discarded.
func (t *PeerTransport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	err := t.options.Listener.Close()
	t.serving.Wait() // first, so that no connection starts that the server's Close doesn't see
	t.server.Close()
	t.inbound.Wait()
	t.outbound.Wait()
	t.transport.CloseIdleConnections()
	return err
}

// Counts returns the counters since the start:
//   - sent: messages that the peer acknowledged
//   - got: messages received
//   - dropped: messages discarded because a queue was full or a peer was unreachable for too long
//   - lost: messages sent without an acknowledgement, and given up
//   - bytes_out, bytes_in: bytes of frames
//   - conn_bytes_out, conn_bytes_in: bytes of connections, including the HTTP overhead
//   - cut: frames that ended early
//   - failed: POSTs without a response
//   - refused_REASON: rejections by reason
func (t *PeerTransport) Counts() map[string]int {
	counts := t.counters.snapshot()
	counts["conn_bytes_out"], counts["conn_bytes_in"] = int(t.meter.sent.Load()), int(t.meter.received.Load())
	return counts
}

// Send queues a message for a peer and returns at once. If the queue is full, its oldest messages
// are dropped. The message must not be changed until Send returns. Send sets From and To of the
// message that it sends.
func (t *PeerTransport) Send(to, address string, m *node.Message) {
	c := *m
	c.From, c.To = t.options.Self, to
	body, err := encMode.Marshal(&c)
	if err != nil {
		t.reject(&MalformedError{t.options.Self, err}, to)
		return
	}
	if len(body) > MaxFrameBytes-1<<10 { // the other fields of a frame take less than 1 KiB
		t.reject(&TooLargeError{to, int64(len(body)), MaxFrameBytes}, to)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		t.count("dropped", 1)
		return
	}
	p := t.peers[to]
	if p == nil {
		p = &peer{name: to, wake: make(chan struct{}, 1),
			rand: rand.New(rand.NewPCG(t.options.Seed, xxhash.Sum64String(to)))}
		t.peers[to] = p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
	p.queue = append(p.queue, queuedMessage{body: body})
	p.queuedBytes += len(body)
	t.count("dropped", p.dropOldest())
	if !p.running {
		p.running = true
		t.outbound.Go(func() { t.sendLoop(p) })
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dropOldest drops the oldest messages until the queue is within its limits, and returns how many
// it dropped. p.mu must be held.
func (p *peer) dropOldest() (dropped int) {
	for len(p.queue) > maxQueuedMessages || p.queuedBytes > MaxFrameBytes {
		p.queuedBytes -= len(p.queue[0].body)
		p.queue[0] = queuedMessage{}
		p.queue = p.queue[1:]
		dropped++
	}
	return dropped
}

// nextBatch removes the messages of the next POST from the queue.
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

// requeue puts a batch back at the head of the queue. It returns the number of messages that were
// given up: lost after maxAttempts attempts, and dropped because the queue was full. Only attempts
// that may have reached the peer count.
func (p *peer) requeue(batch []queuedMessage, mayHaveArrived bool) (lost, dropped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var retried []queuedMessage
	for _, message := range batch {
		if mayHaveArrived {
			message.attempts++
		}
		if message.attempts < maxAttempts {
			retried = append(retried, message)
			p.queuedBytes += len(message.body)
		}
	}
	p.queue = append(retried, p.queue...)
	return len(batch) - len(retried), p.dropOldest()
}

// sendLoop is the goroutine of a peer. It ends when, for Options.IdleTimeout, there was nothing to
// send or no POST succeeded.
func (t *PeerTransport) sendLoop(p *peer) {
	timer := time.NewTimer(t.options.IdleTimeout)
	defer timer.Stop()
	lastSuccess := time.Now()
	for {
		batch, address := p.nextBatch()
		if len(batch) == 0 {
			timer.Reset(t.options.IdleTimeout)
			select {
			case <-p.wake:
				continue
			case <-timer.C:
			case <-t.ctx.Done():
			}
			if p.stopUnlessQueued(t.ctx.Err() != nil) {
				return
			}
			continue
		}
		mayHaveArrived, err := t.deliver(p, address, batch)
		var rejection RejectionError
		switch {
		case err == nil:
			p.backoff, lastSuccess = 0, time.Now()
			continue
		case errors.As(err, &rejection):
			t.reject(rejection, p.name)
		default:
			t.count("failed", 1)
		}
		if _, rejectedByPeer := err.(*PeerRejectedError); rejectedByPeer {
			t.count("lost", len(batch)) // a retry would be rejected again
		} else {
			lost, dropped := p.requeue(batch, mayHaveArrived)
			t.count("lost", lost)
			t.count("dropped", dropped)
		}
		if time.Since(lastSuccess) > t.options.IdleTimeout {
			t.count("dropped", p.dropAll())
			if p.stopUnlessQueued(onlyIfEmpty) {
				return
			}
			lastSuccess = time.Now()
		}
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		timer.Reset(p.backoff/2 + time.Duration(p.rand.Int64N(int64(p.backoff/2)+1)))
		select {
		case <-timer.C:
		case <-t.ctx.Done():
			p.stopUnlessQueued(evenIfQueued)
			return
		}
	}
}

// Values of stopUnlessQueued's force.
const (
	onlyIfEmpty  = false
	evenIfQueued = true
)

// stopUnlessQueued marks the goroutine as ended, and reports true, unless messages are queued and
// force is false.
func (p *peer) stopUnlessQueued(force bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > 0 && !force {
		return false
	}
	p.running = false
	return true
}

// dropAll empties the queue and returns the number of messages dropped.
func (p *peer) dropAll() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.queue)
	p.queue, p.queuedBytes = nil, 0
	return n
}

// deliver sends a batch to a peer. If the peer's incarnation is unknown, deliver asks for it with a
// hello first; if the peer has restarted, deliver resends the batch to the new incarnation.
// mayHaveArrived reports whether the batch may have reached the peer despite an error.
func (t *PeerTransport) deliver(p *peer, address string,
	batch []queuedMessage) (mayHaveArrived bool, err error) {
	messages := make([]cbor.RawMessage, len(batch))
	for i, message := range batch {
		messages[i] = message.body
	}
	for range 3 { // a hello, the batch, and the batch again if the peer restarts in between
		f := &frame{Fleet: t.options.Fleet, From: t.options.Self, To: p.name,
			SenderIncarnation: t.options.Incarnation, ReceiverIncarnation: p.incarnation}
		p.seq++
		f.Seq = p.seq
		if p.incarnation != 0 {
			f.Messages = messages
		}
		status, incarnation, err := t.post(f, address)
		if err != nil {
			var op *net.OpError
			return !errors.As(err, &op) || op.Op != "dial", err
		}
		if status == http.StatusNoContent {
			t.count("sent", len(batch))
			return true, nil
		}
		p.incarnation = incarnation
	}
	return false, errors.New("peer responded with a different incarnation to each attempt")
}

// post sends one frame. The status is 204, or 409 together with the peer's current incarnation.
func (t *PeerTransport) post(f *frame, address string) (status int, incarnation uint64, err error) {
	body, keys := encode(f), *t.keys.Load()
	sum := keys.sign(purposeFrame, body)
	ctx, cancel := context.WithTimeout(t.ctx, t.options.Timeout+t.timeoutFor(int64(len(body))))
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: pathFrame}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set(headerMAC, hex.EncodeToString(sum))
	t.count("bytes_out", len(body))
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	io.CopyN(io.Discard, response.Body, 1<<10) // the connection isn't reused after a longer body
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusConflict {
		return 0, 0, &PeerRejectedError{f.To, address, response.StatusCode}
	}
	incarnation, err = strconv.ParseUint(response.Header.Get(headerIncarnation), 16, 64)
	responseSum, macErr := hex.DecodeString(response.Header.Get(headerMAC))
	signed := encode(&frameResponse{f.Fleet, f.To, response.StatusCode, incarnation, f.Seq, sum})
	if err != nil || macErr != nil || !keys.verify(purposeFrameResponse, signed, responseSum) {
		return 0, 0, &UnauthenticatedError{address, "a response"}
	}
	if response.StatusCode == http.StatusConflict && (incarnation == 0 || incarnation == f.ReceiverIncarnation) {
		return 0, 0, &MalformedError{f.To, errors.New("status 409 doesn't name a different incarnation")}
	}
	return response.StatusCode, incarnation, nil
}

// timeoutFor returns the time that a transfer of n bytes and the response may take.
func (t *PeerTransport) timeoutFor(n int64) time.Duration {
	return t.options.Timeout + time.Duration(n)*time.Second/minBytesPerSecond
}

// serveFrame handles the POST of a frame. It delivers no message before the whole frame is verified.
func (t *PeerTransport) serveFrame(rw http.ResponseWriter, r *http.Request) {
	remote, _, _ := net.SplitHostPort(r.RemoteAddr)
	body, status := t.readFrame(rw, r, remote)
	if status != 0 {
		rw.WriteHeader(status)
		return
	}
	keys := *t.keys.Load()
	sum, _ := hex.DecodeString(r.Header.Get(headerMAC)) // a header that isn't hex matches no key
	f, rejection := authenticate(keys, body, sum, remote)
	if rejection != nil {
		t.reject(rejection, remote)
		rw.WriteHeader(statusFor(rejection))
		return
	}
	t.replayGuardMu.Lock()
	rejection = t.replayGuard.accept(f)
	t.replayGuardMu.Unlock()
	var messages []*node.Message
	if rejection == nil {
		messages, rejection = f.decodeMessages()
	}
	switch {
	case rejection != nil:
		t.reject(rejection, f.From)
		status = statusFor(rejection)
	case f.ReceiverIncarnation == 0:
		status = http.StatusConflict // a hello
	default:
		status = http.StatusNoContent
		t.count("got", len(messages))
		for _, m := range messages {
			t.options.OnMessage(m)
		}
	}
	if status == http.StatusConflict || status == http.StatusNoContent {
		signed := encode(&frameResponse{t.options.Fleet, t.options.Self, status, t.options.Incarnation, f.Seq, sum})
		rw.Header().Set(headerIncarnation, strconv.FormatUint(t.options.Incarnation, 16))
		rw.Header().Set(headerMAC, hex.EncodeToString(keys.sign(purposeFrameResponse, signed)))
	}
	rw.WriteHeader(status)
}

// readFrame reads the body of a frame. If it fails, it returns the HTTP status to respond with,
// else 0. The sender isn't authenticated yet, so readBudget limits the memory of all frames that
// are being read.
func (t *PeerTransport) readFrame(rw http.ResponseWriter, r *http.Request, remote string) ([]byte, int) {
	if r.ContentLength < 0 {
		return nil, http.StatusLengthRequired
	}
	if r.ContentLength > MaxFrameBytes {
		t.reject(&TooLargeError{remote, r.ContentLength, MaxFrameBytes}, remote)
		return nil, http.StatusRequestEntityTooLarge
	}
	timeout := t.timeoutFor(r.ContentLength)
	http.NewResponseController(rw).SetReadDeadline(time.Now().Add(timeout))
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	if t.readBudget.Acquire(ctx, r.ContentLength) != nil {
		return nil, http.StatusServiceUnavailable
	}
	defer t.readBudget.Release(r.ContentLength)
	body, err := io.ReadAll(r.Body)
	t.count("bytes_in", len(body))
	if err != nil {
		t.count("cut", 1)
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// discardLog drops the messages of net/http about invalid requests. Rejected frames and requests
// are counted and reported by counters instead.
var discardLog = log.New(io.Discard, "", 0)

// statusFor returns the HTTP status for a rejection.
func statusFor(err RejectionError) int {
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

// RandomID returns a random odd 64-bit number, unlikely to be returned twice and never 0.
func RandomID() uint64 {
	var b [8]byte
	crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// countConnections returns an http.Server.ConnState hook that counts the open connections in conns,
// so that Close can wait for their goroutines.
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
