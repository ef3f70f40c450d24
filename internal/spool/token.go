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

// A token is, in base64 (RFC 4648, section 5, without padding):
//
//	version (1), key (4), result (8), end of life (8, milliseconds since 1970), mac (16)
//
// the mac being the first half of HMAC-SHA-256 (RFC 2104) under that key over what
// stands before it, a sum of the sizes of all pages, the query and the team.
const (
	tokenVersion  = 1
	tokenHeadSize = 1 + 4 + 8 + 8
	macSize       = 16
	tokenSize     = tokenHeadSize + macSize
)

// Key is one of the keys that tokens are made with.
type Key struct {
	ID          uint32 `json:"ID"`
	CreatedWall int64  `json:"Made"`   // milliseconds since 1970
	Secret      []byte `json:"Secret"` // 32 bytes
}

// Keyring makes tokens with its newest key and takes those of older ones, for as long
// as any of their results may live.
type Keyring struct {
	keys             []Key // the newest last
	rotationInterval time.Duration
	newSecret        func() []byte
	rotating         bool
	dummyKey         Key
	macCount         int // computed so far
}

// NewKeyring makes one whose keys are renewed now and then. fresh gives 32 bytes that
// nobody can guess. text is what Text gave before, nil for none.
func NewKeyring(text []byte, rotate time.Duration, wall int64, fresh func() []byte) (*Keyring, error) {
	k := &Keyring{rotationInterval: rotate, newSecret: fresh, dummyKey: Key{Secret: make([]byte, 32)}}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &k.keys); err != nil {
			return nil, fmt.Errorf("the keys can't be read: %w", err)
		}
		for _, x := range k.keys {
			if len(x.Secret) != 32 {
				return nil, fmt.Errorf("key %d has %d bytes, not 32", x.ID, len(x.Secret))
			}
		}
	}
	if len(k.keys) == 0 {
		k.add(wall)
	}
	return k, nil
}

func (k *Keyring) add(wall int64) {
	id := uint32(1)
	if n := len(k.keys); n > 0 {
		id = k.keys[n-1].ID + 1
	}
	k.keys = append(k.keys, Key{id, wall, k.newSecret()})
}

// Encode is the keys as they are to be kept, readable by nobody else.
func (k *Keyring) Encode() []byte {
	text, err := json.Marshal(k.keys)
	if err != nil {
		panic(err) // numbers and bytes
	}
	return text
}

func (k *Keyring) mac(x *Key, head []byte, r *Result) []byte {
	k.macCount++
	h := hmac.New(sha256.New, x.Secret)
	h.Write(head)
	p := binary.BigEndian.AppendUint64(nil, r.pageChecksum)
	p = binary.BigEndian.AppendUint32(p, uint32(len(r.query)))
	h.Write(append(append(p, r.query...), r.team.name...))
	return h.Sum(nil)[:macSize]
}

// Token is what opens a whole result.
func (c *Core) Token(r *Result) string {
	x := &c.keys.keys[len(c.keys.keys)-1]
	p := binary.BigEndian.AppendUint32([]byte{tokenVersion}, x.ID)
	p = binary.BigEndian.AppendUint64(p, r.id)
	p = binary.BigEndian.AppendUint64(p, uint64(r.expiresWall))
	return base64.RawURLEncoding.EncodeToString(append(p, c.keys.mac(x, p, r)...))
}

var noTeam = &team{}

// opened is the result that a token opens for a team, nil if it opens none. All
// that can be wrong costs the same: one look-up of each kind and one mac.
func (c *Core) openToken(text []byte, teamName string) *Result {
	good := 1
	need := func(ok bool) {
		if !ok {
			good = 0
		}
	}
	var p [tokenSize]byte
	if len(text) == base64.RawURLEncoding.EncodedLen(tokenSize) {
		n, err := base64.RawURLEncoding.Strict().Decode(p[:], text)
		need(err == nil && n == tokenSize)
	} else {
		need(false)
	}
	need(p[0] == tokenVersion)
	x := &c.keys.dummyKey
	id := binary.BigEndian.Uint32(p[1:])
	if i := slices.IndexFunc(c.keys.keys, func(y Key) bool { return y.ID == id }); i >= 0 {
		x = &c.keys.keys[i]
	} else {
		need(false)
	}
	r := c.results[binary.BigEndian.Uint64(p[5:])]
	if r == nil {
		need(false)
		r = &Result{team: noTeam}
	}
	good &= subtle.ConstantTimeCompare(c.keys.mac(x, p[:tokenHeadSize], r), p[tokenHeadSize:])
	good &= subtle.ConstantTimeCompare([]byte(r.team.name), []byte(teamName))
	need(int64(binary.BigEndian.Uint64(p[13:])) == r.expiresWall)
	need(c.now < r.expiry(c) && !r.dropped)
	if good != 1 {
		return nil
	}
	return r
}

// keysMost bounds the keys, however often the clock is set.
const maxKeys = 64

// renew makes a new key where the newest is old, to be used once it is kept, and
// drops those whose tokens have all ended.
func (c *Core) rotateKeys() {
	k := c.keys
	wall := c.startWall + c.now.Milliseconds()
	newest := k.keys[len(k.keys)-1]
	if k.rotating || k.rotationInterval <= 0 || time.Duration(wall-newest.CreatedWall)*time.Millisecond < k.rotationInterval && wall >= newest.CreatedWall {
		return
	}
	next := *k
	next.keys = slices.DeleteFunc(slices.Clone(k.keys), func(x Key) bool {
		return x.ID != newest.ID && time.Duration(wall-x.CreatedWall)*time.Millisecond > 2*k.rotationInterval+c.MaxAge
	})
	next.keys = next.keys[max(0, len(next.keys)-maxKeys+1):]
	next.add(wall)
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
