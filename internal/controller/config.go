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

// Config is the configuration of a controller. The program fills it from the deploy file, the platform's
// settings and the environment. It does not change while the controller runs, except for DiscoveryAddress
// and Settings, which the controller replaces in its own copy.
type Config struct {
	// Seed seeds the scheduler's random number generator.
	Seed uint64
	// MemoryMB is the memory of the process in MB (2^20 bytes). All byte limits are fractions of it.
	MemoryMB float64
	// MaxDescriptors is how many file descriptors the process may use.
	MaxDescriptors int
	// StartedAt is the wall-clock time at which the monotonic clock passed to Step was 0.
	StartedAt time.Time

	// DiscoveryAddress is where the endpoint list is watched; "": the list is not watched.
	DiscoveryAddress string
	// InitialEndpoints is the endpoint list to start with, encoded as the discovery's events are; it may
	// be empty.
	InitialEndpoints []byte
	// Settings are the platform's settings, keyed by the names that package settings defines.
	Settings map[string]string

	// FieldNames are the names of the optional fields of clients' calls.
	FieldNames FieldNames
	// ClientLimits are limits for clients from given addresses; all other clients have the default limits.
	ClientLimits []ClientLimits

	// Tenants configures fair queueing among tenants; nil: queries are scheduled in order of arrival.
	Tenants *fairqueue.Config
	// Spool configures results that clients read page by page; nil: each result is answered in one piece.
	Spool *SpoolConfig
	// CacheLimits configures the result cache; nil: every query goes to an engine.
	CacheLimits *resultcache.Limits
	// Fleet is set if the controller has peers; nil: the controller runs alone.
	Fleet *FleetConfig
	// NewUniqueID returns a number that no other controller uses, for the ids of invalidations; nil: the
	// start time is used.
	NewUniqueID func() uint64

	// TraceQueries logs every step of every query at debug level.
	TraceQueries bool
}

// FieldNames are the names of the optional fields of a client's call. A field with an empty name is not
// read.
type FieldNames struct {
	Tenant          string // tenant of the call; trusted only from addresses that the configuration lists
	NotifyWait      string // the client wants to be notified of its expected wait
	RepeatOf        string // id of the query that this one repeats
	Paged           string // the client reads the result page by page
	Customer        string // customer whose quota the query counts against
	EstimatedWork   string // in milliseconds of one thread
	EstimatedMemory string // in MB
	IdempotencyKey  string // lets engines recognise a retried query, for groups that require one
}

// CallOrigin is the address that a call came from, and the call's fields beside those of the query itself.
type CallOrigin struct {
	Address netip.Addr
	Fields  msgpackrpc.Fields
}

// A third of the descriptors is for clients. The rest is for engines, except for a reserve for the listener,
// the discovery, the runtime and connections that are being closed.
const (
	clientDescriptorsDivisor   = 3
	minReservedDescriptors     = 16
	reservedDescriptorsDivisor = 32
	minEngineConnections       = 2
)

// A message may take a 64th of the memory, and an event of the endpoint list an eighth. The bytes that
// clients have not read, the statements, and the buffers of all connections may take an eighth each of what
// the program itself and its connections leave.
const (
	megabyte             = 1 << 20
	messageMemoryDivisor = 64
	sharedMemoryDivisor  = 8

	// ProgramMB is the resident memory in MB that neither the limits on bytes nor the Go runtime's limit
	// include: the program's code and the C library, and what the runtime needs to collect.
	ProgramMB = 12
	// connectionMemory is for the stacks and records of a connection, without its buffers.
	connectionMemory = 4 << 10

	minMessageBytes   = 64 << 10
	minUnreadBytes    = 256 << 10
	minStatementBytes = 256 << 10
	minBufferedBytes  = 1 << 20
)

// sharedMemoryBytes returns how many bytes each use of memory that all clients and engines share may take.
func (c Config) sharedMemoryBytes() int {
	left := int((c.MemoryMB-ProgramMB)*megabyte) - c.MaxDescriptors*connectionMemory
	return left / sharedMemoryDivisor
}

// settingTrue is the value of a boolean setting that is on.
const settingTrue = "true"

func (c Config) clientDescriptors() int { return max(1, c.MaxDescriptors/clientDescriptorsDivisor) }

func (c Config) reservedDescriptors() int {
	return minReservedDescriptors + c.MaxDescriptors/reservedDescriptorsDivisor
}

// MaxClientConnections returns how many client connections may exist at a time, including those that are
// being closed.
func (c Config) MaxClientConnections() int { return c.clientDescriptors() + c.reservedDescriptors()/2 }

// group is the configuration of a resource group. A group is created once; readSettings replaces the values
// that a policy change may change.
type group struct {
	index int // position among the platform's groups
	name  string

	inOrder             bool // the queries of a key run one at a time, in order of arrival
	isLoad              bool // the queries load tables
	readOnly            bool
	needsIdempotencyKey bool

	timeout          time.Duration // longest timeout that a query may ask for
	latencyObjective time.Duration
	threads          float64 // engine threads that a query takes
	priorityWeight   float64
}

// readGroups creates the groups from the settings.
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

// readSettings reads the values that a policy change may change.
func (g *group) readSettings(c *Controller) {
	prefix := groupPrefix(g.index)
	g.timeout = c.durationSetting(prefix + "timeout")
	g.latencyObjective = c.durationSetting(prefix + "target")
	g.threads = max(1, parseNumber(listItem(c.Settings["threads"], g.index)))
	g.priorityWeight = parseNumber(c.Settings[prefix+"value"])
}

// readCustomers reads the customers' names from the settings.
func (c *Controller) readCustomers() {
	c.customers = nil
	n, _ := strconv.Atoi(c.Settings["teams"])
	for i := range n {
		c.customers = append(c.customers, settings.SanitizeName(c.Settings["team."+strconv.Itoa(i)+".name"]))
	}
}

// listItem returns the item at an index of a comma-separated setting, "" if the list is shorter.
func listItem(list string, i int) string {
	items := strings.Split(list, ",")
	if i < len(items) {
		return items[i]
	}
	return ""
}

// parseNumber parses a numeric setting; 0 if the setting is absent.
func parseNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// durationSetting returns a setting that is a number of milliseconds; 0 if the setting is absent.
func (c *Controller) durationSetting(name string) time.Duration {
	ms, _ := strconv.ParseFloat(c.Settings[name], 64)
	return time.Duration(ms * float64(time.Millisecond))
}
