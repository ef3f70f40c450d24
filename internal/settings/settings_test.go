package settings

import (
	"math"
	"testing"
	"time"
)

func TestParseTakesDefaultsForAbsentAndMalformedNumbers(t *testing.T) {
	for _, given := range []map[string]string{nil, {"cold.from": "x", "cold.window": "1s", "over.worth": "",
		"gateways": "-"}} {
		s := Parse(given)
		if s.SlowStartInitialCapacity != 0.2 || s.SlowStartWindow != time.Second || s.OverQuotaWeight != 1 ||
			s.ControllerCount != 1 || s.Quantum != 5*time.Millisecond || s.MaxAttempts != 1 {
			t.Errorf("%v: %+v", given, s)
		}
	}
}

func TestParseReadsMillisecondsAndLists(t *testing.T) {
	s := Parse(map[string]string{"note.period": "1.5", "kind.cores": "8,x,24", "groups": "2", "threads": "3",
		"loads": "false,true", "may.copy": "1", "may.probe": "yes", "group.1.effect": "tokened",
		"group.1.locations": "0,1", "report.figures": "cores"})
	if s.NotePeriod != 1500*time.Microsecond || s.AssumedNotePeriod != s.NotePeriod {
		t.Error(s.NotePeriod, s.AssumedNotePeriod)
	}
	if ValueAt(s.KindCores, 0) != 8 || ValueAt(s.KindCores, 1) != 0 || ValueAt(s.KindCores, 2) != 24 ||
		ValueAt(s.KindCores, 3) != 0 || ValueAt(s.KindCores, -1) != 0 {
		t.Error(s.KindCores)
	}
	if !s.HedgingAllowed || s.HealthChecksAllowed || s.ReportsCountQueries {
		t.Errorf("%+v", s)
	}
	a, b := s.Groups[0], s.Groups[1]
	if a.Threads != 3 || b.Threads != 1 || a.IsLoad || !b.IsLoad || b.Effect != Keyed || len(b.Locations) != 2 {
		t.Errorf("%+v %+v", a, b)
	}
	if len(a.Locations) > 0 || math.IsNaN(a.PriorityWeight) || a.LateValueShare != 1 {
		t.Errorf("%+v", a)
	}
}
