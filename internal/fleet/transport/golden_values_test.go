package transport

import (
	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// goldenKeys are what golden frames, answers and asks are signed with.
var goldenKeys = Keys{[]byte("0123456789abcdef0123456789abcdef"), []byte("fedcba9876543210fedcba9876543210")}

var goldenRenew = node.LeaseRenewal{
	Member: fleet.Member{
		Name: "north-1", Disk: "disk-1", Site: "north", Peer: "10.0.0.1:7000", Clients: "10.0.0.1:6000", Forgotten: true, Control: true,
	},
	Boot:      11,
	Seq:       12,
	Sent:      13_000_000_001,
	Applied:   14,
	Votes:     true,
	Version:   15,
	Ready:     map[string]string{"change-1": "", "change-2": "no engine of kind large"},
	Closed:    "change-1",
	Unreached: []string{"purge-1", "purge-2"},
	Wiped:     map[string]fleet.Counts{"purge-1": {Results: 16, Answers: 17, Bytes: 18}},
	Sites:     []string{"north", "south"},
	Outside:   19,
}

var goldenAsk = fleet.Ask{
	Kind: "apply", ID: "ask-1", By: "operator@host", Base: 21, Policy: []byte("groups: []\n"), Name: "south-1",
	Scope: &fleet.Scope{Team: "team-a", Tables: []int64{1, -2}, Before: 22, Outside: []string{"north"}},
	Team:  "team-b", Tables: []int64{3, 4}, From: []int64{5}, AtMost: 23, Wait: 24, Until: "settled",
}

// goldenMessages is one message of each kind, by its kind, and one with all kinds.
func goldenMessages() map[string]*node.Message {
	grant := node.LeaseGrant{Seq: 31, Sent: 32, Boot: 33, Given: true, Index: 34, Leader: "north-2",
		Waits: map[string][]string{"change-1": {"south-1", "south-2"}}, Why: "its disk is forgotten"}
	follow := node.LogUpdate{
		Snapshot: &consensus.Snapshot{Index: 41, Term: 42, Conf: []byte("conf"), Data: []byte("state")},
		Records: []consensus.Record{
			{Index: 43, Term: 44, Conf: true, Data: []byte("voters")},
			{Index: 44, Term: 44, Data: []byte("entry")},
		},
		Decided: 45, Leader: "north-3",
	}
	gather := node.RelayedRenewals{Boot: 51, Seq: 52, Base: 53,
		Renews:  []node.RelayedRenewal{{Name: "north-1", Disk: "disk-1", Renew: &goldenRenew}},
		Silents: []node.SilentController{{Name: "south-3", Ago: 54}}}
	gathered := node.RelayedGrants{Boot: 61, Seq: 62, Given: true, Resync: true, Index: 63, Leader: "north-4",
		Withheld: []node.WithheldLease{{Name: "south-4", Why: "it is forgotten"}},
		Again:    []string{"south-5"}, Waits: map[string][]string{"purge-1": {"south-6"}}}
	lacks := node.LogRequest{From: 71}
	from := func(m node.Message) *node.Message {
		m.From, m.To, m.Disk = "north-1", "south-1", "disk-1"
		return &m
	}
	return map[string]*node.Message{
		"agree":    from(node.Message{Agree: []byte("vote")}),
		"renew":    from(node.Message{Renew: &goldenRenew}),
		"grant":    from(node.Message{Grant: &grant}),
		"follow":   from(node.Message{Follow: &follow}),
		"ask":      from(node.Message{Ask: &goldenAsk}),
		"lacks":    from(node.Message{Lacks: &lacks}),
		"gather":   from(node.Message{Gather: &gather}),
		"gathered": from(node.Message{Gathered: &gathered}),
		"all": from(node.Message{Agree: []byte("vote"), Renew: &goldenRenew, Grant: &grant, Follow: &follow, Ask: &goldenAsk,
			Lacks: &lacks, Gather: &gather, Gathered: &gathered}),
	}
}

// goldenFrame is a frame with one message.
func goldenFrame(m *node.Message) *frame {
	return &frame{Fleet: "fleet-1", From: m.From, To: m.To, Boot: 81, There: 82, Seq: 83, Messages: []cbor.RawMessage{encode(m)}}
}

var goldenAnswer = answer{Fleet: "fleet-1", From: "south-1", Status: 200, Boot: 91, Seq: 92, Frame: []byte("its mac")}

var goldenAsked = asked{Nonce: "00112233445566778899aabbccddeeff", Boot: 93, Status: 200, Body: []byte(`{"kind":"status"}`)}
