package spool

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"testing"
	"time"
)

// Every invalid token gets the same error at the same cost, so that a client learns nothing from either.
func TestInvalidTokensAreIndistinguishable(t *testing.T) {
	c := newMemoryCore(t)
	r, good := commitTwoPages(t, c, "linz")
	read := func(token, tenant string, page int) (macs int, err error) {
		before := c.keys.macCount
		c.ReadPage(c.now, []byte(token), tenant, page, func(_ []byte, e error) { err = e })
		return c.keys.macCount - before, err
	}
	if _, err := read(good, "linz", 1); err != nil {
		t.Fatal(err)
	}
	_, other := commitTwoPages(t, c, "steyr")
	raw, _ := base64.RawURLEncoding.DecodeString(good)
	bad := map[string][2]string{"another team's": {good, "steyr"}, "of no team": {good, ""},
		"another's": {other, "linz"}, "nothing": {"", "linz"},
		"half": {good[:20], "linz"}, "longer": {good + "A", "linz"}, "no base64": {"!" + good[1:], "linz"}}
	for i := range raw {
		p := bytes.Clone(raw)
		p[i] ^= 1 << (i % 8)
		bad[fmt.Sprint("byte ", i, " changed")] = [2]string{base64.RawURLEncoding.EncodeToString(p), "linz"}
	}
	for what, x := range bad {
		if macs, err := read(x[0], x[1], 1); err != ErrPageNotFound || macs != 1 {
			t.Errorf("%s: %v after %d macs", what, err, macs)
		}
	}
	for _, page := range []int{-1, 2, 1 << 30} {
		if macs, err := read(good, "linz", page); err != ErrPageNotFound || macs != 1 {
			t.Errorf("page %d: %v", page, err)
		}
	}
	c.now += c.IdleTimeout // expired, but not swept yet
	if macs, err := read(good, "linz", 1); err != ErrPageNotFound || macs != 1 || r.dropped {
		t.Error("expired: ", err)
	}
}

func TestKeysRotateWhileTokensStayValid(t *testing.T) {
	c := newMemoryCore(t)
	c.MaxAge, c.IdleTimeout = 3*time.Hour, 3*time.Hour
	_, first := commitTwoPages(t, c, "linz")
	for h := range 40 {
		c.Sweep(time.Duration(h) * time.Hour / 4)
		ok := false
		c.ReadPage(c.now, []byte(first), "linz", 1, func(_ []byte, err error) { ok = err == nil })
		if want := c.now < c.MaxAge; ok != want {
			t.Fatalf("after %v the token is valid: %v", c.now, ok)
		}
	}
	if n := len(c.keys.keys); n < 3 || n > 8 {
		t.Fatalf("%d keys after ten hours of a rotation each hour", n)
	}
	k, err := NewKeyring(c.keys.Encode(), time.Hour, 0, secrets(2))
	if err != nil || string(k.Encode()) != string(c.keys.Encode()) {
		t.Fatal("the keys differ after encoding and decoding: ", err)
	}
	for _, text := range []string{"{", `[{"ID":1,"Secret":"AAAA"}]`} {
		if _, err := NewKeyring([]byte(text), time.Hour, 0, secrets(2)); err == nil {
			t.Error("accepted as keys: ", text)
		}
	}
}

func FuzzToken(f *testing.F) {
	c := newMemoryCore(f)
	_, good := commitTwoPages(f, c, "linz")
	f.Add([]byte(good), "linz")
	f.Add([]byte(good), "")
	f.Add([]byte("AQAAAAEAAAABAAAAAQ"), "linz")
	f.Fuzz(func(t *testing.T, token []byte, tenant string) {
		if r := c.openToken(token, tenant); (r != nil) != (string(token) == good && tenant == "linz") {
			t.Fatalf("%q opens %v for %q", token, r, tenant)
		}
	})
}
