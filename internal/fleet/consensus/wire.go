package consensus

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterID returns the ID of a voter in raft messages, which is never 0.
func VoterID(name string) uint64 {
	id := xxhash.Sum64String(name)
	if id == 0 || id >= 1<<64-2 { // the library reserves these IDs
		return 1
	}
	return id
}

// WithoutCommitIndex returns an encoded hard state with only its term and vote, nil if there is none
// or it can't be decoded. A controller that becomes a voter with an empty log has no committed entries,
// but it must not vote twice in a term.
func WithoutCommitIndex(hardState []byte) []byte {
	if hardState == nil {
		return nil
	}
	state := &pb.HardState{}
	if proto.Unmarshal(hardState, state) != nil {
		return nil
	}
	state.Commit = new(uint64(0))
	return encodeProto(state)
}

// checkVoterNames checks that self and the voters have names, that no voter is listed twice, and that
// their IDs differ.
func checkVoterNames(self string, voters []Voter) error {
	if self == "" {
		return &VoterNameError{}
	}
	nameByID := map[uint64]string{VoterID(self): self}
	seen := map[string]bool{}
	for _, v := range voters {
		if other, ok := nameByID[VoterID(v.Name)]; v.Name == "" || ok && other != v.Name || seen[v.Name] {
			return &VoterNameError{v.Name, other}
		}
		nameByID[VoterID(v.Name)], seen[v.Name] = v.Name, true
	}
	return nil
}

// initialState returns the log with which each voter of a new fleet starts. The log has one entry per
// voter and is the same on all of them.
func initialState(voters []Voter) PersistentState {
	voters = sortedByName(voters)
	var state PersistentState
	for i, v := range voters {
		change := &pb.ConfChangeV2{
			Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(VoterID(v.Name))}},
			Context: encodeCBOR(voters),
		}
		state.Entries = append(state.Entries, LogEntry{Index: uint64(i + 1), Term: 1, IsVoterChange: true,
			Data: encodeProto(change)})
	}
	state.HardState = encodeProto(&pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)),
		Commit: new(uint64(len(voters)))})
	return state
}

func isVoterChange(e *pb.Entry) bool { return e.GetType() != pb.EntryNormal }

// fromRaftSnapshot converts a snapshot of the library. It splits the payload into the state and the
// voters, and packs the voters with the library's ConfState into VoterConfig. The payload can always be
// decoded: this package encoded it, or isValid checked it on receipt.
func fromRaftSnapshot(snapshot *pb.Snapshot) *Snapshot {
	var payload snapshotPayload
	_ = cbor.Unmarshal(snapshot.GetData(), &payload)
	metadata := snapshot.GetMetadata()
	return &Snapshot{Index: metadata.GetIndex(), Term: metadata.GetTerm(), Data: payload.Data,
		VoterConfig: encodeCBOR(voterConfig{encodeProto(metadata.GetConfState()), payload.Voters})}
}

func toRaftEntries(entries []LogEntry) []*pb.Entry {
	raftEntries := make([]*pb.Entry, len(entries))
	for i, entry := range entries {
		kind := pb.EntryNormal
		if entry.IsVoterChange {
			kind = pb.EntryConfChangeV2
		}
		raftEntries[i] = &pb.Entry{Index: new(entry.Index), Term: new(entry.Term), Type: kind.Enum(),
			Data: entry.Data}
	}
	return raftEntries
}

func fromRaftEntries(raftEntries []*pb.Entry) []LogEntry {
	var entries []LogEntry
	for _, entry := range raftEntries {
		entries = append(entries, fromRaftEntry(entry))
	}
	return entries
}

func fromRaftEntry(entry *pb.Entry) LogEntry {
	return LogEntry{Index: entry.GetIndex(), Term: entry.GetTerm(),
		IsVoterChange: entry.GetType() == pb.EntryConfChangeV2, Data: entry.GetData()}
}

func sortedByName(voters []Voter) []Voter {
	voters = slices.Clone(voters)
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.Name, b.Name) })
	return voters
}

// encodeProto encodes a message deterministically. The messages of this package can always be encoded.
func encodeProto(m proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return encoded
}

// encodeCBOR encodes a value. The types of this package contain no maps, so the encoding is deterministic,
// and they can always be encoded.
func encodeCBOR(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}
