package fairqueue

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Config is the configuration of the fair queue: the tree of tenants, the lanes and the bounds.
type Config struct {
	Lanes   []Lane
	Tenants []Tenant
	// DefaultTenant is the name of the tenant of calls that name none and come from no
	// tenant's address.
	DefaultTenant string
	// TrustedAddresses are those whose calls may name a tenant.
	TrustedAddresses []netip.Prefix

	// AgeingLimit is how long a query waits at the most before it goes ahead of all younger
	// ones of its lane, whatever its tenant. Behind others of its tenant no query is admitted
	// whose estimate is over three fifths of it. 0: DefaultAgeingLimit.
	AgeingLimit time.Duration
	// MaxWaiting bounds the waiting queries of all tenants together. 0: DefaultMaxWaiting.
	MaxWaiting int
	// OverrunFactor is how many times its usual work a query takes before its priority is
	// lowered. 0: DefaultOverrunFactor.
	OverrunFactor float64
	// NotifyThreshold is the change of an estimate, as a part of it, of which clients are
	// notified. 0: DefaultNotifyChange.
	NotifyThreshold float64
}

// Defaults of the configuration.
const (
	DefaultAgeingLimit      = 10 * time.Second
	DefaultMaxWaiting       = 100_000
	DefaultTenantMaxWaiting = 10_000 // of one tenant
	DefaultOverrunFactor    = 4.0
	DefaultNotifyThreshold  = 0.25
)

// Lane describes the queue of one resource group.
type Lane struct {
	Name                string
	Threads             float64       // a query runs on
	PriorityWeight      float64       // of a query that finishes
	InitialWorkEstimate time.Duration // thread time of a query until any finished
	MaxRetryAfter       time.Duration // the longest Retry-After its clients follow, 0: any

	// Ordered queries are never lowered, nor passed by a younger one of their key or chain.
	Ordered bool
	// Chained queries are loads: they are ordered by table group too.
	Chained bool
}

// Tenant is a node of the tenant tree. One with Children is a group of tenants, and has no
// queries of its own.
type Tenant struct {
	Name     string
	Weight   float64 // against its siblings
	Children []Tenant

	// The token bucket: Quota in thread seconds a second, 0 for none; Burst in thread seconds.
	Quota float64
	Burst float64

	MaxWaiting int            // queries, 0: DefaultTenantMaxWaiting
	Addresses  []netip.Prefix // whose calls are this tenant's
}

const maxWeight = 1e6

// Validate reports what is wrong with a configuration, with the path of the tenant at fault.
func (s *Config) Validate() error {
	if len(s.Lanes) == 0 {
		return errors.New("no resource groups")
	}
	seen := map[string]bool{}
	if err := checkTenants(s.Tenants, "", seen); err != nil {
		return err
	}
	if s.DefaultTenant != "" && !seen[s.DefaultTenant] {
		return fmt.Errorf("default: no team is called %q", s.DefaultTenant)
	}
	return nil
}

func checkTenants(l []Tenant, path string, seen map[string]bool) error {
	for _, t := range l {
		at := path + t.Name
		switch {
		case t.Name == "":
			return fmt.Errorf("%s: a team without a name", path)
		case !(t.Weight > 0) || t.Weight > maxWeight || math.IsInf(t.Weight, 0):
			return fmt.Errorf("%s: a weight of %v", at, t.Weight)
		case t.Quota < 0 || t.Burst < 0 || math.IsNaN(t.Quota+t.Burst):
			return fmt.Errorf("%s: a budget of %v with a burst of %v", at, t.Quota, t.Burst)
		case len(t.Children) == 0 && seen[t.Name]:
			return fmt.Errorf("%s: a second team of this name", at)
		case len(t.Children) > 0 && len(t.Addresses) > 0:
			return fmt.Errorf("%s: addresses belong to a team, not to a kind", at)
		}
		if len(t.Children) == 0 {
			seen[t.Name] = true
		} else if err := checkTenants(t.Children, at+"/", seen); err != nil {
			return err
		}
	}
	return nil
}
