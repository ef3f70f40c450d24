package setup

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/resultcache"
)

// ResultCache configures the cache of answers to read-only queries.
type ResultCache struct {
	// Freshness is the age up to which an answer is served, from the start of its run on an engine.
	// It is required.
	Freshness   Duration `yaml:"fresh"`
	MemoryMB    float64  `yaml:"memory_mb"` // of all answers; default 16
	MaxEntries  int      `yaml:"count"`     // default 10000
	MaxAnswerKB float64  `yaml:"answer_kb"` // a larger answer is not cached; default 1024, at most MemoryMB
	// TenantShare is the fraction of the memory above which a tenant's answers are evicted first;
	// default 0.25.
	TenantShare float64 `yaml:"team_share"`
	// Groups lists the groups whose answers are cached; default all read-only groups that keep no
	// order.
	Groups []string `yaml:"groups"`
}

// maxResultAge is the upper limit of ResultCache.Freshness.
const maxResultAge = 24 * time.Hour

func (c *checker) checkResultCache(x *Setup) {
	a := x.Answers
	switch d := time.Duration(a.Freshness); {
	case d == 0:
		c.addError("answers.fresh",
			"is missing: it has no default, because only the operator knows how old an answer may be")
	case d > maxResultAge:
		c.addError("answers.fresh", "%v is longer than %v", d, maxResultAge)
	}
	c.optionalNumber("answers.memory_mb", a.MemoryMB, 0.1, 1<<20)
	c.optionalNumber("answers.count", float64(a.MaxEntries), 1, 10_000_000)
	c.optionalNumber("answers.answer_kb", a.MaxAnswerKB, 1, 1<<20)
	c.optionalNumber("answers.team_share", a.TenantShare, 0.001, 1)
	if a.MemoryMB > cmp.Or(x.Limits.MemoryMB, 512)/2 {
		c.addError("answers.memory_mb", "is more than half of limits.memory_mb")
	}
	if x.Fairness == nil && x.Shares == nil {
		c.addError("answers",
			"neither fairness nor shares is configured: the team that an answer belongs to would be unknown")
	}
	for i, name := range a.Groups {
		at := fmt.Sprintf("answers.groups[%d]", i)
		found := false
		for _, g := range x.Groups {
			if g.Name != name {
				continue
			}
			if found = true; g.Effect != "read-only" || g.FIFOByKey || g.IsLoad {
				c.addError(at, "%q is not read-only, or keeps an order, or is a load", name)
			}
		}
		if !found {
			c.addError(at, "no group is named %q", name)
		}
	}
}

// limits returns the limits of the cache, nil without a cache.
func (a *ResultCache) limits() *resultcache.Limits {
	if a == nil {
		return nil
	}
	l := resultcache.DefaultLimits()
	l.Freshness = time.Duration(a.Freshness)
	l.MaxBytes = int64(cmp.Or(a.MemoryMB, 16) * (1 << 20))
	l.MaxEntries, l.TenantShare = cmp.Or(a.MaxEntries, l.MaxEntries), cmp.Or(a.TenantShare, l.TenantShare)
	l.MaxAnswerBytes = min(l.MaxBytes, int64(cmp.Or(a.MaxAnswerKB, 1024)*1024))
	l.Groups = a.Groups
	return &l
}

// randomID returns a random number. 64 bits make a collision with another controller unlikely.
func randomID() uint64 {
	var p [8]byte
	rand.Read(p[:])
	return binary.LittleEndian.Uint64(p[:])
}
