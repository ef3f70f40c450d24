package spool

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// A token is the unpadded URL-safe base64 (RFC 4648, section 5) of these fields, with their bytes:
//
//	version (1), key ID (4), result ID (8), expiry (8, milliseconds since 1970), MAC (16)
//
// The MAC is the first half of HMAC-SHA-256 (RFC 2104) with that key. It covers the fields before it,
// the checksum of the sizes and row counts of all pages, the query and the tenant.
const (
	tokenVersion  = 1
	tokenHeadSize = 1 + 4 + 8 + 8
	macSize       = 16
	tokenSize     = tokenHeadSize + macSize
)

// Key signs tokens.
type Key struct {
	ID                uint32 `json:"ID"`
	CreatedUnixMillis int64  `json:"Made"`
	Secret            []byte `json:"Secret"` // 32 bytes
}

// Keyring signs tokens with its newest key. It accepts tokens of older keys for as long as a result
// that they open may live.
type Keyring struct {
	keys             []Key // ordered by age, newest last
	rotationInterval time.Duration
	newSecret        func() []byte
	rotating         bool
	dummyKey         Key // computes the MAC for a token that names no known key
	macCount         int // MACs computed so far
}

// NewKeyring decodes a keyring from the text that Encode returned before; with no text it makes the
// first key. A new key follows after each rotation interval; 0: never. newSecret returns 32 random
// bytes that can't be guessed.
func NewKeyring(
	text []byte, rotate time.Duration, nowUnixMillis int64, newSecret func() []byte,
) (*Keyring, error) {
	k := &Keyring{rotationInterval: rotate, newSecret: newSecret, dummyKey: Key{Secret: make([]byte, 32)}}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &k.keys); err != nil {
			return nil, fmt.Errorf("token keys can't be parsed: %w", err)
		}
		for _, x := range k.keys {
			if len(x.Secret) != 32 {
				return nil, fmt.Errorf("token key %d has %d bytes, not 32", x.ID, len(x.Secret))
			}
		}
	}
	if len(k.keys) == 0 {
		k.add(nowUnixMillis)
	}
	return k, nil
}

func (k *Keyring) add(createdUnixMillis int64) {
	id := uint32(1)
	if n := len(k.keys); n > 0 {
		id = k.keys[n-1].ID + 1
	}
	k.keys = append(k.keys, Key{id, createdUnixMillis, k.newSecret()})
}

// Encode returns the keys as JSON. The text holds the secrets: it must be stored where nobody else
// can read it.
func (k *Keyring) Encode() []byte {
	text, err := json.Marshal(k.keys)
	if err != nil {
		panic(err) // numbers and bytes can always be encoded
	}
	return text
}

func (k *Keyring) mac(x *Key, head []byte, r *Result) []byte {
	k.macCount++
	h := hmac.New(sha256.New, x.Secret)
	h.Write(head)
	p := binary.BigEndian.AppendUint64(nil, r.pageChecksum)
	p = binary.BigEndian.AppendUint32(p, uint32(len(r.query)))
	h.Write(append(append(p, r.query...), r.tenant.name...))
	return h.Sum(nil)[:macSize]
}

// Token returns the token that opens a committed result.
func (c *Core) Token(r *Result) string {
	x := &c.keys.keys[len(c.keys.keys)-1]
	p := binary.BigEndian.AppendUint32([]byte{tokenVersion}, x.ID)
	p = binary.BigEndian.AppendUint64(p, r.id)
	p = binary.BigEndian.AppendUint64(p, uint64(r.expiresUnixMillis))
	return base64.RawURLEncoding.EncodeToString(append(p, c.keys.mac(x, p, r)...))
}

// missingTenant stands in for the tenant of a result that doesn't exist.
var missingTenant = &tenant{}

// openToken returns the result that a token opens for a tenant, nil if it opens none. Every token,
// valid or not, costs one lookup of the key, one of the result and one MAC, so that a client can't
// learn from the time taken which part was wrong.
func (c *Core) openToken(text []byte, tenantName string) *Result {
	valid := 1
	require := func(ok bool) {
		if !ok {
			valid = 0
		}
	}
	var p [tokenSize]byte
	if len(text) == base64.RawURLEncoding.EncodedLen(tokenSize) {
		n, err := base64.RawURLEncoding.Strict().Decode(p[:], text)
		require(err == nil && n == tokenSize)
	} else {
		require(false)
	}
	require(p[0] == tokenVersion)
	x := &c.keys.dummyKey
	id := binary.BigEndian.Uint32(p[1:])
	if i := slices.IndexFunc(c.keys.keys, func(y Key) bool { return y.ID == id }); i >= 0 {
		x = &c.keys.keys[i]
	} else {
		require(false)
	}
	r := c.results[binary.BigEndian.Uint64(p[5:])]
	if r == nil {
		require(false)
		r = &Result{tenant: missingTenant}
	}
	valid &= subtle.ConstantTimeCompare(c.keys.mac(x, p[:tokenHeadSize], r), p[tokenHeadSize:])
	valid &= subtle.ConstantTimeCompare([]byte(r.tenant.name), []byte(tenantName))
	require(int64(binary.BigEndian.Uint64(p[13:])) == r.expiresUnixMillis)
	require(c.now < r.expiry(c) && !r.dropped)
	if valid != 1 {
		return nil
	}
	return r
}

// maxKeys bounds the number of keys, since a clock that is set often can cause many rotations.
const maxKeys = 64

// rotateKeys adds a key if the newest one has reached the rotation interval or lies in the future. It
// then deletes keys whose tokens have all expired, and the oldest keys above maxKeys. Without a disk,
// the changed keys are used at once, otherwise once the disk has stored them.
func (c *Core) rotateKeys() {
	k := c.keys
	nowUnixMillis := c.startUnixMillis + c.now.Milliseconds()
	newest := k.keys[len(k.keys)-1]
	if k.rotating || k.rotationInterval <= 0 ||
		time.Duration(nowUnixMillis-newest.CreatedUnixMillis)*time.Millisecond < k.rotationInterval &&
			nowUnixMillis >= newest.CreatedUnixMillis {
		return
	}
	next := *k
	next.keys = slices.DeleteFunc(slices.Clone(k.keys), func(x Key) bool {
		return x.ID != newest.ID &&
			time.Duration(nowUnixMillis-x.CreatedUnixMillis)*time.Millisecond > 2*k.rotationInterval+c.MaxAge
	})
	next.keys = next.keys[max(0, len(next.keys)-maxKeys+1):]
	next.add(nowUnixMillis)
	if c.MaxDiskBytes == 0 {
		k.keys = next.keys
		return
	}
	k.rotating = true
	w := &DiskTask{Keys: next.Encode()}
	w.OnDone = func(time.Duration) {
		if k.rotating = false; w.Err == nil {
			k.keys = next.keys
		}
	}
	c.submit(w)
}
