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

func desk(t *testing.T, keys Keys, ask func(context.Context, *fleet.Request) (*fleet.Response, error)) (*ControlServer, string, chan fleet.ErrorWithRemedy) {
	t.Helper()
	now := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, now) })
	refused := make(chan fleet.ErrorWithRemedy, 16)
	l := listen(t, "127.0.0.1:0")
	d, err := ServeControl(l, keys, ask, func(err fleet.ErrorWithRemedy, _ string) { refused <- err })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d, l.Addr().String(), refused
}

func echo(_ context.Context, a *fleet.Request) (*fleet.Response, error) {
	if a.Kind == "fail" {
		return nil, &UnreachableError{"its leader", false, errors.New("none is known")}
	}
	return &fleet.Response{ID: a.ID, Outcome: "in force", Version: a.BaseVersion + 1,
		Reason: string(a.Policy)}, nil
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	t.Cleanup(cancel)
	return ctx
}

func TestAnAskIsAnswered(t *testing.T) {
	d, address, _ := desk(t, Keys{keyA, keyB}, echo)
	_, err := SendControlRequest(within(t), address, Keys{keyB}, &fleet.Request{Kind: "apply", ID: "x", BaseVersion: 3, Policy: []byte("teams: {}")})
	var refused *UnauthenticatedError
	if !errors.As(err, &refused) {
		t.Errorf("an answer by a key that isn't there was taken: %v", err)
	}
	r, err := SendControlRequest(within(t), address, Keys{keyB, keyA}, &fleet.Request{Kind: "apply", ID: "x", BaseVersion: 3, Policy: []byte("teams: {}")})
	if err != nil || r.ID != "x" || r.Version != 4 || r.Reason != "teams: {}" {
		t.Fatal(r, err)
	}
	r, err = SendControlRequest(within(t), address, Keys{keyA}, &fleet.Request{Kind: "fail", ID: "y"})
	if err != nil || r.Outcome != "unknown" || r.ID != "y" || r.Remedy == "" {
		t.Error(r, err)
	}
	if c := d.Counts(); c["asks"] != 2 {
		t.Error(c)
	}
}

func TestUnauthenticatedRequestIsRejected(t *testing.T) {
	_, address, refused := desk(t, Keys{keyA}, func(context.Context, *fleet.Request) (*fleet.Response, error) {
		t.Error("it was asked")
		return &fleet.Response{}, nil
	})
	_, err := SendControlRequest(within(t), address, Keys{keyB}, &fleet.Request{Kind: "purge"})
	var stranger *UnauthenticatedError
	if !errors.As(err, &stranger) {
		t.Fatalf("the client didn't see that it isn't its fleet: %v", err)
	}
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+pathAsk, strings.NewReader("{}"))
	r.Header.Set(headerNonce, nonce())
	r.Header.Set(headerBoot, "1")
	if a := roundTrip(t, r); a.StatusCode != http.StatusForbidden {
		t.Error(a.Status)
	}
	refusal[*UnauthenticatedError](t, refused)
}

func roundTrip(t *testing.T, r *http.Request) *http.Response {
	t.Helper()
	r.Close = true
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, a.Body)
	a.Body.Close()
	return a
}

func TestARecordedAskCountsOnce(t *testing.T) {
	d, address, refused := desk(t, Keys{keyA}, echo)
	q := &signedRequest{Nonce: nonce(), Challenge: d.nonces.challenge, Body: []byte(`{"kind":"purge"}`)}
	send := func() int {
		r, _ := http.NewRequest(http.MethodPost, "http://"+address+pathAsk, bytes.NewReader(q.Body))
		r.Header.Set(headerNonce, q.Nonce)
		r.Header.Set(headerBoot, strconv.FormatUint(q.Challenge, 16))
		r.Header.Set(headerMAC, hex.EncodeToString(Keys{keyA}.sign(forAsk, encode(q))))
		return roundTrip(t, r).StatusCode
	}
	if first, again := send(), send(); first != http.StatusOK || again != http.StatusForbidden {
		t.Error(first, again)
	}
	refusal[*ReplayError](t, refused)
	q.Challenge++ // as after a restart
	if status := send(); status != http.StatusConflict {
		t.Error(status)
	}
	q.Challenge, q.Nonce, q.Body = d.nonces.challenge, nonce(), []byte("{")
	if status := send(); status != http.StatusBadRequest {
		t.Error(status)
	}
	if c := d.Counts(); c["asks"] != 1 {
		t.Error(c)
	}
}

func TestNoncesAreBoundedAndNeverComeBack(t *testing.T) {
	boots := uint64(1)
	n := nonceGuard{1, map[string]struct{}{}, func() uint64 { boots++; return boots }}
	for i := range 2 * maxNonces {
		boot := n.challenge
		if fits, fresh := n.check(boot, strconv.Itoa(i)); !fits || !fresh {
			t.Fatal(i)
		}
		if fits, fresh := n.check(boot, strconv.Itoa(i)); fits && fresh {
			t.Fatalf("ask %d was taken twice", i)
		}
	}
	if boots != 3 || len(n.seen) >= maxNonces {
		t.Error(boots, len(n.seen))
	}
}

func TestAControllerThatCantBeReached(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	l.Close()
	_, err := SendControlRequest(within(t), l.Addr().String(), Keys{keyA}, &fleet.Request{})
	var gone *UnreachableError
	if !errors.As(err, &gone) || gone.Sent || gone.Remedy() == "" {
		t.Errorf("%T %v", err, err)
	}
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	_, err = SendControlRequest(within(t), other.Listener.Addr().(*net.TCPAddr).String(), Keys{keyA}, &fleet.Request{})
	var away *PeerRejectedError
	if !errors.As(err, &away) || away.Status != http.StatusNotFound {
		t.Errorf("%T %v", err, err)
	}
}

func TestWhoAskedAndIsGoneIsNotWaitedFor(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	_, address, _ := desk(t, Keys{keyA}, func(ctx context.Context, _ *fleet.Request) (*fleet.Response, error) {
		close(began)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	_, err := SendControlRequest(ctx, address, Keys{keyA}, &fleet.Request{})
	var gone *UnreachableError
	if !errors.As(err, &gone) || !gone.Sent {
		t.Errorf("%T %v", err, err)
	}
	select {
	case <-ended:
	case <-time.After(soon):
		t.Error("it is still being asked")
	}
}
