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
	// MaxRequestBytes is the size limit of a request body and of a response body.
	MaxRequestBytes = 16 << 20

	maxRequestBytesBeingRead = 4 * MaxRequestBytes // each request counted by its Content-Length
	maxNonces                = 1 << 16             // a new challenge is chosen when this many are stored
	nonceBytes               = 16
	controlConnectTimeout    = 5 * time.Second // to connect to a control listener and complete the hello
	requestReadTimeout       = 10 * time.Second

	pathHello   = "/hello"
	pathRequest = "/ask"
	headerNonce = "Fleet-Nonce"

	purposeHello    = "control hello 1"
	purposeRequest  = "control ask 1"
	purposeResponse = "control reply 1"
)

// signedMessage is the data that the MACs of control requests and responses cover. Nonce is chosen
// by the client for each request; Challenge is chosen by the server. A request is therefore
// accepted once, by one run of one controller, and a response verifies for one request only.
type signedMessage struct {
	Nonce     string `cbor:"1,keyasint"`
	Challenge uint64 `cbor:"2,keyasint"`
	Status    int    `cbor:"3,keyasint,omitempty"` // of a response
	Body      []byte `cbor:"4,keyasint,omitempty"`
}

// nonceGuard detects replayed requests. It needs no clock, and its size is bounded: once it holds
// maxNonces nonces, it chooses a new challenge, which invalidates all requests made for the previous
// one, and discards the nonces. Only requests with a valid MAC reach it, so that clients without a
// key can't fill it.
type nonceGuard struct {
	challenge    uint64
	seen         map[string]struct{}
	newChallenge func() uint64
}

// check reports whether a request was made for the current challenge, and whether its nonce is new.
func (n *nonceGuard) check(challenge uint64, nonce string) (isCurrent, isNew bool) {
	if challenge != n.challenge {
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

// ControlServer serves the requests of operators' commands.
type ControlServer struct {
	keys       atomic.Pointer[Keys]
	handle     func(context.Context, *fleet.Request) (*fleet.Response, error)
	listener   net.Listener
	server     *http.Server
	readBudget *semaphore.Weighted
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	serving    sync.WaitGroup
	inbound    sync.WaitGroup

	mu     sync.Mutex
	nonces nonceGuard

	counters
}

// ServeControl starts to serve operators on a listener. POST /ask takes a fleet.Request and returns
// a fleet.Response, both as JSON of at most MaxRequestBytes bytes, signed with the fleet's keys.
// handle may block for as long as the request's WaitMs; its context is canceled when the client
// disconnects or the server is closed. An error of handle is returned as the outcome "unknown",
// since the request may still take effect. onRejected is the same as Options.OnRejected, and may be
// nil.
func ServeControl(l net.Listener, keys Keys,
	handle func(context.Context, *fleet.Request) (*fleet.Response, error),
	onRejected func(fleet.ErrorWithRemedy, string)) (*ControlServer, error) {
	if err := keys.validate(); err != nil {
		return nil, err
	}
	s := &ControlServer{handle: handle, listener: l,
		readBudget: semaphore.NewWeighted(maxRequestBytesBeingRead),
		nonces:     nonceGuard{RandomID(), map[string]struct{}{}, RandomID}}
	s.init(onRejected)
	s.keys.Store(&keys)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHello, s.serveHello)
	mux.HandleFunc("POST "+pathRequest, s.serveRequest)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: requestReadTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: 8 << 10,
		ErrorLog:       discardLog, ConnState: countConnections(&s.inbound),
		BaseContext: func(net.Listener) context.Context { return s.ctx }}
	s.serving.Go(func() { s.server.Serve(l) })
	return s, nil
}

// SetKeys replaces the keys for all subsequent requests and responses.
func (s *ControlServer) SetKeys(keys Keys) error {
	if err := keys.validate(); err != nil {
		return err
	}
	s.keys.Store(&keys)
	return nil
}

// Close closes the listener, cancels all requests and waits for their goroutines.
func (s *ControlServer) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.serving.Wait()
	s.server.Close()
	s.inbound.Wait()
	return err
}

