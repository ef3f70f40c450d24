package transport

import (
	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// goldenKeys sign the golden frames, responses and requests.
var goldenKeys = Keys{[]byte("0123456789abcdef0123456789abcdef"), []byte("fedcba9876543210fedcba9876543210")}

var goldenRenew = node.LeaseRenewal{
	Member: fleet.Member{
		Name: "north-1", DiskID: "disk-1", Site: "north", PeerAddress: "10.0.0.1:7000", ClientAddress: "10.0.0.1:6000", Forgotten: true, ControlOnly: true,
	},
	Incarnation:       11,
	Seq:               12,
	SentAt:            13_000_000_001,
	AppliedIndex:      14,
	Votes:             true,
	PolicyVersion:     15,
	ValidationResults: map[string]string{"change-1": "", "change-2": "no engine of kind large"},
	FencedFor:         "change-1",
	Tombstoned:        []string{"purge-1", "purge-2"},
	Erased:            map[string]fleet.InvalidationCounts{"purge-1": {Results: 16, Answers: 17, Bytes: 18}},
	ServingSites:      []string{"north", "south"},
	AttemptsOutside:   19,
}

var goldenAsk = fleet.Request{
	Kind: "apply", ID: "ask-1", RequestedBy: "operator@host", BaseVersion: 21, Policy: []byte("groups: []\n"), Name: "south-1",
	Scope: &fleet.Scope{Tenant: "team-a", Tables: []int64{1, -2}, RetainedBeforeMs: 22,
		OutsideSites: []string{"north"}},
	Tenant: "team-b", Tables: []int64{3, 4}, SourceTables: []int64{5}, AbortAfterMs: 23, WaitMs: 24,
	AwaitedStage: "settled",
}

// goldenMessages returns one message of each kind, by the name of the kind, and "all" with every kind.
func goldenMessages() map[string]*node.Message {
	grant := node.LeaseGrant{Seq: 31, SentAt: 32, Incarnation: 33, Granted: true, RequiredIndex: 34, Leader: "north-2",
		WaitingFor: map[string][]string{"change-1": {"south-1", "south-2"}}, RefusedReason: "its disk is forgotten"}
	follow := node.LogUpdate{
		Snapshot: &consensus.Snapshot{Index: 41, Term: 42, VoterConfig: []byte("conf"), Data: []byte("state")},
		Entries: []consensus.LogEntry{
			{Index: 43, Term: 44, IsVoterChange: true, Data: []byte("voters")},
			{Index: 44, Term: 44, Data: []byte("entry")},
		},
		CommittedIndex: 45, Leader: "north-3",
	}
	gather := node.RelayedRenewals{Incarnation: 51, Seq: 52, BaseSeq: 53,
		Renewals: []node.RelayedRenewal{{Name: "north-1", DiskID: "disk-1", Renewal: &goldenRenew}},
		Silent:   []node.SilentController{{Name: "south-3", SilentFor: 54}}}
	gathered := node.RelayedGrants{Incarnation: 61, Seq: 62, Granted: true, Resync: true, RequiredIndex: 63, Leader: "north-4",
		Withheld: []node.WithheldLease{{Name: "south-4", RefusedReason: "it is forgotten"}},
		Resend:   []string{"south-5"}, WaitingFor: map[string][]string{"purge-1": {"south-6"}}}
	lacks := node.LogRequest{FromIndex: 71}
	from := func(m node.Message) *node.Message {
		m.From, m.To, m.DiskID = "north-1", "south-1", "disk-1"
		return &m
	}
	return map[string]*node.Message{
		"agree":    from(node.Message{Consensus: []byte("vote")}),
		"renew":    from(node.Message{Renewal: &goldenRenew}),
		"grant":    from(node.Message{Grant: &grant}),
		"follow":   from(node.Message{LogUpdate: &follow}),
		"ask":      from(node.Message{Request: &goldenAsk}),
		"lacks":    from(node.Message{LogRequest: &lacks}),
		"gather":   from(node.Message{RelayedRenewals: &gather}),
		"gathered": from(node.Message{RelayedGrants: &gathered}),
		"all": from(node.Message{Consensus: []byte("vote"), Renewal: &goldenRenew, Grant: &grant, LogUpdate: &follow, Request: &goldenAsk,
			LogRequest: &lacks, RelayedRenewals: &gather, RelayedGrants: &gathered}),
	}
}

// goldenFrame returns a frame that holds one message.
func goldenFrame(m *node.Message) *frame {
	return &frame{Fleet: "fleet-1", From: m.From, To: m.To, SenderIncarnation: 81, ReceiverIncarnation: 82, Seq: 83, Messages: []cbor.RawMessage{encode(m)}}
}

var goldenFrameResponse = frameResponse{Fleet: "fleet-1", From: "south-1", Status: 200, Incarnation: 91, Seq: 92, Frame: []byte("its mac")}

var goldenSignedMessage = signedMessage{Nonce: "00112233445566778899aabbccddeeff", Challenge: 93, Status: 200, Body: []byte(`{"kind":"status"}`)}
