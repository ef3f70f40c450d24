package setup

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

func readExample(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/fleet/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func mustParse(t *testing.T, text string) *Setup {
	t.Helper()
	s, err := Parse("x.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestControlProcessHasNoSiteAndNoClients(t *testing.T) {
	s := mustParse(t, readExample(t, "control.yaml"))
	if !s.IsControlProcess() || s.Fleet.IsRelay || s.Cores() != 1 || s.MemoryMB() != 256 {
		t.Errorf("%+v", s.Fleet)
	}
	if got, want := s.Member(), (fleet.Member{Name: "v0", PeerAddress: "127.0.0.1:7610",
		ControlOnly: true}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if s = mustParse(t, readExample(t, "relay.yaml")); !s.IsControlProcess() || !s.Fleet.IsRelay {
		t.Errorf("%+v", s.Fleet)
	}
	if s = mustParse(t, readExample(t, "c0.yaml")); s.IsControlProcess() || s.MemoryMB() != 512 {
		t.Errorf("%+v", s.Fleet)
	}
	s = mustParse(t, readExample(t, "relayed.yaml"))
	if want := []Upstream{{"r0", "127.0.0.1:7620"}, {"r1", "127.0.0.1:7621"}}; s.IsControlProcess() ||
		!slices.Equal(s.Fleet.Relays, want) {
		t.Errorf("%+v", s.Fleet)
	}
}

// A voter may be a relay. A control process that is neither is a standby, which a policy may make
// a voter.
func TestRelayMayVote(t *testing.T) {
	mustParse(t, strings.Replace(readExample(t, "control.yaml"), "role: control",
		"role: control\n  relay: true", 1))
	mustParse(t, strings.Replace(readExample(t, "control.yaml"), "name: v0\nlog", "name: v9\nlog", 1))
	voting := strings.ReplaceAll(readExample(t, "relayed.yaml"), `{name: r0, address: "127.0.0.1:7620"}`,
		`{name: v0, address: "127.0.0.1:7610"}`)
	mustParse(t, voting)
}

// Each case breaks an example. The error must name the file, the field, a line and the reason.
func TestRoleAndRelayErrorsNameTheField(t *testing.T) {
	voters := readExample(t, "relay.yaml")
	voters = voters[strings.Index(voters, "  voters:"):]
	twoRelays := "  relays:\n    - {name: r1, address: \"127.0.0.1:7621\"}\n  voters:"
	for _, c := range []struct{ example, old, new, field, why string }{
		{"control.yaml", "role: control", "role: contrl", "fleet.role", "not one of: controller, control"},
		{"control.yaml", "log: info", "listen: 127.0.0.1:6560", "listen", "serves no queries"},
		{"control.yaml", "log: info", "feed: 127.0.0.1:7070", "feed", "serves no queries"},
		{"control.yaml", "log: info", "seed: 8c1f", "seed", "serves no queries"},
		{"control.yaml", "log: info", "engines: {}", "engines", "serves no queries"},
		{"control.yaml", "log: info", "groups: []", "groups", "serves no queries"},
		{"control.yaml", "log: info", "groups:", "groups", "serves no queries"},
		{"control.yaml", "log: info", "clients: [{name: a, addresses: [10.0.0.0/8]}]", "clients", "serves no queries"},
		{"control.yaml", "log: info", "fairness: {teams: [{name: a, weight: 1}]}", "fairness", "serves no queries"},
		{"control.yaml", "log: info", "spool: {field: pages}", "spool", "serves no queries"},
		{"control.yaml", "log: info", "answers: {fresh: 1s}", "answers", "serves no queries"},
		{"control.yaml", "log: info", "shares: {field: customer}", "shares", "serves no queries"},
		{"control.yaml", "log: info", "estimates: {work: weight}", "estimates", "serves no queries"},
		{"control.yaml", "log: info", "<<: {listen: 127.0.0.1:6560}", "<<", "serves no queries"},
		{"control.yaml", "log: info", "log: loud", "log", "not one of"},
		{"control.yaml", "memory_mb: 256", "memory_mb: 2", "limits.memory_mb", "less than 16"},
		{"control.yaml", "role: control", "role: control\n  clients: 127.0.0.1:6560", "fleet.clients", "has no clients"},
		{"control.yaml", "name: v0\nlog", "name: ''\nlog", "name", "is missing"},
		{"control.yaml", "name: v2, ", "name: v1, ", "fleet.voters[2].name", "a second voter"},
		{"control.yaml", "# placement:", "placement: [{name: a, team: linz}] #", "placement[0].engines", "binds nothing"},
		{"relay.yaml", voters, "", "fleet.relay", "knows no leader to forward renewals to"},
		{"relay.yaml", "  voters:", twoRelays, "fleet.relays", "relays ask the leader directly"},
		{"c0.yaml", "role: controller", "relay: true", "fleet.relay", "only a process with role: control"},
		{"relayed.yaml", "  voters:", "    - {name: r2, address: \"127.0.0.1:7622\"}\n  voters:", "fleet.relays", "at most 2"},
		{"relayed.yaml", "controllers: 2", "controllers: 1", "fleet.relays", "2 relays for 1 controllers"},
		{"relayed.yaml", "  controllers: 2\n", "", "fleet.relays", "2 relays for 1 controllers"},
		{"relayed.yaml", "name: r1,", "name: r0,", "fleet.relays[1].name", `both relays are named "r0"`},
		{"relayed.yaml", "127.0.0.1:7621", "127.0.0.1:7620", "fleet.relays[1].address", "both relays have the address"},
		{"relayed.yaml", "name: r1,", "name: n0,", "fleet.relays[1].name", "is the name of this process"},
		{"relayed.yaml", "127.0.0.1:7621", "127.0.0.1:7630", "fleet.relays[1].address", "is an address of this process"},
		{"relayed.yaml", "name: r1,", "name: '',", "fleet.relays[1].name", "is missing"},
		{"relayed.yaml", "127.0.0.1:7621", "7621", "fleet.relays[1].address", "not an address"},
		{"relayed.yaml", "name: r1,", "name: v1,", "fleet.relays[1].address", "fleet.voters lists v1 with the address 127.0.0.1:7611"},
		{"relayed.yaml", "127.0.0.1:7621", "127.0.0.1:7611", "fleet.relays[1].address", "fleet.voters lists v1 with the address 127.0.0.1:7611"},
	} {
		text := readExample(t, c.example)
		broken := strings.Replace(text, c.old, c.new, 1)
		if broken == text {
			t.Fatalf("%q is not in %s", c.old, c.example)
		}
		_, err := Parse("x.yaml", []byte(broken))
		if f := fieldErrorAt(err, c.field); f == nil || f.Line == 0 || f.File != "x.yaml" ||
			!strings.Contains(f.Reason, c.why) {
			t.Errorf("%s with %q: %v", c.example, c.new, err)
		}
	}
}

func TestControlProcessRejectsControllerKeysUnderAnAnchor(t *testing.T) {
	text := strings.Replace(readExample(t, "control.yaml"), "log: info", "listen: 127.0.0.1:6560", 1)
	anchored := "&all\n" + text
	_, err := Parse("x.yaml", []byte(anchored))
	if f := fieldErrorAt(err, "listen"); f == nil {
		t.Errorf("%v", err)
	}
}

// fieldErrorAt returns the error for a field among the errors that err joins.
func fieldErrorAt(err error, field string) *FieldError {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	for _, e := range joined.Unwrap() {
		var f *FieldError
		if errors.As(e, &f) && f.Field == field {
			return f
		}
	}
	return nil
}

func TestControlPolicyIsCheckedWithoutTenantNames(t *testing.T) {
	own := mustParse(t, readExample(t, "control.yaml"))
	text := `
fairness: {default: x, teams: [{name: x, weight: 3}, {name: y, weight: 1}]}
shares: {over: 0.5, customers: [{name: someone, rate: 3}]}
groups: [{name: whatever, target: 2s, timeout: 9s}]
placement: [{name: a, team: unheard-of, engines: [mars], emergency: {sites: [moon], after: 3s}}]
voters: [{name: v0, address: 'h:1'}]
`
	p, err := ParseControlPolicy("p.yaml", []byte(text), own)
	if err != nil {
		t.Fatal(err)
	}
	if !p.HasPlacement || !p.RulesKnown || len(p.Rules) != 1 || len(p.WatchedRules) != 1 ||
		p.WatchedRules[0].After != 3*time.Second || !slices.Equal(p.Voters, []string{"v0=h:1"}) {
		t.Errorf("%+v", p)
	}
	if own.Fairness != nil || own.Shares != nil || own.Groups != nil || own.Placement != nil {
		t.Error("ParseControlPolicy changed the set-up")
	}
	if p, err = ParseControlPolicy("p.yaml", nil, own); err != nil || p.HasPlacement || p.RulesKnown ||
		len(p.Rules) > 0 {
		t.Errorf("%+v %v", p, err)
	}
	for text, want := range map[string]string{
		"groups: [{name: a, threads: 4000}]":                                              "groups[0].threads: 4000 is greater than 1024",
		"groups: [{name: a, target: 3s, timeout: 2s}]":                                    "groups[0].target: is longer than",
		"groups: [{name: a, value: 2}, {name: a, value: 3}]":                              "groups[1].name: a second group",
		"fairness: {teams: []}":                                                           "fairness.teams: is missing",
		"fairness: {teams: [{name: x, weight: 0}]}":                                       "fairness.teams[0].weight",
		"fairness: {default: z, teams: [{name: x, weight: 1}]}":                           "fairness.default: no team",
		"shares: {over: 5}":                                                               "shares.over",
		"shares: {customers: [{name: a, rate: 0}]}":                                       "shares.customers[0].rate",
		"placement: [{name: x, team: linz}]":                                              "placement[0].engines",
		"placement: [{name: x, engines: [here]}]":                                         "placement[0].team",
		"voters: [{name: a, address: 'h:1'}, {name: b, address: 'h:2'}]":                  "2 voters",
		"voters: [{name: a=b, address: 'h:1'}]":                                           "may contain no =",
		"listen: :1":                                                                      "unknown field",
		"groups: [":                                                                       "p.yaml",
		"placement: [{name: a, team: x, engines: [p]}, {name: b, team: x, engines: [q]}]": "leave team",
	} {
		_, err := ParseControlPolicy("p.yaml", []byte(text), own)
		var unfit *Unfit
		if !errors.As(err, &unfit) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// A leader that is a control process must purge all data outside a tightened boundary, even if it
// doesn't know the previous rules.
func TestPurgeScopesOfAControlLeader(t *testing.T) {
	bare := mustParse(t, readExample(t, "control.yaml"))
	placing := func(rules string) *Setup {
		return mustParse(t, strings.Replace(readExample(t, "control.yaml"), "# placement:",
			"placement: "+rules+" #", 1))
	}
	inLinz, inBoth := "[{name: a, team: x, engines: [linz]}]", "[{name: a, team: x, engines: [linz, steyr]}]"
	all := []fleet.Scope{{Tenant: "x", OutsideSites: []string{"linz"}}}
	both := []fleet.Scope{{Tenant: "x", OutsideSites: []string{"linz", "steyr"}}}
	for _, c := range []struct {
		name         string
		own          *Setup
		before, next string // texts of policies; "" uses the rules in the set-ups
		want         []fleet.Scope
		refused      bool
	}{
		{"unknown set-up rules are replaced", bare, "", "placement: " + inLinz, all, false},
		{"known set-up rules are replaced", placing(inLinz), "", "placement: " + inLinz, all, false},
		{"narrower", bare, "placement: " + inBoth, "placement: " + inLinz, all, false},
		{"same rules", bare, "placement: " + inLinz, "placement: " + inLinz, nil, false},
		{"wider", bare, "placement: " + inLinz, "placement: " + inBoth, nil, false},
		{"rules removed", bare, "placement: " + inLinz, "placement: []", nil, false},
		{"rules added", bare, "placement: []", "placement: " + inBoth, both, false},
		{"set-up rules before and after", bare, "", "groups: [{name: g, target: 2s}]", nil, false},
		{"unknown set-up rules replace the policy's", bare, "placement: " + inBoth, "groups: [{name: g, target: 2s}]", nil, true},
		{"known set-up rules replace the policy's", placing(inLinz), "placement: " + inBoth, "groups: [{name: g, target: 2s}]", all, false},
		{"empty set-up rules replace the policy's", placing("[]"), "placement: " + inBoth, "groups: [{name: g, target: 2s}]", nil, false},
	} {
		before, err := ParseControlPolicy("before", []byte(c.before), c.own)
		if err != nil {
			t.Fatal(err)
		}
		next, err := ParseControlPolicy("next", []byte(c.next), c.own)
		if err != nil {
			t.Fatal(err)
		}
		scopes, err := next.PurgeScopes("next", before, nil)
		var unfit *Unfit
		if errors.As(err, &unfit) != c.refused || c.refused &&
			!strings.Contains(err.Error(), "placement: is missing") {
			t.Errorf("%s: %v", c.name, err)
		}
		if !slices.EqualFunc(scopes, c.want, func(a, b fleet.Scope) bool {
			return a.Tenant == b.Tenant && slices.Equal(a.OutsideSites, b.OutsideSites)
		}) {
			t.Errorf("%s: %+v, want %+v", c.name, scopes, c.want)
		}
	}
	tables := mustParseControlPolicy(t, bare,
		"placement: [{name: a, team: x, tables: [3], engines: [linz], follows: true}]")
	scopes, err := tables.PurgeScopes("next", bare.BaseControlPolicy(),
		[]fleet.Binding{{Tenant: "x", Tables: []int64{7}, SourceTables: []int64{3}}})
	if err != nil || len(scopes) != 1 || !slices.Equal(scopes[0].Tables, []int64{3, 7}) {
		t.Errorf("tables that a load confined are not purged: %+v %v", scopes, err)
	}
}

func mustParseControlPolicy(t *testing.T, own *Setup, text string) *ControlPolicy {
	t.Helper()
	p, err := ParseControlPolicy("p.yaml", []byte(text), own)
	if err != nil {
		t.Fatal(err)
	}
	return p
}
