package transport

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"railrelay.dev/railrelay/internal/fleet"
)

// startControlServer runs a control server until the test ends, and checks for leaked goroutines.
func startControlServer(t *testing.T, keys Keys,
	handle func(context.Context, *fleet.Request) (*fleet.Response, error)) (
	*ControlServer, string, chan fleet.ErrorWithRemedy) {
	t.Helper()
	running := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, running) })
	rejections := make(chan fleet.ErrorWithRemedy, 16)
	l := listen(t, "127.0.0.1:0")
	server, err := ServeControl(l, keys, handle, func(err fleet.ErrorWithRemedy, _ string) { rejections <- err })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server, l.Addr().String(), rejections
}

// echo is a handler that returns values of the request; the kind "fail" returns an error.
func echo(_ context.Context, request *fleet.Request) (*fleet.Response, error) {
	if request.Kind == "fail" {
		return nil, &UnreachableError{"its leader", false, errors.New("none is known")}
	}
	return &fleet.Response{ID: request.ID, Outcome: "in force", Version: request.BaseVersion + 1,
		Reason: string(request.Policy)}, nil
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestRequestIsAnswered(t *testing.T) {
	server, address, _ := startControlServer(t, Keys{keyA, keyB}, echo)
	_, err := SendControlRequest(testContext(t), address, Keys{keyB},
		&fleet.Request{Kind: "apply", ID: "x", BaseVersion: 3, Policy: []byte("teams: {}")})
	var unauthenticated *UnauthenticatedError
	if !errors.As(err, &unauthenticated) {
		t.Errorf("a response signed with an unknown key was accepted: %v", err)
	}
	response, err := SendControlRequest(testContext(t), address, Keys{keyB, keyA},
		&fleet.Request{Kind: "apply", ID: "x", BaseVersion: 3, Policy: []byte("teams: {}")})
	if err != nil || response.ID != "x" || response.Version != 4 || response.Reason != "teams: {}" {
		t.Fatal(response, err)
	}
	response, err = SendControlRequest(testContext(t), address, Keys{keyA},
		&fleet.Request{Kind: "fail", ID: "y"})
	if err != nil || response.Outcome != "unknown" || response.ID != "y" || response.Remedy == "" {
		t.Error(response, err)
	}
	if counts := server.Counts(); counts["asks"] != 2 {
		t.Error(counts)
	}
}

func TestUnauthenticatedRequestIsRejected(t *testing.T) {
	_, address, rejections := startControlServer(t, Keys{keyA}, func(context.Context,
		*fleet.Request) (*fleet.Response, error) {
		t.Error("the handler got the unauthenticated request")
		return &fleet.Response{}, nil
	})
	_, err := SendControlRequest(testContext(t), address, Keys{keyB}, &fleet.Request{Kind: "purge"})
	var unauthenticated *UnauthenticatedError
	if !errors.As(err, &unauthenticated) {
		t.Fatalf("the client accepted a server with another key: %v", err)
	}
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+pathRequest, strings.NewReader("{}"))
	r.Header.Set(headerNonce, newNonce())
	r.Header.Set(headerIncarnation, "1")
	if response := roundTrip(t, r); response.StatusCode != http.StatusForbidden {
		t.Error(response.Status)
	}
	expectRejection[*UnauthenticatedError](t, rejections)
}

func roundTrip(t *testing.T, r *http.Request) *http.Response {
	t.Helper()
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response
}

func TestReplayedRequestIsRejected(t *testing.T) {
	server, address, rejections := startControlServer(t, Keys{keyA}, echo)
	request := &signedMessage{Nonce: newNonce(), Challenge: server.nonces.challenge,
		Body: []byte(`{"kind":"purge"}`)}
	send := func() int {
		r, _ := http.NewRequest(http.MethodPost, "http://"+address+pathRequest, bytes.NewReader(request.Body))
		r.Header.Set(headerNonce, request.Nonce)
		r.Header.Set(headerIncarnation, strconv.FormatUint(request.Challenge, 16))
		r.Header.Set(headerMAC, hex.EncodeToString(Keys{keyA}.sign(purposeRequest, encode(request))))
		return roundTrip(t, r).StatusCode
	}
	if first, again := send(), send(); first != http.StatusOK || again != http.StatusForbidden {
		t.Error(first, again)
	}
	expectRejection[*ReplayError](t, rejections)
	request.Challenge++ // as after a restart
	if status := send(); status != http.StatusConflict {
		t.Error(status)
	}
	request.Challenge, request.Nonce, request.Body = server.nonces.challenge, newNonce(), []byte("{")
	if status := send(); status != http.StatusBadRequest {
		t.Error(status)
	}
	if counts := server.Counts(); counts["asks"] != 1 {
		t.Error(counts)
	}
}

func TestNoncesAreBoundedAndAcceptedOnce(t *testing.T) {
	lastChallenge := uint64(1)
	guard := nonceGuard{1, map[string]struct{}{}, func() uint64 { lastChallenge++; return lastChallenge }}
	for i := range 2 * maxNonces {
		challenge := guard.challenge
		if isCurrent, isNew := guard.check(challenge, strconv.Itoa(i)); !isCurrent || !isNew {
			t.Fatal(i)
		}
		if isCurrent, isNew := guard.check(challenge, strconv.Itoa(i)); isCurrent && isNew {
			t.Fatalf("request %d was accepted twice", i)
		}
	}
	if lastChallenge != 3 || len(guard.seen) >= maxNonces {
		t.Error(lastChallenge, len(guard.seen))
	}
}

func TestUnreachableController(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	l.Close()
	_, err := SendControlRequest(testContext(t), l.Addr().String(), Keys{keyA}, &fleet.Request{})
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || unreachable.Sent || unreachable.Remedy() == "" {
		t.Errorf("%T %v", err, err)
	}
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	_, err = SendControlRequest(testContext(t), other.Listener.Addr().(*net.TCPAddr).String(),
		Keys{keyA}, &fleet.Request{})
	var rejected *PeerRejectedError
	if !errors.As(err, &rejected) || rejected.Status != http.StatusNotFound {
		t.Errorf("%T %v", err, err)
	}
}

func TestRequestIsCanceledWhenClientDisconnects(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	_, address, _ := startControlServer(t, Keys{keyA}, func(ctx context.Context,
		_ *fleet.Request) (*fleet.Response, error) {
		close(began)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	_, err := SendControlRequest(ctx, address, Keys{keyA}, &fleet.Request{})
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || !unreachable.Sent {
		t.Errorf("%T %v", err, err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the handler's context wasn't canceled")
	}
}
