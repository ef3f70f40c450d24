package setup

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestDeployExamplesAreValid(t *testing.T) {
	seen := 0
	err := filepath.WalkDir("../../deploy", func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".yaml" {
			return err
		}
		seen++
		if strings.HasPrefix(d.Name(), "policy") { // checked against a controller's own
			own, err := Load(filepath.Join(filepath.Dir(path), "c0.yaml"))
			if err != nil {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if _, _, _, err := ParsePolicy(path, text, own); err != nil {
				t.Error(err)
			}
			return nil
		}
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
		return nil
	})
	if err != nil || seen < 6 {
		t.Fatal(seen, err)
	}
}

func TestFleetParametersAndDefaults(t *testing.T) {
	s, err := Load("../../deploy/fleet/c1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want := FleetParameters{Lease: 5 * time.Second, ConfinedLease: 5 * time.Second, ClockDrift: 0.01, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
		MaxHold: 5 * time.Second, SnapshotAfterEntries: 4096}
	if got := s.Fleet.Parameters(); got != want {
		t.Fatalf("%+v", got)
	}
	if m := s.Member(); m.Name != "c1" || m.Site != "here" || m.PeerAddress != "127.0.0.1:7601" || m.ClientAddress != "127.0.0.1:6561" {
		t.Fatalf("%+v", m)
	}
	text, _ := os.ReadFile("../../deploy/fleet/c0.yaml")
	s, err = Parse("x.yaml", []byte(strings.Replace(string(text), "lease: 5s ", "lease: unbounded ", 1)))
	if err != nil || s.Fleet.Parameters().Lease != 0 || s.Fleet.Parameters().ConfinedLease != 2*time.Second {
		t.Fatal(s, err)
	}
}

// Each case spoils one line of the example; the error must name the field and its line.
func TestFleetErrorsNameTheField(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fleet/c0.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field string }{
		{"  name: valley", "  name: ''", "fleet.name"},
		{"listen: 127.0.0.1:7600", "listen: there", "fleet.listen"},
		{"control: 127.0.0.1:7700", "control: 7700", "fleet.control"},
		{"directory: /var/lib/railrelay/c0/fleet", "directory: ''", "fleet.directory"},
		{"keys: /etc/railrelay/fleet.keys", "keys: ''", "fleet.keys"},
		{"name: c0\nlisten", "name: ''\nlisten", "name"},
		{"lease: 5s", "lease: soon", "soon"},
		{"lease: 5s", "lease: 150ms", "fleet.lease"},
		{"lease_bound: 2s", "lease_bound: 6s", "fleet.lease_bound"},
		{"lease_bound: 2s", "lease_bound: unbounded", "fleet.lease_bound"},
		{"lease: 5s", "lease: 72h", "fleet.lease"},
		{"drift: 0.01", "drift: 0.5", "fleet.drift"},
		{"heartbeat: 100ms", "heartbeat: 400ms", "fleet.heartbeat"},
		{"hold: 5s", "hold: 1h", "fleet.hold"},
		{"name: c2,", "name: c1,", "fleet.voters[2].name"},
		{"name: c2,", "name: c=2,", "fleet.voters[2].name"},
		{"name: c2, address: \"127.0.0.1:7602\"", "name: c2, address: \"127.0.0.1:7601\"", "fleet.voters[2].address"},
		{"    - {name: c2, address: \"127.0.0.1:7602\"}\n", "", "fleet.voters"},
		{"keep: 4096", "keeps: 4096", "keeps"},
	} {
		spoilt := strings.Replace(string(text), c.old, c.new, 1)
		if spoilt == string(text) {
			t.Fatalf("%q is not in the example", c.old)
		}
		var f *FieldError
		if _, err := Parse("x.yaml", []byte(spoilt)); !errors.As(err, &f) || f.Field != c.field || f.Line == 0 {
			t.Errorf("%q: %v", c.new, err)
		}
	}
}