// Counts returns the counters since the start: asks (requests answered) and refused_REASON
// (rejections by reason).
func (s *ControlServer) Counts() map[string]int { return s.counters.snapshot() }

// rejectRequest counts a rejection and responds with its HTTP status.
func (s *ControlServer) rejectRequest(rw http.ResponseWriter, err RejectionError, from string) {
	s.counters.reject(err, from)
	rw.WriteHeader(statusFor(err))
}

// serveHello returns the current challenge, signed together with the client's nonce.
func (s *ControlServer) serveHello(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	challenge := s.nonces.challenge
	s.mu.Unlock()
	nonce := r.Header.Get(headerNonce)
	if len(nonce) != 2*nonceBytes {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writeSigned(rw, purposeHello, &signedMessage{Nonce: nonce, Challenge: challenge, Status: http.StatusOK})
}

// writeSigned writes message as an HTTP response, with its MAC in a header.
func (s *ControlServer) writeSigned(rw http.ResponseWriter, purpose string, message *signedMessage) {
	rw.Header().Set(headerIncarnation, strconv.FormatUint(message.Challenge, 16))
	rw.Header().Set(headerMAC, hex.EncodeToString((*s.keys.Load()).sign(purpose, encode(message))))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(message.Status)
	rw.Write(message.Body)
}

// serveRequest handles the POST of a request: it authenticates the request, rejects replays, and
// responds with the result of handle.
func (s *ControlServer) serveRequest(rw http.ResponseWriter, r *http.Request) {
	remote, _, _ := net.SplitHostPort(r.RemoteAddr)
	if r.ContentLength < 0 {
		rw.WriteHeader(http.StatusLengthRequired)
		return
	}
	if r.ContentLength > MaxRequestBytes {
		s.rejectRequest(rw, &TooLargeError{remote, r.ContentLength, MaxRequestBytes}, remote)
		return
	}
	body, err := s.readBody(rw, r)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	nonce := r.Header.Get(headerNonce)
	challenge, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 16, 64)
	sum, _ := hex.DecodeString(r.Header.Get(headerMAC)) // a header that isn't hex matches no key
	if err != nil || len(nonce) != 2*nonceBytes ||
		!(*s.keys.Load()).verify(purposeRequest,
			encode(&signedMessage{Nonce: nonce, Challenge: challenge, Body: body}), sum) {
		s.rejectRequest(rw, &UnauthenticatedError{remote, "a request"}, remote)
		return
	}
	s.mu.Lock()
	isCurrent, isNew := s.nonces.check(challenge, nonce)
	currentChallenge := s.nonces.challenge
	s.mu.Unlock()
	if !isCurrent {
		s.writeSigned(rw, purposeResponse,
			&signedMessage{Nonce: nonce, Challenge: currentChallenge, Status: http.StatusConflict})
		return
	}
	if !isNew {
		s.rejectRequest(rw, &ReplayError{From: remote}, remote)
		return
	}
	request := &fleet.Request{}
	if err := json.Unmarshal(body, request); err != nil {
		s.rejectRequest(rw, &MalformedError{remote, err}, remote)
		return
	}
	response, err := s.handle(r.Context(), request)
	if err != nil {
		response = &fleet.Response{ID: request.ID, Outcome: "unknown", Reason: err.Error()}
		var withRemedy fleet.ErrorWithRemedy
		if errors.As(err, &withRemedy) {
			response.Remedy = withRemedy.Remedy()
		}
	}
	text, err := json.Marshal(response)
	if err == nil && len(text) > MaxRequestBytes {
		err = fmt.Errorf("response of %d bytes is too large", len(text))
	}
	if err != nil {
		text, _ = json.Marshal(&fleet.Response{ID: request.ID, Outcome: "unknown", Reason: err.Error()})
	}
	s.count("asks", 1)
	s.writeSigned(rw, purposeResponse, &signedMessage{Nonce: nonce, Challenge: challenge, Status: http.StatusOK, Body: text})
}

