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

// Keys are the shared secrets of the fleet's controllers and operators. The first key signs;
// signatures by any of the keys are accepted. To replace a key without an interruption, add the
// new key as the second line everywhere, then make it the first line everywhere, then remove the
// old key.
type Keys [][]byte

const (
	minKeyBytes = 32
	maxKeys     = 2
)

// ReadKeys reads a key file: one key per line in hex or base64; # begins a comment. A line that is
// valid hex is decoded as hex. Every error is a *KeyFileError. The file must be a regular file of at
// most 64 KiB with one or two keys. Users other than its owner must have no access to it, because
// anyone who has a key can change every tenant's policy.
func ReadKeys(path string) (Keys, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &KeyFileError{Path: path, Reason: err.Error()}
	}
	defer f.Close()
	info, err := f.Stat() // not os.Stat: the file at the path may have been replaced since it was opened
	if err != nil {
		return nil, &KeyFileError{Path: path, Reason: err.Error()}
	}
	switch {
	case !info.Mode().IsRegular():
		return nil, &KeyFileError{Path: path, Reason: "not a regular file"}
	case info.Mode().Perm()&0o077 != 0:
		return nil, &KeyFileError{Path: path,
			Reason: fmt.Sprintf("permissions %#o give other users access", info.Mode().Perm())}
	case info.Size() > 1<<16:
		return nil, &KeyFileError{Path: path, Reason: "file is larger than 64 KiB"}
	}
	text := make([]byte, info.Size())
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
		case len(key) < minKeyBytes:
			return nil, &KeyFileError{path, i + 1, fmt.Sprintf("%d bytes, need at least %d", len(key), minKeyBytes)}
		case len(keys) == maxKeys:
			return nil, &KeyFileError{path, i + 1, "more than two keys"}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, &KeyFileError{Path: path, Reason: "file contains no key"}
	}
	return keys, nil
}

// validate checks that there is a key and that no key is too short, since the keys may not come from
// ReadKeys. Unlike ReadKeys, it doesn't limit the number of keys.
func (k Keys) validate() error {
	for _, key := range k {
		if len(key) < minKeyBytes {
			return &KeyFileError{Reason: "key is too short"}
		}
	}
	if len(k) == 0 {
		return &KeyFileError{Reason: "no key was given"}
	}
	return nil
}

// sign returns the MAC of body by the first key. A MAC made for one purpose doesn't verify for
// another. The purpose contains no zero byte, so that the zero byte that mac writes after the
// purpose is an unambiguous separator.
func (k Keys) sign(purpose string, body []byte) []byte { return mac(k[0], purpose, body) }

// mac returns the MAC of body for a purpose.
func mac(key []byte, purpose string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("railrelay " + purpose + "\x00"))
	h.Write(body)
	return h.Sum(nil)
}

// verify reports whether sum is the MAC of body for the purpose by any of the keys. It compares
// sum with the MAC of every key, each in constant time, so that its duration doesn't tell which
// key matched.
func (k Keys) verify(purpose string, body, sum []byte) bool {
	ok := false
	for _, key := range k {
		ok = hmac.Equal(mac(key, purpose, body), sum) || ok
	}
	return ok
}
