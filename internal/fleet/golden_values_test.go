package fleet

// goldenRequest has every field set.
var goldenRequest = Request{
	Kind: "apply", ID: "ask-1", RequestedBy: "operator@host", BaseVersion: 1, Policy: []byte("groups: []\n"), Name: "south-1",
	Scope: &Scope{Tenant: "team-a", Tables: []int64{1, -2}, RetainedBeforeMs: 2,
		OutsideSites: []string{"north"}},
	Tenant: "team-b", Tables: []int64{3, 4}, SourceTables: []int64{5}, AbortAfterMs: 6, WaitMs: 7,
	AwaitedStage: "settled",
}

// goldenResponse has every field set, including those of nested values.
var goldenResponse = Response{
	ID: "ask-1", Outcome: "in force", Reason: "a <reason> & more", Remedy: "a remedy", Version: 11, Stage: "decided",
	Counts:      &InvalidationCounts{Results: 12, Answers: 13, Bytes: 14},
	Outstanding: []string{"south-1", "south-2"},
	Status: &Status{
		Name: "north-1", Leader: "north-2", Index: 15, Version: 16, Serves: true, LeaseRemainingMs: -1,
		Change: &Response{ID: "change-1", Outcome: "unknown", Stage: "closing", Outstanding: []string{"south-1"}},
		Members: []MemberStatus{
			{Member: Member{Name: "north-1", DiskID: "disk-1", Site: "north", PeerAddress: "10.0.0.1:7000", ClientAddress: "10.0.0.1:6000",
				Forgotten: true, ControlOnly: true}, IsVoter: true, Lease: LeaseStatusPossible, AppliedIndex: 17},
			{Member: Member{Name: "south-1", DiskID: "disk-2", PeerAddress: "10.0.0.2:7000"},
				Lease: LeaseStatusNone},
			{Member: Member{Name: "south-2", DiskID: "disk-3", PeerAddress: "10.0.0.3:7000"},
				Lease: LeaseStatusUnknown},
		},
		Purges:      []Response{{ID: "purge-1", Outcome: "purged", Counts: &InvalidationCounts{Results: 18}}},
		Emergencies: []string{"rule-1"},
		Bindings:    []Binding{{Tenant: "team-b", Tables: []int64{3, 4}, SourceTables: []int64{5}}},
		Counts:      map[string]int{"asks": 19, "refused_replay": 20},
	},
	Policy: []byte("voters: []\n"),
}

// goldenEmptyResponse shows which fields are encoded although they have no value.
var goldenEmptyResponse = Response{Status: &Status{Change: &Response{Counts: &InvalidationCounts{}}, Members: []MemberStatus{{}}, Bindings: []Binding{{}}}}
