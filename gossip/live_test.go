package gossip_test

import (
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/gossip"
)

// Guards against callers who are told for long of nodes nearby that are gone, and against
// nodes that are lost for two datagrams.
func TestLiveTime(t *testing.T) {
	const bound = 7 * time.Second
	for _, members := range []int{1, 8, 24, 75, 100} {
		live, period := gossip.LiveTime(members)
		if live > bound {
			t.Errorf("%d nodes: gone ones count as live for %v", members, live)
		}
		if live < 3*period {
			t.Errorf("%d nodes: %v for datagrams each %v", members, live, period)
		}
	}
}
