package fairqueue

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Config configures a Queue: its lanes, the tree of tenants, and the limits.
type Config struct {
	Lanes   []Lane
	Tenants []Tenant
	// DefaultTenant names the tenant of calls that name no tenant and come from an address
	// that no tenant owns.
	DefaultTenant string
	// TrustedAddresses lists the addresses whose calls may name a tenant.
	TrustedAddresses []netip.Prefix

	// AgeingLimit is the wait after which a query is dispatched before all younger queries of
	// its lane, regardless of tenant. A query that has queries of its own tenant ahead is only
	// admitted if its estimated age at the start is at most three fifths of this limit, or its
	// estimated wait at most a fifth. The zero value means DefaultAgeingLimit.
	AgeingLimit time.Duration
	// MaxWaiting limits the waiting queries of all tenants together. The zero value means
	// DefaultMaxWaiting.
	MaxWaiting int
	// OverrunFactor is the multiple of its estimated work that a query may use before its
	// priority is lowered. Values up to 1 mean DefaultOverrunFactor.
	OverrunFactor float64
	// NotifyThreshold is the relative change of a wait estimate above which a subscribed
	// client is notified. The zero value means DefaultNotifyThreshold.
	NotifyThreshold float64
}

// Default values of Config and Tenant.
const (
	DefaultAgeingLimit      = 10 * time.Second
	DefaultMaxWaiting       = 100_000
	DefaultTenantMaxWaiting = 10_000 // per tenant
	DefaultOverrunFactor    = 4.0
	DefaultNotifyThreshold  = 0.25
)

// Lane describes the queue of one resource group.
type Lane struct {
	Name                string
	Threads             float64       // that one query runs on
	PriorityWeight      float64       // scheduling value of one finished query
	InitialWorkEstimate time.Duration // thread time assumed until a query has finished
	MaxRetryAfter       time.Duration // longest Retry-After that its clients follow, 0: unlimited

	// Ordered lanes dispatch the queries of a key, and of a chain, in the order of arrival, and
	// never lower the priority of a running query.
	Ordered bool
	// Chained lanes hold loads, which are also ordered by table group (Query.Chain).
	Chained bool
}

// Tenant is a node of the tenant tree. A tenant with Children is a group and has no queries of
// its own.
type Tenant struct {
	Name     string
	Weight   float64 // relative to its siblings
	Children []Tenant

	// Quota and Burst configure the token bucket. Quota is its refill rate in thread seconds
	// per second, 0 for no quota; Burst is its size in thread seconds.
	Quota float64
	Burst float64

	MaxWaiting int            // limit of waiting queries, 0: DefaultTenantMaxWaiting
	Addresses  []netip.Prefix // calls from these addresses belong to this tenant
}

const maxWeight = 1e6

// Validate returns an error that names the invalid setting, with the path of the tenant that has it.
func (c *Config) Validate() error {
	if len(c.Lanes) == 0 {
		return errors.New("no resource groups")
	}
	seen := map[string]bool{}
	if err := validateTenants(c.Tenants, "", seen); err != nil {
		return err
	}
	if c.DefaultTenant != "" && !seen[c.DefaultTenant] {
		return fmt.Errorf("default: no team is named %q", c.DefaultTenant)
	}
	return nil
}

// validateTenants checks tenants and their descendants, and adds the names of those without children to seen.
func validateTenants(tenants []Tenant, parentPath string, seen map[string]bool) error {
	for _, tenant := range tenants {
		path := parentPath + tenant.Name
		switch {
		case tenant.Name == "":
			return fmt.Errorf("%s: a team has no name", parentPath)
		case !(tenant.Weight > 0) || tenant.Weight > maxWeight || math.IsInf(tenant.Weight, 0):
			return fmt.Errorf("%s: weight %v is outside the range (0, 1e6]", path, tenant.Weight)
		case tenant.Quota < 0 || tenant.Burst < 0 || math.IsNaN(tenant.Quota+tenant.Burst):
			return fmt.Errorf("%s: budget %v or burst %v is negative or not a number",
				path, tenant.Quota, tenant.Burst)
		case len(tenant.Children) == 0 && seen[tenant.Name]:
			return fmt.Errorf("%s: another team has the same name", path)
		case len(tenant.Children) > 0 && len(tenant.Addresses) > 0:
			return fmt.Errorf("%s: a group of teams has addresses; only a team can have them", path)
		}
		if len(tenant.Children) == 0 {
			seen[tenant.Name] = true
		} else if err := validateTenants(tenant.Children, path+"/", seen); err != nil {
			return err
		}
	}
	return nil
}
