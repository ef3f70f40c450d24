package transport

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"railrelay.dev/railrelay/internal/fleet"
)

const (
	// MaxRequestBytes bounds an ask and a reply, in bytes.
	MaxRequestBytes = 16 << 20

	asksReading = 4 * MaxRequestBytes // of all asks that are being read, each counted as long as it says it is
	maxNonces   = 1 << 16             // remembered; after so many asks another challenge is drawn, and they are forgotten
	nonceBytes  = 16
	askConnect  = 5 * time.Second // to connect to a control listener and for its hello
	askRead     = 10 * time.Second

	pathHello   = "/hello"
	pathAsk     = "/ask"
	headerNonce = "Fleet-Nonce"

	forHello = "control hello 1"
	forAsk   = "control ask 1"
	forReply = "control reply 1"
)

// signedRequest is what the MACs of the control surface are over. Nonce is the client's, drawn
// for one ask; Boot is the listener's challenge. So an ask counts once, and on one
// controller's one run; a reply fits one ask.
type signedRequest struct {
	Nonce     string `cbor:"1,keyasint"`
	Challenge uint64 `cbor:"2,keyasint"`
	Status    int    `cbor:"3,keyasint,omitempty"` // of a reply
	Body      []byte `cbor:"4,keyasint,omitempty"`
}

// nonceGuard tells a request that was here before. It needs no clock and doesn't grow without
// bound: once it is full the challenge changes, and no ask made for the one before fits
// any more. Only asks with the right MAC come here, so a stranger can't fill it.
type nonceGuard struct {
	challenge    uint64
	seen         map[string]struct{}
	newChallenge func() uint64
}

// check reports whether a request is for the present challenge (fits) and new.
func (n *nonceGuard) check(boot uint64, nonce string) (fits, fresh bool) {
	if boot != n.challenge {
		return false, false
	}
	if _, ok := n.seen[nonce]; ok {
		return true, false
	}
	n.seen[nonce] = struct{}{}
	if len(n.seen) >= maxNonces {
		n.challenge, n.seen = n.newChallenge(), map[string]struct{}{}
	}
	return true, true
}

// ControlServer is the listener that operators' commands ask.
type ControlServer struct {
	keys       atomic.Pointer[Keys]
	handle     func(context.Context, *fleet.Request) (*fleet.Response, error)
	listener   net.Listener
	server     *http.Server
	readBudget *semaphore.Weighted
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	serving    sync.WaitGroup
	inbound    sync.WaitGroup

	mu     sync.Mutex
	nonces nonceGuard

	counters
}

// ServeControl begins to answer operators on a listener: POST /ask takes a fleet.Ask and
// gives a fleet.Reply, both JSON of at most MaxRequestBytes bytes, signed by the fleet's keys.
// ask may take as long as the ask's own patience; its context ends when who asked is
// gone or at Close. An error of it is told as the word unknown: nothing is said that
// isn't so. onRefused is as Options.OnRejected, and may be nil.
func ServeControl(l net.Listener, keys Keys, ask func(context.Context, *fleet.Request) (*fleet.Response, error),
	onRefused func(fleet.ErrorWithRemedy, string)) (*ControlServer, error) {
	if err := keys.validate(); err != nil {
		return nil, err
	}
	d := &ControlServer{handle: ask, listener: l, readBudget: semaphore.NewWeighted(asksReading), nonces: nonceGuard{RandomID(), map[string]struct{}{}, RandomID}}
	d.init(onRefused)
	d.keys.Store(&keys)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHello, d.serveHello)
	mux.HandleFunc("POST "+pathAsk, d.serveRequest)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: askRead, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: discardLog, ConnState: countConnections(&d.inbound), BaseContext: func(net.Listener) context.Context { return d.ctx }}
	d.serving.Go(func() { d.server.Serve(l) })
	return d, nil
}

