package fairqueue

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// tenantResolver determines the tenant of a call: the tenant that the call names if its address is
// trusted to name one, else the tenant that owns the address, else the default tenant.
type tenantResolver struct {
	byName        map[string]int
	trusted       bart.Lite
	byAddress     bart.Table[int]
	defaultTenant int
}

func newTenantResolver(config *Config, records []tenantRecord) *tenantResolver {
	resolver := &tenantResolver{byName: make(map[string]int, len(records)), defaultTenant: 0}
	for i, record := range records {
		if record.isLeaf {
			resolver.byName[record.Name] = i
			for _, prefix := range record.Addresses {
				resolver.byAddress.Insert(prefix.Masked(), i)
			}
		}
	}
	for _, prefix := range config.TrustedAddresses {
		resolver.trusted.Insert(prefix.Masked())
	}
	if i, ok := resolver.byName[config.DefaultTenant]; ok {
		resolver.defaultTenant = i
	} else {
		resolver.defaultTenant = len(records) - 1 // applyConfig appends it last
	}
	return resolver
}

// resolve returns the index of a call's tenant. named is the tenant name in the call, empty if the call
// names none. If the name is unknown or the address is not trusted, the address decides.
func (r *tenantResolver) resolve(address netip.Addr, named []byte) int {
	address = address.Unmap()
	if len(named) > 0 && address.IsValid() && r.trusted.Contains(address) {
		if i, ok := r.byName[string(named)]; ok {
			return i
		}
	}
	if address.IsValid() {
		if i, ok := r.byAddress.Lookup(address); ok {
			return i
		}
	}
	return r.defaultTenant
}
