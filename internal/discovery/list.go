// Package discovery decodes the feed of the engine list and encodes subscriptions to it. It works on byte
// slices and does no I/O.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"railrelay.dev/railrelay/internal/scheduler"
)

// errInvalidLine is the error for a line that is malformed or too long, and for such an event in a snapshot.
var errInvalidLine = errors.New("invalid line of the engine list feed")

// Handler receives the events of the engine list.
type Handler interface {
	// BeginEvent begins an event. A complete event lists all engines. BeginEvent returns false to skip the
	// event, when the event isn't the next one.
	BeginEvent(number int64, complete bool) bool
	// Engine delivers one engine of the event.
	Engine(id, address, location, kind string, cell int, state scheduler.EngineState, startedMs int64)
	// EndEvent ends the event.
	EndEvent()
	// LatestEvent reports the number of the latest event.
	LatestEvent(number int64)
	// InvalidEntry reports an invalid entry. Engine isn't called for the entry, unless only its start time is
	// out of range: then the start time is 0. The other entries of the event are still delivered.
	InvalidEntry(reason string)
}

// AppendSubscribe appends the subscription to all events after the given one.
func AppendSubscribe(dst []byte, number int64) []byte {
	return append(strconv.AppendInt(append(dst, "SUB "...), number, 10), '\n')
}

// Read passes the first line in data to h and returns the number of bytes of that line, 0 if the line is
// incomplete. With an error, that number of bytes belongs to an invalid line, which the caller may skip;
// it is 0 if the line is longer than maxBytes.
func Read(data []byte, maxBytes int, h Handler) (int, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		if len(data) > maxBytes {
			return 0, errInvalidLine
		}
		return 0, nil
	}
	if line := bytes.TrimSpace(data[:end]); len(line) > 0 {
		if err := readEvent(line, h); err != nil {
			return end + 1, err
		}
	}
	return end + 1, nil
}

// ReadSnapshot decodes a snapshot, a JSON object with events and the number of the latest one, and passes
// both to h.
func ReadSnapshot(snapshot []byte, h Handler) error {
	// encoding/json ignores the case of keys. Its error messages use the spelling of these tags.
	var content struct {
		N      int64             `json:"N"`
		Events []json.RawMessage `json:"Events"`
	}
	if err := json.Unmarshal(snapshot, &content); err != nil {
		return err
	}
	for _, e := range content.Events {
		if err := readEvent(e, h); err != nil {
			return err
		}
	}
	h.LatestEvent(content.N)
	return nil
}

// readEvent passes one event to h or, for a bare number or an event without members, the number of the
// latest event.
func readEvent(line []byte, h Handler) error {
	if n, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		h.LatestEvent(n)
		return nil
	}
	var event struct {
		N       *int64 `json:"n"`
		Members *struct {
			Complete bool              `json:"complete"`
			Members  []json.RawMessage `json:"members"`
		} `json:"members"`
	}
	if err := json.Unmarshal(line, &event); err != nil || event.N == nil {
		return errInvalidLine
	}
	if event.Members == nil {
		h.LatestEvent(*event.N)
		return nil
	}
	if !h.BeginEvent(*event.N, event.Members.Complete) {
		return nil
	}
	for _, m := range event.Members.Members {
		readEntry(m, h)
	}
	h.EndEvent()
	return nil
}

// readEntry passes one engine of an event to h.
func readEntry(entry []byte, h Handler) {
	var e struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Flavor   string  `json:"flavor"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Up       float64 `json:"up_since_ms"`
	}
	err := json.Unmarshal(entry, &e)
	state, valid := engineStates[e.Phase]
	switch {
	case err != nil:
		h.InvalidEntry("malformed entry")
	case e.ID == "":
		h.InvalidEntry("entry without an id")
	case !valid:
		h.InvalidEntry("engine " + e.ID + " has unknown phase " + strconv.Quote(e.Phase))
	case e.HostPort == "" && state == scheduler.EngineActive:
		h.InvalidEntry("engine " + e.ID + " has no address")
	default:
		if e.Up < 0 || e.Up > maxStartMillis {
			h.InvalidEntry("engine " + e.ID + " has an out-of-range start time, which is ignored")
			e.Up = 0
		}
		h.Engine(e.ID, e.HostPort, e.Locality, e.Flavor, e.Cell, state, int64(e.Up))
	}
}

// maxStartMillis is the latest start time, in the year 2255. Later ones would overflow a duration.
const maxStartMillis = 9e12

var engineStates = map[string]scheduler.EngineState{"SERVING": scheduler.EngineActive,
	"DRAINING": scheduler.EngineDraining, "DELETED": scheduler.EngineRemoved}
