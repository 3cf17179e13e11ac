package node_test

import (
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/node"
)

// Guards against a node behind a partition that underestimates the number of nodes and sends a cold
// endpoint more than its share.
func TestPopulationCountsNodesThatAreNotLive(t *testing.T) {
	var p node.Population
	if got := node.PopulationCurrent(&p); got.Nodes != 0 {
		t.Errorf("%d nodes before any was recorded, want 0", got.Nodes)
	}
	now := 3 * time.Hour
	record := func(after time.Duration, nodes, want int, halfLive bool) {
		t.Helper()
		now += after
		node.PopulationRecord(&p, now, nodes)
		if got := node.PopulationCurrent(&p); got != (fleet.ClusterSize{Nodes: want, HalfLive: halfLive}) {
			t.Errorf("population %+v, want %d nodes, half live: %t", got, want, halfLive)
		}
	}
	record(0, 75, 75, true)
	record(time.Second, 1, 75, false)
	record(time.Second, 38, 75, true)
	record(8*time.Minute, 37, 75, false)
	record(time.Second, 88, 88, true)
	record(11*time.Minute, 7, 7, true)
	record(24*time.Hour, 3, 3, true)
	record(time.Second, 0, 3, false)
}

// Guards against a node behind a partition that takes over the other nodes' shares of a limit, and
// against names that are never forgotten.
func TestRosterKeepsNodesThatAreNotLive(t *testing.T) {
	var r node.Roster
	if node.RosterCurrent(&r) != nil {
		t.Error("roster is not nil before any node was recorded")
	}
	now := 3 * time.Hour
	record := func(after time.Duration, want int, live ...string) {
		t.Helper()
		now += after
		node.RosterRecord(&r, now, live)
		if got := node.RosterCurrent(&r).Names; len(got) != want {
			t.Errorf("roster has %d names, want %d: %v", len(got), want, got)
		}
	}
	record(0, 3, "a", "b", "c")
	before := node.RosterCurrent(&r)
	record(time.Minute, 3, "a")
	if node.RosterCurrent(&r) != before {
		t.Error("roster was replaced although its nodes have not changed")
	}
	record(time.Minute, 4, "a", "d")
	record(9*time.Minute, 2, "a", "d")
	record(11*time.Minute, 1, "a")
}