// readBody reads the body of a request within requestReadTimeout. readBudget limits the memory of all
// requests that are being read.
func (s *ControlServer) readBody(rw http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(rw)
	control.SetReadDeadline(time.Now().Add(requestReadTimeout))
	defer control.SetReadDeadline(time.Time{}) // handling the request may take longer than reading it
	ctx, cancel := context.WithTimeout(r.Context(), requestReadTimeout)
	defer cancel()
	if err := s.readBudget.Acquire(ctx, r.ContentLength); err != nil {
		return nil, err
	}
	defer s.readBudget.Release(r.ContentLength)
	return io.ReadAll(r.Body)
}

// SendControlRequest sends a request to a controller's control listener and returns the response.
// ctx must outlast the request's WaitMs. An UnreachableError with Sent set means that the request
// may have taken effect: retry it with the same ID.
func SendControlRequest(ctx context.Context, address string, keys Keys,
	request *fleet.Request) (*fleet.Response, error) {
	if err := keys.validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(request)
	if err != nil {
		return nil, &MalformedError{"this process", err}
	}
	if len(text) > MaxRequestBytes {
		return nil, &TooLargeError{address, int64(len(text)), MaxRequestBytes}
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: controlConnectTimeout}).DialContext,
		DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &controlClient{transport, address, keys}

	connectCtx, cancel := context.WithTimeout(ctx, controlConnectTimeout)
	hello, err := c.call(connectCtx, http.MethodGet, pathHello, purposeHello, &signedMessage{Nonce: newNonce()})
	cancel()
	if err != nil {
		return nil, err
	}
	for range 2 { // a second attempt if the challenge changed in between
		signed := &signedMessage{Nonce: newNonce(), Challenge: hello.Challenge, Body: text}
		response, err := c.call(ctx, http.MethodPost, pathRequest, purposeResponse, signed)
		switch {
		case err != nil:
			return nil, err
		case response.Status == http.StatusConflict:
			hello = response
			continue
		}
		result := &fleet.Response{}
		if err := json.Unmarshal(response.Body, result); err != nil {
			return nil, &MalformedError{address, err}
		}
		return result, nil
	}
	return nil, &UnreachableError{address, false, errors.New("challenge changed between the attempts")}
}

// newNonce returns a random nonce in hex.
func newNonce() string {
	var b [nonceBytes]byte
	crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// controlClient sends HTTP requests to one control listener.
type controlClient struct {
	transport *http.Transport
	address   string
	keys      Keys
}

// call sends one HTTP request and returns the response, whose MAC must be valid for purpose. The
// status of the response is 200, or 409 for an outdated challenge.
func (c *controlClient) call(ctx context.Context, method, path, purpose string,
	request *signedMessage) (*signedMessage, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: path}
	httpRequest, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(request.Body))
	if err != nil {
		return nil, &UnreachableError{c.address, false, err}
	}
	httpRequest.Header.Set(headerNonce, request.Nonce)
	if purpose == purposeResponse {
		httpRequest.Header.Set(headerIncarnation, strconv.FormatUint(request.Challenge, 16))
		httpRequest.Header.Set(headerMAC, hex.EncodeToString(c.keys.sign(purposeRequest, encode(request))))
	}
	httpResponse, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return nil, &UnreachableError{c.address, purpose == purposeResponse, err}
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK &&
		(httpResponse.StatusCode != http.StatusConflict || purpose != purposeResponse) {
		return nil, &PeerRejectedError{"controller", c.address, httpResponse.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, MaxRequestBytes+1))
	if err != nil {
		return nil, &UnreachableError{c.address, purpose == purposeResponse, err}
	}
	if len(body) > MaxRequestBytes {
		return nil, &TooLargeError{c.address, int64(len(body)), MaxRequestBytes}
	}
	challenge, err := strconv.ParseUint(httpResponse.Header.Get(headerIncarnation), 16, 64)
	sum, macErr := hex.DecodeString(httpResponse.Header.Get(headerMAC))
	response := &signedMessage{Nonce: request.Nonce, Challenge: challenge,
		Status: httpResponse.StatusCode, Body: body}
	if err != nil || macErr != nil || !c.keys.verify(purpose, encode(response), sum) {
		return nil, &UnauthenticatedError{c.address, "a response"}
	}
	return response, nil
}
