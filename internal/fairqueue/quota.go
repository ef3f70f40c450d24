package fairqueue

import (
	"math"
	"time"
)

// spendTokens takes thread time from the token buckets of a tenant and all nodes above.
func (f *Queue) spendTokens(n *node, work float64) {
	n.counts.ChargedThreadSeconds += work
	for ; n.parent != nil; n = n.parent {
		if n.quota > 0 {
			f.refill(n)
			n.tokens = min(n.burst, n.tokens-work)
			f.updateQuotaBand(n)
		}
	}
}

// refill adds the tokens that came back since the last call.
func (f *Queue) refill(n *node) {
	n.tokens = min(n.burst, n.tokens+n.quota*(f.now-n.tokensAt).Seconds())
	n.tokensAt = f.now
}

// updateQuotaBand moves a node between the bands by its tokens, and keeps its refill time.
func (f *Queue) updateQuotaBand(n *node) {
	if over := n.tokens < 0; over != n.overQuota {
		f.leaveHeaps(n)
		n.overQuota = over
		f.enterHeaps(n)
		f.updateBands(n.parent)
	}
	switch {
	case n.overQuota && n.refillHeapPosition < 0:
		f.refills.push(n)
	case n.overQuota:
		f.refills.fix(n.refillHeapPosition)
	case n.refillHeapPosition >= 0:
		f.refills.remove(n.refillHeapPosition)
	}
}

// refilledAt is when the tokens are back at zero.
func (n *node) refilledAt() time.Duration {
	return n.tokensAt + time.Duration(math.Ceil(-n.tokens/n.quota*1e9))
}
