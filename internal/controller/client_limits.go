package controller

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"
)

// The default limits of a client's connection.
const (
	maxOpenQueries      = 32 // at a time, fixed by the protocol
	maxMessagesPerSweep = 4 * maxOpenQueries
	clientIdleTimeout   = 6 * time.Second // clients close a connection after 4 s idle
	messageTimeout      = 2 * time.Second // for a message to arrive completely
)

// ClientLimits are the limits for connections from given addresses. A limit of 0 stands for the default
// limit.
type ClientLimits struct {
	Prefixes []netip.Prefix
	// MaxOpenQueries is how many queries may be open on one connection. Default: 32.
	MaxOpenQueries int
	// MaxMessagesPerSweep is how many queries and page reads of one connection start in a quarter of a second;
	// further ones wait. It is also how many other messages the connection may send in that time before it is
	// closed, where a query that is taken back counts as two. Default: 128.
	MaxMessagesPerSweep int
	// IdleTimeout is how long a connection without open queries stays open. Default: 6 s.
	IdleTimeout time.Duration
	// MessageTimeout is how long a message may take to arrive completely while no call is open, from its first
	// byte, from the accept for the first message, or from the last answer. Default: 2 s.
	MessageTimeout time.Duration
}

func (l ClientLimits) withDefaults() ClientLimits {
	l.MaxOpenQueries = cmp.Or(l.MaxOpenQueries, maxOpenQueries)
	l.MaxMessagesPerSweep = cmp.Or(l.MaxMessagesPerSweep, maxMessagesPerSweep)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, clientIdleTimeout)
	l.MessageTimeout = cmp.Or(l.MessageTimeout, messageTimeout)
	return l
}

// clientLimitTable finds the limits for an address: those of the longest prefix that contains it.
type clientLimitTable struct {
	limits   []ClientLimits   // the first entry holds the default limits
	prefixes *bart.Table[int] // indices in limits; nil: there are only the default limits
}

func newClientLimitTable(sets []ClientLimits) clientLimitTable {
	t := clientLimitTable{limits: []ClientLimits{ClientLimits{}.withDefaults()}}
	for _, set := range sets {
		if t.prefixes == nil {
			t.prefixes = &bart.Table[int]{}
		}
		t.limits = append(t.limits, set.withDefaults())
		for _, prefix := range set.Prefixes {
			t.prefixes.Insert(prefix.Masked(), len(t.limits)-1)
		}
	}
	return t
}

func (t *clientLimitTable) find(address netip.Addr) *ClientLimits {
	if t.prefixes != nil && address.IsValid() {
		i, ok := t.prefixes.Lookup(address.Unmap())
		if ok {
			return &t.limits[i]
		}
	}
	return &t.limits[0]
}
