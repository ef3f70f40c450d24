package hollow

import "time"

// Config configures a process of simulated controllers. It is the first line of standard input, as
// JSON.
type Config struct {
	Fleet      string        `json:"fleet"`
	Keys       string        `json:"keys"` // path of the key file
	Voters     []Peer        `json:"voters"`
	Lease      time.Duration `json:"lease"`
	Election   time.Duration `json:"election"`
	Heartbeat  time.Duration `json:"heartbeat"`
	WriteDelay time.Duration `json:"write_delay"`
	// StartWithin is the time over which starts are spread, by the seed. Controllers that start at the
	// same moment would always request their leases at the same moment. Real processes that start
	// together don't, and simultaneous requests would save the leader confirmations.
	StartWithin     time.Duration     `json:"start_within"`
	Seed            uint64            `json:"seed"` // for clock offsets and the jitter of links
	Links           Links             `json:"links"`
	Places          map[string]Place  `json:"places"` // of all controllers, by host address
	DirectAddresses map[string]string `json:"direct"` // by a peer's address, the address behind its proxy
	Sites           []string          `json:"sites"`  // sites that every controller reports as having engines
	Controllers     []Member          `json:"controllers"`
}

// Peer is the name and address of another controller.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Member is one simulated controller.
type Member struct {
	Name           string `json:"name"`
	ListenAddress  string `json:"listen"`            // the controller's own IP address, and a port
	ClientAddress  string `json:"clients,omitempty"` // the address for clients
	Place          Place  `json:"place"`
	Relays         []Peer `json:"relays,omitempty"`  // controllers that it contacts instead of the leader
	ControlAddress string `json:"control,omitempty"` // the address for operators; empty for none
}

// The actions of a Command.
const (
	Start  = "start"  // starts from the contents of the store
	Stop   = "stop"   // stops at once, as a kill does: nothing more is sent
	Pause  = "pause"  // holds all input and output, like SIGSTOP
	Resume = "resume" // ends a pause, like SIGCONT
	Cut    = "cut"    // holds all bytes to and from other regions
	Heal   = "heal"   // ends a cut
	Report = "report" // makes each controller emit a Counted event
	Delay  = "delay"  // sets the duration of each write of the record
)

// Command is a line of standard input after the first, as JSON.
type Command struct {
	Do    string        `json:"do"`
	Names []string      `json:"names,omitempty"` // empty means all controllers
	Delay time.Duration `json:"delay,omitempty"`
	Round int           `json:"round,omitempty"` // repeated in the Counted event
}

// The kinds of an Event.
const (
	Serving = "serving" // the controller serves under Version since At
	Ended   = "ended"   // the controller served until At; Reason is shut, lease or stopped
	Counted = "counted" // the response to Report
	Failed  = "failed"  // the controller can't continue, because of Reason
)

// Event is a line of standard output, as JSON.
type Event struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	At      int64   `json:"at"` // nanoseconds since the Unix epoch
	Version uint64  `json:"version,omitempty"`
	Policy  uint64  `json:"policy,omitempty"` // xxhash of the policy's text
	Reason  string  `json:"why,omitempty"`
	Round   int     `json:"round,omitempty"`
	Counts  *Counts `json:"counts,omitempty"`
}

// Counts are counters since a controller's last start.
type Counts struct {
	BytesOut    int `json:"bytes_out"` // on connections, including HTTP headers and responses
	BytesIn     int `json:"bytes_in"`
	FramesOut   int `json:"frames_out"` // bytes of frames only
	FramesIn    int `json:"frames_in"`
	MessagesOut int `json:"messages_out"`
	MessagesIn  int `json:"messages_in"`
	FailedPosts int `json:"failed_posts"`
	Dropped     int `json:"dropped"`
}
