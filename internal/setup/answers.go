package setup

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/resultcache"
)

// Answers is a cache of finished answers of read-only queries.
type ResultCache struct {
	MaxAge     Duration `yaml:"fresh"`      // an answer is served for so long from when its run at an engine began
	MemoryMB   float64  `yaml:"memory_mb"`  // of all answers: 16
	MaxEntries int      `yaml:"count"`      // at once: 10000
	MaxEntryKB float64  `yaml:"answer_kb"`  // a larger one is not kept: 1024, no more than the memory
	TeamShare  float64  `yaml:"team_share"` // of the memory before a team's are the first to go: 0.25
	Groups     []string `yaml:"groups"`     // whose answers are kept: all read-only ones without an order
}

// freshMost bounds how old an answer may be told to be.
const maxResultAge = 24 * time.Hour

func (c *checker) checkResultCache(x *Setup) {
	a := x.Answers
	switch d := time.Duration(a.MaxAge); {
	case d == 0:
		c.addError("answers.fresh", "is missing: how old an answer may be is for the set-up to say")
	case d > maxResultAge:
		c.addError("answers.fresh", "%v is over %v", d, maxResultAge)
	}
	c.optionalNumber("answers.memory_mb", a.MemoryMB, 0.1, 1<<20)
	c.optionalNumber("answers.count", float64(a.MaxEntries), 1, 10_000_000)
	c.optionalNumber("answers.answer_kb", a.MaxEntryKB, 1, 1<<20)
	c.optionalNumber("answers.team_share", a.TeamShare, 0.001, 1)
	if a.MemoryMB > cmp.Or(x.Limits.MemoryMB, 512)/2 {
		c.addError("answers.memory_mb", "is over half of limits.memory_mb")
	}
	if x.Fairness == nil && x.Shares == nil {
		c.addError("answers", "there is neither fairness nor shares: it couldn't be told whose an answer is")
	}
	for i, name := range a.Groups {
		at := fmt.Sprintf("answers.groups[%d]", i)
		found := false
		for _, g := range x.Groups {
			if g.Name != name {
				continue
			}
			if found = true; g.Effect != "read-only" || g.InOrder || g.Load {
				c.addError(at, "%q is not read-only, or has an order, or loads", name)
			}
		}
		if !found {
			c.addError(at, "no group is called %q", name)
		}
	}
}

// limits are the cache's figures, nil without one.
func (a *ResultCache) limits() *resultcache.Limits {
	if a == nil {
		return nil
	}
	l := resultcache.DefaultLimits()
	l.Freshness = time.Duration(a.MaxAge)
	l.MaxBytes = int64(cmp.Or(a.MemoryMB, 16) * (1 << 20))
	l.MaxEntries, l.TenantShare = cmp.Or(a.MaxEntries, l.MaxEntries), cmp.Or(a.TeamShare, l.TenantShare)
	l.MaxAnswerBytes = min(l.MaxBytes, int64(cmp.Or(a.MaxEntryKB, 1024)*1024))
	l.Groups = a.Groups
	return &l
}

// draw gives a number that no other controller draws.
func randomID() uint64 {
	var p [8]byte
	rand.Read(p[:])
	return binary.LittleEndian.Uint64(p[:])
}
