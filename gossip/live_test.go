package gossip_test

import (
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/gossip"
)

// Guards against sending callers to nearby nodes for long after these are gone, and against
// treating nodes as lost after only two lost datagrams.
func TestLiveTime(t *testing.T) {
	const bound = 7 * time.Second
	for _, members := range []int{1, 8, 24, 75, 100} {
		live, period := gossip.LiveTime(members)
		if live > bound {
			t.Errorf("group of %d nodes: a lost node counts as live for %v, which is too long", members, live)
		}
		if live < 3*period {
			t.Errorf("group of %d nodes: live time of %v is less than three periods of %v", members, live, period)
		}
	}
}
