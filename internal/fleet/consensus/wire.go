package consensus

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Number is a voter's number in messages. It is never 0.
func Number(name string) uint64 {
	n := xxhash.Sum64String(name)
	if n == 0 || n >= 1<<64-2 { // those the library keeps for itself
		return 1
	}
	return n
}

// Voted is of a hard state only what was voted for: for who begins to vote with an empty
// log, and must not vote twice in a term.
func Voted(hard []byte) []byte {
	if hard == nil {
		return nil
	}
	h := &pb.HardState{}
	if proto.Unmarshal(hard, h) != nil {
		return nil
	}
	h.Commit = new(uint64(0))
	return wire(h)
}

// numbered looks whether names can be told apart by their numbers.
func numbered(self string, voters []Voter) error {
	if self == "" {
		return &NameError{}
	}
	of := map[uint64]string{Number(self): self}
	seen := map[string]bool{}
	for _, v := range voters {
		if other, ok := of[Number(v.Name)]; v.Name == "" || ok && other != v.Name || seen[v.Name] {
			return &NameError{v.Name, other}
		}
		of[Number(v.Name)], seen[v.Name] = v.Name, true
	}
	return nil
}

// genesis is the log that all voters of a new fleet begin with, the same on each: one
// record a voter.
func genesis(voters []Voter) Kept {
	voters = sorted(voters)
	var k Kept
	for i, v := range voters {
		cc := &pb.ConfChangeV2{
			Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(Number(v.Name))}},
			Context: pack(voters),
		}
		k.Records = append(k.Records, Record{Index: uint64(i + 1), Term: 1, Conf: true, Data: wire(cc)})
	}
	k.Hard = wire(&pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(len(voters)))})
	return k
}

func isConf(e *pb.Entry) bool { return e.GetType() != pb.EntryNormal }

func snapshot(s *pb.Snapshot) *Snapshot {
	var p passed
	_ = cbor.Unmarshal(s.GetData(), &p)
	m := s.GetMetadata()
	return &Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Data: p.Data,
		Conf: pack(votersKept{wire(m.GetConfState()), p.Voters})}
}

func entries(rs []Record) []*pb.Entry {
	es := make([]*pb.Entry, len(rs))
	for i, r := range rs {
		kind := pb.EntryNormal
		if r.Conf {
			kind = pb.EntryConfChangeV2
		}
		es[i] = &pb.Entry{Index: new(r.Index), Term: new(r.Term), Type: kind.Enum(), Data: r.Data}
	}
	return es
}

func records(es []*pb.Entry) []Record {
	var rs []Record
	for _, e := range es {
		rs = append(rs, record(e))
	}
	return rs
}

func record(e *pb.Entry) Record {
	return Record{Index: e.GetIndex(), Term: e.GetTerm(), Conf: e.GetType() == pb.EntryConfChangeV2, Data: e.GetData()}
}

func sorted(vs []Voter) []Voter {
	vs = slices.Clone(vs)
	slices.SortFunc(vs, func(a, b Voter) int { return cmp.Compare(a.Name, b.Name) })
	return vs
}

// wire and pack encode what can always be encoded, the same way each time.
func wire(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func pack(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