// SetKeys takes other keys from now on.
func (d *ControlServer) SetKeys(keys Keys) error {
	if err := keys.validate(); err != nil {
		return err
	}
	d.keys.Store(&keys)
	return nil
}

// Close ends all asks and waits for their goroutines.
func (d *ControlServer) Close() error {
	d.cancel()
	err := d.listener.Close()
	d.serving.Wait()
	d.server.Close()
	d.inbound.Wait()
	return err
}

// Counts are asks answered (asks), and refused_REASON.
func (d *ControlServer) Counts() map[string]int { return d.counters.snapshot() }

func (d *ControlServer) rejectRequest(rw http.ResponseWriter, err RejectionError, from string) {
	d.counters.refuse(err, from)
	rw.WriteHeader(statusOf(err))
}

// hello gives the challenge, signed together with the client's nonce.
func (d *ControlServer) serveHello(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	boot := d.nonces.challenge
	d.mu.Unlock()
	nonce := r.Header.Get(headerNonce)
	if len(nonce) != 2*nonceBytes {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	d.writeSigned(rw, forHello, &signedRequest{Nonce: nonce, Challenge: boot, Status: http.StatusOK})
}

func (d *ControlServer) writeSigned(rw http.ResponseWriter, what string, a *signedRequest) {
	rw.Header().Set(headerBoot, strconv.FormatUint(a.Challenge, 16))
	rw.Header().Set(headerMAC, hex.EncodeToString((*d.keys.Load()).sign(what, encode(a))))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(a.Status)
	rw.Write(a.Body)
}

func (d *ControlServer) serveRequest(rw http.ResponseWriter, r *http.Request) {
	remote, _, _ := net.SplitHostPort(r.RemoteAddr)
	if r.ContentLength < 0 {
		rw.WriteHeader(http.StatusLengthRequired)
		return
	}
	if r.ContentLength > MaxRequestBytes {
		d.rejectRequest(rw, &TooLargeError{remote, r.ContentLength, MaxRequestBytes}, remote)
		return
	}
	body, err := d.readBody(rw, r)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	nonce := r.Header.Get(headerNonce)
	boot, err := strconv.ParseUint(r.Header.Get(headerBoot), 16, 64)
	sum, _ := hex.DecodeString(r.Header.Get(headerMAC)) // what is no hex fits no key
	if err != nil || len(nonce) != 2*nonceBytes ||
		!(*d.keys.Load()).verify(forAsk, encode(&signedRequest{Nonce: nonce, Challenge: boot, Body: body}), sum) {
		d.rejectRequest(rw, &UnauthenticatedError{remote, "an ask"}, remote)
		return
	}
	d.mu.Lock()
	fits, fresh := d.nonces.check(boot, nonce)
	now := d.nonces.challenge
	d.mu.Unlock()
	if !fits {
		d.writeSigned(rw, forReply, &signedRequest{Nonce: nonce, Challenge: now, Status: http.StatusConflict})
		return
	}
	if !fresh {
		d.rejectRequest(rw, &ReplayError{From: remote}, remote)
		return
	}
	a := &fleet.Request{}
	if err := json.Unmarshal(body, a); err != nil {
		d.rejectRequest(rw, &MalformedError{remote, err}, remote)
		return
	}
	reply, err := d.handle(r.Context(), a)
	if err != nil {
		reply = &fleet.Response{ID: a.ID, Outcome: "unknown", Reason: err.Error()}
		var remedied fleet.ErrorWithRemedy
		if errors.As(err, &remedied) {
			reply.Remedy = remedied.Remedy()
		}
	}
	text, err := json.Marshal(reply)
	if err == nil && len(text) > MaxRequestBytes {
		err = fmt.Errorf("the reply has %d bytes", len(text))
	}
	if err != nil {
		text, _ = json.Marshal(&fleet.Response{ID: a.ID, Outcome: "unknown", Reason: err.Error()})
	}
	d.count("asks", 1)
	d.writeSigned(rw, forReply, &signedRequest{Nonce: nonce, Challenge: boot, Status: http.StatusOK, Body: text})
}

func (d *ControlServer) readBody(rw http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(rw)
	control.SetReadDeadline(time.Now().Add(askRead))
	defer control.SetReadDeadline(time.Time{}) // the ask may wait longer than it took to read
	ctx, cancel := context.WithTimeout(r.Context(), askRead)
	defer cancel()
	if err := d.readBudget.Acquire(ctx, r.ContentLength); err != nil {
		return nil, err
	}
	defer d.readBudget.Release(r.ContentLength)
	return io.ReadAll(r.Body)
}

// SendControlRequest asks a controller's control listener. The context bounds how long: an ask
// with a patience of its own needs a context that lasts longer. An UnreachableError with
// Sent means that the ask may have been taken all the same: ask again by its id.
func SendControlRequest(ctx context.Context, address string, keys Keys, a *fleet.Request) (*fleet.Response, error) {
	if err := keys.validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(a)
	if err != nil {
		return nil, &MalformedError{"this ask", err}
	}
	if len(text) > MaxRequestBytes {
		return nil, &TooLargeError{address, int64(len(text)), MaxRequestBytes}
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: askConnect}).DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &controlClient{transport, address, keys}

	within, cancel := context.WithTimeout(ctx, askConnect)
	hello, err := c.call(within, http.MethodGet, pathHello, forHello, &signedRequest{Nonce: nonce()})
	cancel()
	if err != nil {
		return nil, err
	}
	for range 2 { // once more if the challenge changed in between
		q := &signedRequest{Nonce: nonce(), Challenge: hello.Challenge, Body: text}
		reply, err := c.call(ctx, http.MethodPost, pathAsk, forReply, q)
		switch {
		case err != nil:
			return nil, err
		case reply.Status == http.StatusConflict:
			hello = reply
			continue
		}
		r := &fleet.Response{}
		if err := json.Unmarshal(reply.Body, r); err != nil {
			return nil, &MalformedError{address, err}
		}
		return r, nil
	}
	return nil, &UnreachableError{address, false, errors.New("it changes its challenge each time")}
}

