package controller

import (
	"sync/atomic"
	"time"
)

// WritePermit lets the first byte of an attempt out. What was decided may have lost its reason by
// the time it is written: its client left, its engine drains, its deadline or the window for its
// retries is over, or this process stood still meanwhile. The controller revokes the permit, and
// whoever writes asks it last: here and nowhere else, so that no queue on the way needs a check of
// its own.
type WritePermit struct {
	revoked   atomic.Bool
	expiresAt time.Duration // since the program's start; nothing begins from then on
}

// NewWritePermit makes one that holds until a time since the start.
func NewWritePermit(until time.Duration) *WritePermit { return &WritePermit{expiresAt: until} }

// Revoke takes it back; what is not out by then doesn't go. It may be called again.
func (p *WritePermit) Revoke() {
	if p != nil {
		p.revoked.Store(true)
	}
}

// ValidAt reports whether the first byte may go out at a time since the program's start. A nil permit
// always holds.
func (p *WritePermit) ValidAt(now time.Duration) bool {
	return p == nil || !p.revoked.Load() && now < p.expiresAt
}
