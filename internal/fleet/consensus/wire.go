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
	n := xxhash.Sum64String(name)
	if n == 0 || n >= 1<<64-2 { // those the library keeps for itself
		return 1
	}
	return n
}

// WithoutCommitIndex is a hard state without its commit index: a controller that begins to vote with an
// empty log must still not vote twice in a term.
func WithoutCommitIndex(hard []byte) []byte {
	if hard == nil {
		return nil
	}
	h := &pb.HardState{}
	if proto.Unmarshal(hard, h) != nil {
		return nil
	}
	h.Commit = new(uint64(0))
	return encodeProto(h)
}

// checkVoterNames checks that voters have names, and that their numbers differ.
func checkVoterNames(self string, voters []Voter) error {
	if self == "" {
		return &VoterNameError{}
	}
	of := map[uint64]string{VoterID(self): self}
	seen := map[string]bool{}
	for _, v := range voters {
		if other, ok := of[VoterID(v.Name)]; v.Name == "" || ok && other != v.Name || seen[v.Name] {
			return &VoterNameError{v.Name, other}
		}
		of[VoterID(v.Name)], seen[v.Name] = v.Name, true
	}
	return nil
}

// initialState is the log that all voters of a new fleet begin with, the same on each: one
// entry a voter.
func initialState(voters []Voter) PersistentState {
	voters = sortedByName(voters)
	var k PersistentState
	for i, v := range voters {
		cc := &pb.ConfChangeV2{
			Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(VoterID(v.Name))}},
			Context: encodeCBOR(voters),
		}
		k.Entries = append(k.Entries, LogEntry{Index: uint64(i + 1), Term: 1, IsVoterChange: true, Data: encodeProto(cc)})
	}
	k.HardState = encodeProto(&pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(len(voters)))})
	return k
}

func isVoterChange(e *pb.Entry) bool { return e.GetType() != pb.EntryNormal }

func fromRaftSnapshot(s *pb.Snapshot) *Snapshot {
	var p snapshotPayload
	_ = cbor.Unmarshal(s.GetData(), &p)
	m := s.GetMetadata()
	return &Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Data: p.Data,
		VoterConfig: encodeCBOR(voterConfig{encodeProto(m.GetConfState()), p.Voters})}
}

func toRaftEntries(rs []LogEntry) []*pb.Entry {
	es := make([]*pb.Entry, len(rs))
	for i, r := range rs {
		kind := pb.EntryNormal
		if r.IsVoterChange {
			kind = pb.EntryConfChangeV2
		}
		es[i] = &pb.Entry{Index: new(r.Index), Term: new(r.Term), Type: kind.Enum(), Data: r.Data}
	}
	return es
}

func fromRaftEntries(es []*pb.Entry) []LogEntry {
	var rs []LogEntry
	for _, e := range es {
		rs = append(rs, fromRaftEntry(e))
	}
	return rs
}

func fromRaftEntry(e *pb.Entry) LogEntry {
	return LogEntry{Index: e.GetIndex(), Term: e.GetTerm(), IsVoterChange: e.GetType() == pb.EntryConfChangeV2, Data: e.GetData()}
}

func sortedByName(vs []Voter) []Voter {
	vs = slices.Clone(vs)
	slices.SortFunc(vs, func(a, b Voter) int { return cmp.Compare(a.Name, b.Name) })
	return vs
}

// encodeProto and encodeCBOR encode values that can always be encoded, the same way each time.
func encodeProto(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func encodeCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
