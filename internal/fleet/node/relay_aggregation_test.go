package node

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

func testRenewal(name string, incarnation, seq uint64) *LeaseRenewal {
	return &LeaseRenewal{Member: fleet.Member{Name: name, DiskID: "disk " + name, Site: "here",
		PeerAddress: name + ":1"}, Incarnation: incarnation, Seq: seq, SentAt: int64(seq)}
}

func namesIn(g *RelayedRenewals) (names []string) {
	for _, from := range g.Renewals {
		names = append(names, from.Name)
	}
	return names
}

func silentNamesIn(g *RelayedRenewals) (names []string) {
	for _, s := range g.Silent {
		names = append(names, s.Name)
	}
	return names
}

func (g *renewalAggregator) grantAll(seq uint64, withheld ...WithheldLease) []addressedGrant {
	return g.handleAnswer("l", &RelayedGrants{Incarnation: g.incarnation, Seq: seq, Granted: true,
		RequiredIndex: 7, Leader: "l", Withheld: withheld})
}

// aggregatorWithTwo returns an aggregator that covers a and b, with no unsent change.
func aggregatorWithTwo() *renewalAggregator {
	g := newRenewalAggregator(1)
	g.setLeader("l")
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 1))
	g.addRenewal(0, "b", "disk b", testRenewal("b", 1, 1))
	g.nextMessage(0)
	g.grantAll(1)
	return g
}

func TestAggregatorGrantsOnlyRequestsBeforeMessage(t *testing.T) {
	g := aggregatorWithTwo()
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 2))
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 3))
	g.nextMessage(0)
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 4))
	grants := g.grantAll(2)
	if len(grants) != 1 || grants[0].name != "a" || grants[0].grant.Seq != 3 || grants[0].grant.SentAt != 3 ||
		grants[0].grant.RequiredIndex != 7 {
		t.Fatalf("%+v", grants)
	}
	if again := g.grantAll(2); len(again) != 0 {
		t.Errorf("a duplicated answer grants %+v", again)
	}
	if early := g.grantAll(3); len(early) != 0 {
		t.Errorf("an answer to a message that wasn't sent grants %+v", early)
	}
	if other := g.handleAnswer("l", &RelayedGrants{Incarnation: 2, Seq: 2, Granted: true}); len(other) != 0 {
		t.Errorf("an answer to another incarnation grants %+v", other)
	}
}

func TestAggregatorGrantsNothingOfEarlierIncarnation(t *testing.T) {
	g := aggregatorWithTwo()
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 2))
	g.addRenewal(0, "a", "disk a", testRenewal("a", 2, 1))
	g.nextMessage(0)
	for _, to := range g.grantAll(2) {
		if to.grant.Incarnation != 2 || to.grant.Seq != 1 {
			t.Errorf("%+v", to.grant)
		}
	}
	g.addRenewal(0, "a", "disk a", testRenewal("a", 2, 2))
	g.nextMessage(0)
	g.addRenewal(0, "a", "disk a", testRenewal("a", 3, 1))
	if grants := g.grantAll(3); len(grants) != 0 {
		t.Errorf("an incarnation is granted the request of the previous one: %+v", grants[0].grant)
	}
	if late := g.addRenewal(0, "a", "disk a", testRenewal("a", 3, 1)); late != nil {
		t.Error("a duplicated renewal is accepted")
	}
}

func TestAggregatorSendsWhatLeaderLacks(t *testing.T) {
	g := aggregatorWithTwo()
	if names := namesIn(g.nextMessage(0)); len(names) != 0 {
		t.Errorf("unchanged renewals are sent again: %v", names)
	}
	changed := testRenewal("b", 1, 2)
	changed.PolicyVersion = 3
	g.addRenewal(0, "b", "disk b", changed)
	if next := g.nextMessage(0); !slices.Equal(namesIn(next), []string{"b"}) || next.BaseSeq != 2 {
		t.Errorf("sent %v with base %d", namesIn(next), next.BaseSeq)
	}
	if next := g.nextMessage(0); len(namesIn(next)) != 0 || next.BaseSeq != 3 {
		t.Errorf("sent again: %v with base %d", namesIn(next), next.BaseSeq)
	}
	g.setLeader("m")
	if next := g.nextMessage(0); !slices.Equal(namesIn(next), []string{"a", "b"}) || next.BaseSeq != 0 {
		t.Errorf("another leader is sent %v with base %d", namesIn(next), next.BaseSeq)
	}
}

