package node_test

import (
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/node"
)

// Guards against a node that, behind a cut, takes the others for fewer than they are and sends
// a cold endpoint more than its part.
func TestPopulationRemembersNodesThatAreNotHeard(t *testing.T) {
	var p node.Population
	if got := node.PopulationCount(&p); got != 0 {
		t.Errorf("%d nodes before any was heard", got)
	}
	now := 3 * time.Hour
	see := func(after time.Duration, nodes, want int) {
		t.Helper()
		now += after
		node.PopulationSee(&p, now, nodes)
		if got := node.PopulationCount(&p); got != want {
			t.Errorf("%d nodes, want %d", got, want)
		}
	}
	see(0, 75, 75)
	see(time.Second, 1, 75)
	see(8*time.Minute, 2, 75)
	see(time.Second, 88, 88)
	see(11*time.Minute, 7, 7)
	see(24*time.Hour, 3, 3)
	see(time.Second, 0, 3)
}
