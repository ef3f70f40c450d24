package statemachine

import "railrelay.dev/railrelay/internal/fleet"

// goldenState has every field set.
func goldenState() *State {
	return &State{
		Index:   101,
		Version: 102,
		Policy:  []byte("groups: []\n"),
		Members: map[string]*fleet.Member{
			"north-1": {Name: "north-1", Disk: "disk-1", Site: "north", Peer: "10.0.0.1:7000", Clients: "10.0.0.1:6000"},
			"south-1": {Name: "south-1", Disk: "disk-2", Peer: "10.0.0.2:7000", Forgotten: true, Control: true},
		},
		Voters: []string{"north-1=10.0.0.1:7000"},
		Changes: map[string]*PolicyChange{
			"change-1": {ID: "change-1", RequestedBy: "operator@host", BaseVersion: 103, Version: 104, Policy: []byte("voters: []\n"), Phase: Closing,
				Reason: "a reason", TimeoutMillis: 105, LogIndex: 106,
				OutsideScopes: []fleet.Scope{{Team: "team-a", Tables: []int64{1, -2}, Before: 107, Outside: []string{"north"}}},
				Voters:        []string{"south-1=10.0.0.2:7000"}, Settled: true},
			"change-2": {ID: "change-2"},
		},
		CurrentChange: "change-1",
		Purges: map[string]*PurgeRun{
			"purge-1": {ID: "purge-1", RequestedBy: "team-a", Scope: fleet.Scope{Team: "team-a"}, LogIndex: 108, Stage: fleet.Erased,
				Counts: fleet.Counts{Results: 109, Answers: 110, Bytes: 111}, PartOf: "change-1"},
		},
		Bindings:    []fleet.Binding{{Team: "team-b", Tables: []int64{3, 4}, From: []int64{5}}},
		BindIDs:     map[string]bool{"bind-1": true},
		Emergencies: map[string]uint64{"rule-1": 112},
		ViewIndex:   113,
		EndedIDs:    []string{"change-0", "purge-0"},
	}
}

// goldenEntries are entries of each kind, in an order in which each changes the state, and
// at last one of no kind with every field set.
func goldenEntries() []fleet.Entry {
	scope := fleet.Scope{Team: "team-a", Tables: []int64{1, -2}, Before: 201, Outside: []string{"north"}}
	counts := fleet.Counts{Results: 202, Answers: 203, Bytes: 204}
	member := fleet.Member{Name: "north-1", Disk: "disk-1", Site: "north", Peer: "10.0.0.1:7000", Clients: "10.0.0.1:6000", Forgotten: true,
		Control: true}
	return []fleet.Entry{
		{Kind: fleet.Join, Name: "north-1", Member: &member, Wall: 205},
		{Kind: fleet.Forget, Name: "south-1", By: "operator@host"},
		{Kind: fleet.Propose, ID: "change-1", By: "operator@host", Base: 1, Policy: []byte("groups: []\n"), AtMost: 206},
		{Kind: fleet.Close, ID: "change-1", Voters: []string{"north-1=10.0.0.1:7000"}, Scopes: []fleet.Scope{scope}},
		{Kind: fleet.Force, ID: "change-1"},
		{Kind: fleet.Settle, ID: "change-1"},
		{Kind: fleet.Finish, ID: "change-1"},
		{Kind: fleet.Propose, ID: "change-2", Base: 2, Policy: []byte("placement: []\n")},
		{Kind: fleet.Withdraw, ID: "change-2", Why: "north-1 refuses it"},
		{Kind: fleet.Purge, ID: "purge-1", By: "team-a", Scope: &scope},
		{Kind: fleet.Unreachable, ID: "purge-1"},
		{Kind: fleet.Erased, ID: "purge-1", Counts: &counts},
		{Kind: fleet.Bind, ID: "bind-1", Team: "team-b", Tables: []int64{3, 4}, From: []int64{5}},
		{Kind: fleet.Emergency, Name: "rule-1"},
		{Kind: fleet.Emergency, Name: "rule-2"},
		{Kind: fleet.Calm, Name: "rule-1", Scope: &scope},
		{Kind: "none", ID: "id", By: "by", Name: "name", Member: &member, Base: 207, Policy: []byte("policy"), AtMost: 208, Why: "why",
			Scope: &scope, Team: "team", Tables: []int64{209}, From: []int64{210}, Counts: &counts, Wall: 211,
			Voters: []string{"a=b"}, Scopes: []fleet.Scope{scope}},
	}
}