func TestAggregatorReportsSilentControllers(t *testing.T) {
	g := aggregatorWithTwo()
	g.addRenewal(time.Second, "b", "disk b", testRenewal("b", 1, 2))
	g.expire(time.Second, 500*time.Millisecond)
	next := g.nextMessage(1500 * time.Millisecond)
	if !slices.Equal(silentNamesIn(next), []string{"a"}) ||
		next.Silent[0].SilentFor != int64(1500*time.Millisecond) {
		t.Fatalf("%+v", next.Silent)
	}
	if grants := g.grantAll(2); len(grants) != 1 || grants[0].name != "b" {
		t.Errorf("a silent controller is granted a lease: %+v", grants)
	}
	if next := g.nextMessage(2 * time.Second); len(next.Silent) != 0 {
		t.Errorf("the silent controller is reported again: %+v", next.Silent)
	}
}

// A message names the previous one as its base, so a leader notices a lost message. The full
// message that follows leaves out controllers that became silent in the meantime.
func TestAggregatorMessageLostIsNoticed(t *testing.T) {
	g := newRenewalAggregator(1)
	g.setLeader("l")
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 1))
	if lost := g.nextMessage(0); lost.BaseSeq != 0 || !slices.Equal(namesIn(lost), []string{"a"}) {
		t.Fatalf("%+v", lost)
	}
	g.addRenewal(time.Second, "b", "disk b", testRenewal("b", 1, 1))
	g.expire(time.Second, 500*time.Millisecond)
	if next := g.nextMessage(time.Second); next.BaseSeq != 1 ||
		!slices.Equal(silentNamesIn(next), []string{"a"}) || !slices.Equal(namesIn(next), []string{"b"}) {
		t.Errorf("%+v", next)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true})
	if all := g.nextMessage(time.Second); all.BaseSeq != 0 || !slices.Equal(namesIn(all), []string{"b"}) ||
		len(all.Silent) != 0 {
		t.Errorf("%+v", all)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true})
	if next := g.nextMessage(time.Second); next.BaseSeq != 3 {
		t.Errorf("an answer from before the full message makes the next one full too: %+v", next)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 4, Resync: true})
	if all := g.nextMessage(time.Second); all.BaseSeq != 0 {
		t.Errorf("the lost full message isn't sent again: %+v", all)
	}
}

func TestAggregatorResendsWithheldOrRefuses(t *testing.T) {
	g := aggregatorWithTwo()
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 2))
	g.addRenewal(0, "b", "disk b", testRenewal("b", 1, 2))
	g.nextMessage(0)
	grants := g.grantAll(2, WithheldLease{Name: "a"}, WithheldLease{Name: "b", RefusedReason: "forgotten"})
	if len(grants) != 2 || grants[0].grant.Granted || grants[0].grant.RefusedReason != "" ||
		grants[1].grant.Granted || grants[1].grant.RefusedReason != "forgotten" {
		t.Fatalf("%+v %+v", grants[0].grant, grants[1].grant)
	}
	if next := g.nextMessage(0); !slices.Equal(namesIn(next), []string{"a"}) {
		t.Errorf("sent again: %v, want only a", namesIn(next))
	}
}

func TestAggregatorAnswersThatAskForMore(t *testing.T) {
	g := aggregatorWithTwo()
	g.addRenewal(0, "a", "disk a", testRenewal("a", 1, 2))
	g.nextMessage(0)
	if grants := g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true}); len(grants) != 0 {
		t.Errorf("%+v", grants)
	}
	if next := g.nextMessage(0); next.BaseSeq != 0 || !slices.Equal(namesIn(next), []string{"a", "b"}) {
		t.Errorf("sent %v with base %d", namesIn(next), next.BaseSeq)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 3, Granted: true, Resend: []string{"b"}})
	if next := g.nextMessage(0); !slices.Equal(namesIn(next), []string{"b"}) {
		t.Errorf("sent %v, want only b", namesIn(next))
	}
}
