package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

var start = time.Unix(1_700_000_000, 0)

func member(id string, incarnation uint64, state peerv1.MemberState) *peerv1.Member {
	return &peerv1.Member{Id: id, ControllerAddress: "10.0.0.1:1", Incarnation: incarnation, State: state}
}

func newTable() *Table {
	return New(member("self", 10, peerv1.MemberState_MEMBER_STATE_ALIVE), time.Second, 1)
}

// Updates reach members by different paths and in different orders. If the result depended on the
// order, members would keep different views permanently.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *peerv1.Member {
			return member(fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "id")), rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
				peerv1.MemberState(rapid.IntRange(1, 4).Draw(t, "state")))
		}), 1, 20).Draw(t, "updates")
		order := rapid.Permutation(updates).Draw(t, "order")
		a, b := newTable(), newTable()
		for i := range 3 {
			first := member(fmt.Sprint("m", i), 0, peerv1.MemberState_MEMBER_STATE_ALIVE)
			a.Apply(first, start)
			b.Apply(first, start)
		}
		for i := range updates {
			a.Apply(updates[i], start)
			b.Apply(order[i], start)
		}
		for i := range 3 {
			id := fmt.Sprint("m", i)
			ra, rb := a.Record(id), b.Record(id)
			if ra.Incarnation != rb.Incarnation || ra.State != rb.State {
				t.Fatalf("views of %s differ: %v and %v", id, ra, rb)
			}
		}
	})
}

// Guards against a wrong record of a live member that the member cannot supersede, whether it was
// spread by mistake or by malice.
func TestMemberCanAlwaysRefute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		for range rapid.IntRange(1, 10).Draw(t, "records") {
			incarnation := rapid.OneOf(rapid.Uint64Range(0, 30), rapid.Just(uint64(math.MaxUint64)), rapid.Uint64()).Draw(t, "incarnation")
			claim := member("self", incarnation, peerv1.MemberState(rapid.IntRange(0, 6).Draw(t, "state")))
			table.Apply(claim, start)
			// Members reject invalid records, so they need no refutation.
			if isValid(claim) && Supersedes(claim, table.Self()) {
				t.Fatalf("%v is not refuted by %v", claim, table.Self())
			}
		}
	})
}

// A leaving member is slow to answer. If its suspicion were published, the refutation would bring
// it back into the addresses that callers receive.
func TestSuspicionDoesNotEndLeaving(t *testing.T) {
	table := newTable()
	table.Apply(member("m", 1, peerv1.MemberState_MEMBER_STATE_LEAVING), start)
	table.Suspect("m", start)
	if got := table.Record("m").State; got != peerv1.MemberState_MEMBER_STATE_LEAVING {
		t.Fatalf("state is %v", got)
	}
	table.Tick(start.Add(table.SuspicionTimeout() + time.Second))
	if got := table.Record("m").State; got != peerv1.MemberState_MEMBER_STATE_DEAD {
		t.Fatalf("state is %v after the timeout", got)
	}
}

// With hundreds of members each has only a few neighbours. If these did not connect all members, an
// update would never reach some of them.
func TestNeighboursConnectAllMembers(t *testing.T) {
	const count = 410
	tables := make(map[string]*Table, count)
	for i := range count {
		id := fmt.Sprintf("vm-%d", i)
		tables[id] = New(member(id, 1, peerv1.MemberState_MEMBER_STATE_ALIVE), time.Second, uint64(i))
		for j := range count {
			if j != i {
				tables[id].Apply(member(fmt.Sprintf("vm-%d", j), 1, peerv1.MemberState_MEMBER_STATE_ALIVE), start)
			}
		}
	}
	reached, frontier, hops := map[string]bool{"vm-0": true}, []string{"vm-0"}, 0
	for len(frontier) > 0 {
		var next []string
		for _, id := range frontier {
			neighbours := tables[id].Neighbours()
			if len(neighbours) != neighbourCount {
				t.Fatalf("%s has %d neighbours", id, len(neighbours))
			}
			for _, n := range neighbours {
				if !reached[n.Id] {
					reached[n.Id] = true
					next = append(next, n.Id)
				}
			}
		}
		frontier = next
		hops++
	}
	if len(reached) != count || hops > 6 {
		t.Fatalf("%d of %d members reached in %d hops", len(reached), count, hops)
	}
}
