package fairqueue

import (
	"time"
)

// repeatMemory keeps what repeats of calls need, bounded in number and age.
type repeatMemory struct {
	calls map[uint64]repeatedCall
	order []uint64
}

type repeatedCall struct {
	arrived, endedAt time.Duration
	charged          float64
	tenant           int
}

const (
	maxRepeats      = 1 << 16
	repeatRetention = time.Minute
)

func (m *repeatMemory) size() int { return len(m.calls) }

func (m *repeatMemory) put(id uint64, p repeatedCall) {
	if m.calls == nil {
		m.calls = map[uint64]repeatedCall{}
	}
	if _, had := m.calls[id]; !had {
		if len(m.calls) >= maxRepeats {
			m.dropOldest()
		}
		m.order = append(m.order, id)
	}
	m.calls[id] = p
}

func (m *repeatMemory) take(id uint64) (repeatedCall, bool) {
	p, ok := m.calls[id]
	delete(m.calls, id)
	return p, ok
}

func (m *repeatMemory) dropOldest() {
	for len(m.order) > 0 {
		id := m.order[0]
		m.order = m.order[1:]
		if _, had := m.calls[id]; had {
			delete(m.calls, id)
			return
		}
	}
}

func (m *repeatMemory) dropExpired(now time.Duration) {
	for len(m.order) > 0 {
		p, had := m.calls[m.order[0]]
		if had && now-p.endedAt < repeatRetention {
			return
		}
		delete(m.calls, m.order[0])
		m.order = m.order[1:]
	}
}
