package controller

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/settings"
)

// Config is what a controller starts with. The program fills it from the deploy file, the platform's
// settings and the environment; nothing in it changes while the controller runs, but for
// DiscoveryAddress and Settings, which the controller replaces in its own copy.
type Config struct {
	// Seed starts the scheduler's random draws.
	Seed uint64
	// MemoryMB is the memory of the process in MB (2^20 bytes). All byte limits are parts of it.
	MemoryMB float64
	// Sockets is how many descriptors the process may use.
	MaxDescriptors int
	// StartedAt is the wall-clock time at which the monotonic clock of Step was 0.
	StartedAt time.Time

	// DiscoveryAddress is where the endpoint list is watched; "": there is no watch.
	DiscoveryAddress string
	// InitialEndpoints is an endpoint list, in the form of the discovery's events, to start with; it may
	// be empty.
	InitialEndpoints []byte
	// Settings are the platform's, by the names that package settings has for them.
	Settings map[string]string

	// FieldNames are the names of the optional fields of calls.
	FieldNames FieldNames
	// ClientLimits are limits for clients from some addresses; all others have the default ones.
	ClientLimits []ClientLimits

	// Tenants are the tenants of fair queueing; nil: queries are scheduled as they come.
	Tenants *fairqueue.Config
	// Spool configures results that are read page by page; nil: each is answered in one piece.
	Spool *SpoolConfig
	// CacheLimits configures cached answers; nil: every query goes to an engine.
	CacheLimits *resultcache.Limits
	// Fleet is set if the controller has peers; nil: it stands alone.
	Fleet *FleetConfig
	// NewUniqueID draws a number that no other controller draws, for the ids of invalidations;
	// nil: the start time is used.
	NewUniqueID func() uint64

	// TraceQueries logs, at debug level, every step of every query.
	TraceQueries bool
}

// FieldNames are the names of the optional fields of a client's call. The empty name: the field is
// not looked for.
type FieldNames struct {
	Tenant          string // whose call it is; believed only from addresses that the set-up names
	NotifyWait      string // the client wants to be notified of how long it waits
	RepeatOf        string // the id of the query that this one repeats
	Paged           string // the client reads the result page by page
	Customer        string // the customer whose entitlement it counts to
	EstimatedWork   string // in milliseconds of one thread
	EstimatedMemory string // in MB
	IdempotencyKey  string // by which engines recognise a repeat, for groups that need one
}

// CallOrigin is where a call comes from and its fields beside those of the query itself.
type CallOrigin struct {
	Address netip.Addr
	Fields  msgpackrpc.Fields
}

// A third of the descriptors is for clients, the rest for engines, but for some kept back for the
// listener, the discovery, the runtime and connections that are being closed.
const (
	clientDescriptorsDivisor   = 3
	minReservedDescriptors     = 16
	reservedDescriptorsDivisor = 32
	minEngineConnections       = 2
)

// A message may take a 64th of the memory; all bytes that clients have not read, all statements, and
// the buffers of all connections an eighth each.
const (
	megabyte             = 1 << 20
	messageMemoryDivisor = 64
	sharedMemoryDivisor  = 8

	minMessageBytes   = 64 << 10
	minUnreadBytes    = 256 << 10
	minStatementBytes = 256 << 10
	minBufferedBytes  = 1 << 20
)

// settingTrue is how the settings write a switch that is on.
const settingTrue = "true"

func (m Config) clientDescriptors() int { return max(1, m.MaxDescriptors/clientDescriptorsDivisor) }

func (m Config) reservedDescriptors() int {
	return minReservedDescriptors + m.MaxDescriptors/reservedDescriptorsDivisor
}

// MaxClientConnections is how many connections of clients there may be at a time, with those that are
// being closed.
func (m Config) MaxClientConnections() int { return m.clientDescriptors() + m.reservedDescriptors()/2 }

// group is what the controller knows of a resource group. It is made once; readSettings replaces
// what a change of policy may change.
type group struct {
	index int // among the platform's groups
	name  string

	inOrder             bool // the queries of a key run one at a time, in the order they came
	isLoad              bool // they load tables
	readOnly            bool
	needsIdempotencyKey bool

	timeout          time.Duration // the longest that a query may ask for
	latencyObjective time.Duration
	threads          float64 // of an engine that a query takes
	priorityWeight   float64
}

// readGroups makes the groups by the settings.
func (c *Controller) readGroups() {
	count, _ := strconv.Atoi(c.Settings["groups"])
	for i := range count {
		prefix := groupPrefix(i)
		effect := c.Settings[prefix+"effect"]
		g := &group{
			index:               i,
			name:                c.Settings[prefix+"name"],
			inOrder:             c.Settings[prefix+"in-order"] == settingTrue,
			isLoad:              listItem(c.Settings["loads"], i) == settingTrue,
			readOnly:            effect == "read-only",
			needsIdempotencyKey: effect == "tokened",
		}
		g.readSettings(c)
		c.groups[settings.SanitizeName(g.name)] = g
		c.longestQueryTimeout = max(c.longestQueryTimeout, g.timeout)
	}
}

func groupPrefix(index int) string { return "group." + strconv.Itoa(index) + "." }

// readSettings takes what a change of policy may change.
func (g *group) readSettings(c *Controller) {
	prefix := groupPrefix(g.index)
	g.timeout = c.durationSetting(prefix + "timeout")
	g.latencyObjective = c.durationSetting(prefix + "target")
	g.threads = max(1, parseNumber(listItem(c.Settings["threads"], g.index)))
	g.priorityWeight = parseNumber(c.Settings[prefix+"value"])
}

// readCustomers takes the customers' names from the settings.
func (c *Controller) readCustomers() {
	c.customers = nil
	n, _ := strconv.Atoi(c.Settings["teams"])
	for i := range n {
		c.customers = append(c.customers, settings.SanitizeName(c.Settings["team."+strconv.Itoa(i)+".name"]))
	}
}

// listItem is one item of a setting that is a list, "" if it has fewer.
func listItem(list string, i int) string {
	items := strings.Split(list, ",")
	if i < len(items) {
		return items[i]
	}
	return ""
}

// parseNumber reads a setting that is a number; 0 if it is absent.
func parseNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// durationSetting reads a setting that is a number of milliseconds; 0 if it is absent.
func (c *Controller) durationSetting(name string) time.Duration {
	ms, _ := strconv.ParseFloat(c.Settings[name], 64)
	return time.Duration(ms * float64(time.Millisecond))
}