func nonce() string {
	var b [nonceBytes]byte
	crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

type controlClient struct {
	transport *http.Transport
	address   string
	keys      Keys
}

// call sends one request and gives its answer, signed as what; its status is 200, or
// 409 for an ask.
func (c *controlClient) call(ctx context.Context, method, path, what string, q *signedRequest) (*signedRequest, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(q.Body))
	if err != nil {
		return nil, &UnreachableError{c.address, false, err}
	}
	r.Header.Set(headerNonce, q.Nonce)
	if what == forReply {
		r.Header.Set(headerBoot, strconv.FormatUint(q.Challenge, 16))
		r.Header.Set(headerMAC, hex.EncodeToString(c.keys.sign(forAsk, encode(q))))
	}
	a, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, &UnreachableError{c.address, what == forReply, err}
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK && (a.StatusCode != http.StatusConflict || what != forReply) {
		return nil, &PeerRejectedError{"the controller", c.address, a.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, MaxRequestBytes+1))
	if err != nil {
		return nil, &UnreachableError{c.address, what == forReply, err}
	}
	if len(body) > MaxRequestBytes {
		return nil, &TooLargeError{c.address, int64(len(body)), MaxRequestBytes}
	}
	boot, err := strconv.ParseUint(a.Header.Get(headerBoot), 16, 64)
	sum, err2 := hex.DecodeString(a.Header.Get(headerMAC))
	said := &signedRequest{Nonce: q.Nonce, Challenge: boot, Status: a.StatusCode, Body: body}
	if err != nil || err2 != nil || !c.keys.verify(what, encode(said), sum) {
		return nil, &UnauthenticatedError{c.address, "an answer"}
	}
	return said, nil
}
