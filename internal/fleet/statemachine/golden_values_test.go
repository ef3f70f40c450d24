package statemachine

import "railrelay.dev/railrelay/internal/fleet"

// goldenState returns a state with every field set.
func goldenState() *State {
	return &State{
		Index:   101,
		Version: 102,
		Policy:  []byte("groups: []\n"),
		Members: map[string]*fleet.Member{
			"north-1": {Name: "north-1", DiskID: "disk-1", Site: "north", PeerAddress: "10.0.0.1:7000",
				ClientAddress: "10.0.0.1:6000"},
			"south-1": {Name: "south-1", DiskID: "disk-2", PeerAddress: "10.0.0.2:7000", Forgotten: true, ControlOnly: true},
		},
		Voters: []string{"north-1=10.0.0.1:7000"},
		Changes: map[string]*PolicyChange{
			"change-1": {ID: "change-1", RequestedBy: "operator@host", BaseVersion: 103, Version: 104, Policy: []byte("voters: []\n"), Phase: Fencing,
				Reason: "a reason", AbortAfterMs: 105, LogIndex: 106,
				OutsideScopes: []fleet.Scope{{Tenant: "team-a", Tables: []int64{1, -2}, RetainedBeforeMs: 107,
					OutsideSites: []string{"north"}}},
				Voters: []string{"south-1=10.0.0.2:7000"}, Settled: true},
			"change-2": {ID: "change-2"},
		},
		CurrentChange: "change-1",
		Purges: map[string]*Purge{
			"purge-1": {ID: "purge-1", RequestedBy: "team-a", Scope: fleet.Scope{Tenant: "team-a"}, LogIndex: 108,
				Stage:  fleet.EntryErased,
				Counts: fleet.InvalidationCounts{Results: 109, Answers: 110, Bytes: 111}, ParentID: "change-1"},
		},
		Bindings:    []fleet.Binding{{Tenant: "team-b", Tables: []int64{3, 4}, SourceTables: []int64{5}}},
		BindIDs:     map[string]bool{"bind-1": true},
		Emergencies: map[string]uint64{"rule-1": 112},
		ViewIndex:   113,
		EndedIDs:    []string{"change-0", "purge-0"},
	}
}

// goldenEntries returns entries of each kind, in an order in which each entry changes the state.
// The last entry has an unknown kind and every field set.
func goldenEntries() []fleet.Entry {
	scope := fleet.Scope{Tenant: "team-a", Tables: []int64{1, -2}, RetainedBeforeMs: 201,
		OutsideSites: []string{"north"}}
	counts := fleet.InvalidationCounts{Results: 202, Answers: 203, Bytes: 204}
	member := fleet.Member{Name: "north-1", DiskID: "disk-1", Site: "north", PeerAddress: "10.0.0.1:7000",
		ClientAddress: "10.0.0.1:6000", Forgotten: true,
		ControlOnly: true}
	return []fleet.Entry{
		{Kind: fleet.EntryJoin, Name: "north-1", Member: &member, RequestedAtMs: 205},
		{Kind: fleet.EntryForget, Name: "south-1", RequestedBy: "operator@host"},
		{Kind: fleet.EntryPropose, ID: "change-1", RequestedBy: "operator@host", BaseVersion: 1, Policy: []byte("groups: []\n"), AbortAfterMs: 206},
		{Kind: fleet.EntryFence, ID: "change-1", Voters: []string{"north-1=10.0.0.1:7000"}, Scopes: []fleet.Scope{scope}},
		{Kind: fleet.EntryCommit, ID: "change-1"},
		{Kind: fleet.EntryEnterForce, ID: "change-1"},
		{Kind: fleet.EntryFinishCleanup, ID: "change-1"},
		{Kind: fleet.EntryPropose, ID: "change-2", BaseVersion: 2, Policy: []byte("placement: []\n")},
		{Kind: fleet.EntryAbort, ID: "change-2", Reason: "north-1 refuses it"},
		{Kind: fleet.EntryInvalidate, ID: "purge-1", RequestedBy: "team-a", Scope: &scope},
		{Kind: fleet.EntryTombstone, ID: "purge-1"},
		{Kind: fleet.EntryErased, ID: "purge-1", Counts: &counts},
		{Kind: fleet.EntryBind, ID: "bind-1", Tenant: "team-b", Tables: []int64{3, 4}, SourceTables: []int64{5}},
		{Kind: fleet.EntryBeginEmergency, Name: "rule-1"},
		{Kind: fleet.EntryBeginEmergency, Name: "rule-2"},
		{Kind: fleet.EntryEndEmergency, Name: "rule-1", Scope: &scope},
		{Kind: "none", ID: "id", RequestedBy: "by", Name: "name", Member: &member, BaseVersion: 207,
			Policy: []byte("policy"), AbortAfterMs: 208, Reason: "why",
			Scope: &scope, Tenant: "team", Tables: []int64{209}, SourceTables: []int64{210}, Counts: &counts,
			RequestedAtMs: 211,
			Voters:        []string{"a=b"}, Scopes: []fleet.Scope{scope}},
	}
}
