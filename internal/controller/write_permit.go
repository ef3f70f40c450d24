package controller

import (
	"sync/atomic"
	"time"
)

// WritePermit guards the first byte of an attempt's request. By the time the request is written, the reason
// to send it may be gone: the client left, the engine is draining, the deadline or the retry window has
// passed, or this process was stalled. The controller has then revoked the permit, or the permit has expired.
// The writer checks the permit last, so that no queue between the controller and the write needs a check of
// its own.
type WritePermit struct {
	revoked   atomic.Bool
	expiresAt time.Duration // since the program's start; no write may begin from then on
}

// NewWritePermit returns a permit that expires at a time since the program's start.
func NewWritePermit(until time.Duration) *WritePermit { return &WritePermit{expiresAt: until} }

// Revoke invalidates the permit for writes that have not begun. It may be called more than once.
func (p *WritePermit) Revoke() {
	if p != nil {
		p.revoked.Store(true)
	}
}

// ValidAt reports whether the first byte may be written at a time since the program's start. A nil permit
// is always valid.
func (p *WritePermit) ValidAt(now time.Duration) bool {
	return p == nil || !p.revoked.Load() && now < p.expiresAt
}
