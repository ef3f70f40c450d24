package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// Keys are what the fleet's controllers and operators share. The first one signs, all
// are accepted. To replace one without a break: the new one as second line everywhere,
// then as first line everywhere, then the old one goes.
type Keys [][]byte

const (
	keyAtLeast = 32 // bytes
	keysAtMost = 2
)

// ReadKeys reads a key file: one key a line in hex or base64, # begins a comment. What
// can be read as hex is hex. It refuses, by a KeyFileError, a file that others than its owner can
// read or write: who has the key may change every team's policy.
func ReadKeys(path string) (Keys, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &KeyFileError{Path: path, Reason: err.Error()}
	}
	defer f.Close()
	about, err := f.Stat() // of what is read, not of what may be at the path by then
	if err != nil {
		return nil, &KeyFileError{Path: path, Reason: err.Error()}
	}
	switch {
	case !about.Mode().IsRegular():
		return nil, &KeyFileError{Path: path, Reason: "it is no regular file"}
	case about.Mode().Perm()&0o077 != 0:
		return nil, &KeyFileError{Path: path, Reason: fmt.Sprintf("its rights are %#o, others can get at it", about.Mode().Perm())}
	case about.Size() > 1<<16:
		return nil, &KeyFileError{Path: path, Reason: "it is over 64 KiB"}
	}
	text := make([]byte, about.Size())
	n, err := f.Read(text)
	if err != nil && n < len(text) {
		return nil, &KeyFileError{Path: path, Reason: err.Error()}
	}
	var keys Keys
	for i, line := range strings.Split(string(text[:n]), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil {
			key, err = base64.StdEncoding.DecodeString(line)
		}
		switch {
		case err != nil:
			return nil, &KeyFileError{path, i + 1, "neither hex nor base64"}
		case len(key) < keyAtLeast:
			return nil, &KeyFileError{path, i + 1, fmt.Sprintf("%d bytes, %d at least are needed", len(key), keyAtLeast)}
		case len(keys) == keysAtMost:
			return nil, &KeyFileError{path, i + 1, "a third key"}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, &KeyFileError{Path: path, Reason: "it has no key"}
	}
	return keys, nil
}

// good says whether keys that didn't come from a file can be used.
func (k Keys) validate() error {
	for _, key := range k {
		if len(key) < keyAtLeast {
			return &KeyFileError{Reason: "a key that is too short"}
		}
	}
	if len(k) == 0 {
		return &KeyFileError{Reason: "no key"}
	}
	return nil
}

// sign gives the MAC by the first key. What keeps a MAC made for one purpose from
// counting for another; it has no byte 0, so that it and the bytes can't be cut elsewhere.
func (k Keys) sign(what string, body []byte) []byte { return mac(k[0], what, body) }

func mac(key []byte, what string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("railrelay " + what + "\x00"))
	h.Write(body)
	return h.Sum(nil)
}

// verify reports whether sum is the MAC of body for this purpose by any of the keys. It
// takes the same time whichever key fits: all of them are compared, each in constant time.
func (k Keys) verify(what string, body, sum []byte) bool {
	ok := false
	for _, key := range k {
		ok = hmac.Equal(mac(key, what, body), sum) || ok
	}
	return ok
}
