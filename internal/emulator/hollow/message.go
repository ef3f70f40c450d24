package hollow

import "time"

// Config is what a process of hollow controllers is started with: the first line of its
// standard input, as JSON.
type Config struct {
	Fleet      string        `json:"fleet"`
	Keys       string        `json:"keys"` // the key file
	Voters     []Peer        `json:"voters"`
	Lease      time.Duration `json:"lease"`
	Election   time.Duration `json:"election"`
	Heartbeat  time.Duration `json:"heartbeat"`
	WriteDelay time.Duration `json:"write_delay"`
	// StartWithin is the time over which starts are spread, by the seed: all at
	// once would ask for their leases in one moment ever after, which processes that start
	// together don't, and spare the leader confirmations.
	StartWithin     time.Duration     `json:"start_within"`
	Seed            uint64            `json:"seed"` // of clock offsets and of the links' jitter
	Links           Links             `json:"links"`
	Places          map[string]Place  `json:"places"` // of all controllers, by host address
	DirectAddresses map[string]string `json:"direct"` // where the address of a peer leads, past a proxy
	Sites           []string          `json:"sites"`  // that all tell to have engines, as real ones do
	Controllers     []Member          `json:"controllers"`
}

// Peer is a controller as others reach it.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Member is one hollow controller.
type Member struct {
	Name           string `json:"name"`
	ListenAddress  string `json:"listen"`            // an IP address of its own, and a port
	ClientAddress  string `json:"clients,omitempty"` // where its clients would reach it
	Place          Place  `json:"place"`
	Relays         []Peer `json:"relays,omitempty"`  // that it asks in place of the leader
	ControlAddress string `json:"control,omitempty"` // where operators come in; none: they don't
}

// What a Command has controllers do.
const (
	Start  = "start"  // from what its store holds
	Stop   = "stop"   // at once, as a kill: nothing more is sent
	Pause  = "pause"  // as SIGSTOP: nothing goes in or out
	Resume = "resume" // as SIGCONT
	Cut    = "cut"    // nothing passes to or from other regions
	Heal   = "heal"   // ends a cut
	Report = "report" // answered by a Counted each
	Delay  = "delay"  // each write of the record takes Delay from now on
)

// Command is a line of standard input after the first, as JSON.
type Command struct {
	Do    string        `json:"do"`
	Names []string      `json:"names,omitempty"` // none: all
	Delay time.Duration `json:"delay,omitempty"`
	Round int           `json:"round,omitempty"` // given back by a Counted
}

// What an Event tells.
const (
	Serving = "serving" // it serves by Version from At on
	Ended   = "ended"   // it served until At: Why is shut, lease, or stopped
	Counted = "counted" // the answer to Report
	Failed  = "failed"  // a controller can't go on: Why
)

// Event is a line of standard output, as JSON.
type Event struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	At      int64   `json:"at"` // nanoseconds since 1970
	Version uint64  `json:"version,omitempty"`
	Policy  uint64  `json:"policy,omitempty"` // xxhash of the text that it serves by
	Reason  string  `json:"why,omitempty"`
	Round   int     `json:"round,omitempty"`
	Counts  *Counts `json:"counts,omitempty"`
}

// Counts are sums since a controller was last started.
type Counts struct {
	BytesOut    int `json:"bytes_out"` // of connections, with HTTP's headers and answers
	BytesIn     int `json:"bytes_in"`
	FramesOut   int `json:"frames_out"` // bytes of frames alone
	FramesIn    int `json:"frames_in"`
	MessagesOut int `json:"messages_out"`
	MessagesIn  int `json:"messages_in"`
	FailedPosts int `json:"failed_posts"`
	Dropped     int `json:"dropped"`
}
