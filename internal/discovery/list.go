// Package discovery reads the feed of the engine list and writes what is asked of
// it, over bytes only.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"railrelay.dev/railrelay/internal/scheduler"
)

var errForm = errors.New("not a line of the feed")

// Hearer is handed what the list says.
type Handler interface {
	// Event opens an event; false if it is not the one that comes next.
	BeginEvent(number int64, whole bool) bool
	Engine(id, address, location, kind string, cell int, state scheduler.EngineState, startedMs int64)
	EndEvent()
	// Last is the number of the newest event there is.
	LatestEvent(number int64)
	// Odd is an entry that can't be used; the rest of its event can.
	InvalidEntry(why string)
}

// Since writes the call for all that comes after an event.
func AppendSubscribe(dst []byte, number int64) []byte {
	return append(strconv.AppendInt(append(dst, "SUB "...), number, 10), '\n')
}

// Read hands over the first line if all of it is there, and says how many
// bytes it took: 0 while it isn't. With an error they are those of a line that
// can't be used and may be passed over, 0 where there is no end of it.
func Read(p []byte, most int, h Handler) (int, error) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		if len(p) > most {
			return 0, errForm
		}
		return 0, nil
	}
	if line := bytes.TrimSpace(p[:end]); len(line) > 0 {
		if err := readEvent(line, h); err != nil {
			return end + 1, err
		}
	}
	return end + 1, nil
}

// Known hands over the events known at the start.
func ReadSnapshot(known []byte, h Handler) error {
	var all struct { // an error names these keys; they are matched in any case
		N      int64             `json:"N"`
		Events []json.RawMessage `json:"Events"`
	}
	if err := json.Unmarshal(known, &all); err != nil {
		return err
	}
	for _, e := range all.Events {
		if err := readEvent(e, h); err != nil {
			return err
		}
	}
	h.LatestEvent(all.N)
	return nil
}

// Event hands over one event, or the bare number of the last one.
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
		return errForm
	}
	if event.Members == nil {
		h.LatestEvent(*event.N)
		return nil
	}
	if !h.BeginEvent(*event.N, event.Members.Complete) {
		return nil
	}
	for _, m := range event.Members.Members {
		entry(m, h)
	}
	h.EndEvent()
	return nil
}

func entry(line []byte, h Handler) {
	var e struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Flavor   string  `json:"flavor"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Up       float64 `json:"up_since_ms"`
	}
	err := json.Unmarshal(line, &e)
	state, known := states[e.Phase]
	switch {
	case err != nil:
		h.InvalidEntry("an entry that can't be read")
	case e.ID == "":
		h.InvalidEntry("an entry without an id")
	case !known:
		h.InvalidEntry("engine " + e.ID + ", of unknown state " + strconv.Quote(e.Phase))
	case e.HostPort == "" && state == scheduler.EngineActive:
		h.InvalidEntry("engine " + e.ID + ", which has no address")
	default:
		if e.Up < 0 || e.Up > startMost {
			h.InvalidEntry("engine " + e.ID + ", whose start is out of range: taken as not told")
			e.Up = 0
		}
		h.Engine(e.ID, e.HostPort, e.Locality, e.Flavor, e.Cell, state, int64(e.Up))
	}
}

// startMost bounds the milliseconds of a start, in the year 2255: beyond it spans overflow.
const startMost = 9e12

var states = map[string]scheduler.EngineState{"SERVING": scheduler.EngineActive, "DRAINING": scheduler.EngineDraining, "DELETED": scheduler.EngineRemoved}
