package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

var goldenVoters = []Voter{{"north-1", "10.0.0.1:7000"}, {"north-2", "10.0.0.2:7000"},
	{"south-1", "10.0.0.3:7000"}}

// goldenPersistentState returns a voter's disk content after a snapshot, with every field set.
func goldenPersistentState() PersistentState {
	conf := &pb.ConfState{}
	for _, voter := range goldenVoters {
		conf.Voters = append(conf.Voters, VoterID(voter.Name))
	}
	return PersistentState{
		HardState: encodeProto(&pb.HardState{Term: new(uint64(4)), Vote: new(VoterID("north-2")),
			Commit: new(uint64(13))}),
		Snapshot: &Snapshot{Index: 12, Term: 3, Data: []byte("state"),
			VoterConfig: encodeCBOR(voterConfig{State: encodeProto(conf), Voters: goldenVoters})},
		Entries: []LogEntry{
			{Index: 12, Term: 3, Data: []byte("twelve")},
			{Index: 13, Term: 4},
			{Index: 14, Term: 4, IsVoterChange: true,
				Data: encodeProto(&pb.ConfChangeV2{Context: encodeCBOR(goldenVoters[:2])})},
		},
	}
}

var goldenSnapshotPayload = snapshotPayload{Voters: goldenVoters, Data: []byte("state")}

// goldenValues returns a value of each encoded type, by file name.
func goldenValues() map[string]any {
	persistent, initial := goldenPersistentState(), initialState(goldenVoters)
	return map[string]any{
		"voters":   &goldenVoters,
		"passed":   &goldenSnapshotPayload,
		"snapshot": persistent.Snapshot,
		"records":  &persistent.Entries,
		"genesis":  &initial.Entries,
	}
}
