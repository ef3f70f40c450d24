package fairqueue

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// tenantResolver finds the tenant of a call: the one that the call names if its address is
// trusted to name one, else the one that owns the address, else the default tenant.
type tenantResolver struct {
	byName        map[string]int
	trusted       bart.Lite
	byAddress     bart.Table[int]
	defaultTenant int
}

func newTenantResolver(s *Config, plans []tenantRecord) *tenantResolver {
	r := &tenantResolver{byName: make(map[string]int, len(plans)), defaultTenant: 0}
	for i, p := range plans {
		if p.isLeaf {
			r.byName[p.Name] = i
			for _, a := range p.Addresses {
				r.byAddress.Insert(a.Masked(), i)
			}
		}
	}
	for _, a := range s.TrustedAddresses {
		r.trusted.Insert(a.Masked())
	}
	if i, ok := r.byName[s.DefaultTenant]; ok {
		r.defaultTenant = i
	} else {
		r.defaultTenant = len(plans) - 1 // planned as the last
	}
	return r
}

// resolve returns the tenant's index. named is the tenant's name in the call, empty if there is
// none; where it is not trusted or not known, the address decides.
func (r *tenantResolver) resolve(from netip.Addr, named []byte) int {
	from = from.Unmap()
	if len(named) > 0 && from.IsValid() && r.trusted.Contains(from) {
		if i, ok := r.byName[string(named)]; ok {
			return i
		}
	}
	if from.IsValid() {
		if i, ok := r.byAddress.Lookup(from); ok {
			return i
		}
	}
	return r.defaultTenant
}
