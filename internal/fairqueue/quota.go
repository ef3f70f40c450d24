package fairqueue

import (
	"math"
	"time"
)

// spendTokens takes thread seconds from the token buckets of a tenant and its ancestors, and counts them in
// the tenant's ChargedThreadSeconds. Negative work returns tokens.
func (fq *Queue) spendTokens(n *node, work float64) {
	n.counts.ChargedThreadSeconds += work
	for ; n.parent != nil; n = n.parent {
		if n.quota > 0 {
			fq.refill(n)
			n.tokens = min(n.burst, n.tokens-work)
			fq.updateQuotaBand(n)
		}
	}
}

// refill adds the tokens due since the last call, up to the size of the bucket.
func (fq *Queue) refill(n *node) {
	n.tokens = min(n.burst, n.tokens+n.quota*(fq.now-n.tokensAt).Seconds())
	n.tokensAt = fq.now
}

// updateQuotaBand moves a node to the band that its tokens require, and updates its place among the
// nodes that wait for a refill.
func (fq *Queue) updateQuotaBand(n *node) {
	if overQuota := n.tokens < 0; overQuota != n.overQuota {
		fq.leaveHeaps(n)
		n.overQuota = overQuota
		fq.enterHeaps(n)
		fq.updateBands(n.parent)
	}
	switch {
	case n.overQuota && n.refillHeapPosition < 0:
		fq.overQuotaNodes.push(n)
	case n.overQuota:
		fq.overQuotaNodes.fix(n.refillHeapPosition)
	case n.refillHeapPosition >= 0:
		fq.overQuotaNodes.remove(n.refillHeapPosition)
	}
}

// refilledAt returns the time at which the tokens are back at zero.
func (n *node) refilledAt() time.Duration {
	return n.tokensAt + time.Duration(math.Ceil(-n.tokens/n.quota*1e9))
}
