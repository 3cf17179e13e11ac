package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/pace"
)

// Guards against turns that are more or less frequent than the rate, or never come.
func TestTurnsOfAllNodesAddUpToTheRate(t *testing.T) {
	const nodes, perSecond, length = 40, 8.0, 100 * time.Second
	turns := 0
	for i := range nodes {
		name := fmt.Sprintf("10.0.0.%d", i)
		for now := time.Hour; now < time.Hour+length; {
			began, next := pace.Turn(name, 7, nodes, perSecond, now)
			if began > now || next <= now {
				t.Fatalf("at %v: the latest turn began at %v and the next one begins at %v", now, began, next)
			}
			turns++
			now = next
		}
	}
	// Each node may have one more turn within the interval.
	want := int(perSecond * length.Seconds())
	if turns < want || turns > want+nodes {
		t.Errorf("%d turns in %v, want %d to %d", turns, length, want, want+nodes)
	}
}

// Guards against nodes with similar names that have their turns at the same time.
func TestTurnsAreSpread(t *testing.T) {
	const nodes, perSecond = 40, 8.0
	begins := make(map[time.Duration]int)
	for i := range nodes {
		began, _ := pace.Turn(fmt.Sprintf("10.0.0.%d", i), 7, nodes, perSecond, time.Hour)
		begins[began.Truncate(time.Second)]++
	}
	for second, n := range begins {
		if n > 2*int(perSecond) {
			t.Errorf("%d of %d nodes have their turn at %v", n, nodes, second)
		}
	}
}
