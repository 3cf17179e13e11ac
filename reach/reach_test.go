package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/reach"
)

// clock is a fake clock with a tracker.
type clock struct {
	*reach.Tracker
	now       time.Duration
	nodes     int
	changes   []reach.Change
	suspicion int
}

func newClock() *clock {
	c := &clock{now: time.Hour, nodes: 3}
	c.Tracker = reach.NewTracker(func() time.Duration { return c.now }, func() int { return c.nodes }, func() float64 { return 1 })
	c.OnChange = func(change reach.Change) { c.changes = append(c.changes, change) }
	c.OnSuspicion = func() { c.suspicion++ }
	return c
}

// fail records failures of the given number of endpoints, out of ten.
func (c *clock) fail(kind reach.Failure, endpoints int) {
	for i := range endpoints {
		c.RecordFailure("app", fmt.Sprint(i), kind, 10)
	}
}

// round plays the next round of four probes, of which some are answered. It returns false if none is
// due within a second.
func (c *clock) round(answered int) bool {
	for end := c.now + time.Second; c.now <= end; c.now += 10 * time.Millisecond {
		if len(c.DueRounds()) > 0 {
			c.RecordRound("app", 4, answered)
			return true
		}
	}
	return false
}

func (c *clock) expect(t *testing.T, want reach.Verdict) {
	t.Helper()
	if got := c.Verdict("app"); got != want {
		t.Errorf("verdict %v, want %v", got, want)
	}
}

// Guards against a node that takes its own cut for the failure of single endpoints.
func TestEndpointsAreLostAfterTwoRoundsWithoutAnAnswer(t *testing.T) {
	c := newClock()
	c.RecordAnswer("app", true)
	c.expect(t, reach.Reached)
	c.fail(reach.Unconnected, 2)
	start := c.now
	c.round(0)
	c.expect(t, reach.Reached)
	c.round(0)
	c.expect(t, reach.Lost)
	if took := c.now - start; took > 200*time.Millisecond {
		t.Errorf("lost %v after the suspicion, want 200ms at most", took)
	}
	if len(c.changes) != 1 || !c.changes[0].Lost || c.changes[0].Probed != 8 {
		t.Errorf("changes %+v, want one loss after 8 probes", c.changes)
	}
}

// Guards against endpoints that are given up for the failure of one of them, for a short silence, or
// while some of them can be reached.
func TestEndpointsAreNotLost(t *testing.T) {
	cases := map[string]func(*clock){
		"one endpoint fails":  func(c *clock) { c.fail(reach.Unconnected, 1); c.round(0); c.round(0) },
		"one answers a probe": func(c *clock) { c.fail(reach.Unconnected, 5); c.round(0); c.round(1); c.round(0) },
		"failures far apart": func(c *clock) {
			c.fail(reach.Unconnected, 1)
			c.now += 3 * time.Second
			c.RecordFailure("app", "7", reach.Unconnected, 10)
			c.round(0)
		},
		"a silence that ends": func(c *clock) { c.fail(reach.Silent, 3); c.RecordAnswer("app", false); c.round(0); c.round(0) },
		"a new connection":    func(c *clock) { c.fail(reach.Unconnected, 3); c.RecordAnswer("app", true); c.round(0); c.round(0) },
		"nothing to probe": func(c *clock) {
			c.fail(reach.Unconnected, 3)
			for range 3 {
				c.now += time.Second
				c.DueRounds()
				c.RecordRound("app", 0, 0)
			}
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClock()
			play(c)
			if c.Verdict("app") == reach.Lost {
				t.Error("endpoints count as lost")
			}
		})
	}
}

// Guards against a cut that is overlooked because connections from before it still work.
func TestAnswersOnOpenConnectionsDoNotRefuteFailuresToConnect(t *testing.T) {
	c := newClock()
	c.fail(reach.Unconnected, 2)
	c.RecordAnswer("app", false)
	c.round(0)
	c.RecordAnswer("app", false)
	c.round(0)
	c.expect(t, reach.Lost)
	c.RecordAnswer("app", false)
	c.expect(t, reach.Lost)
}

// Guards against a node that stays with the detour after a cut, or leaves it because a single endpoint
// answers.
func TestEndpointsAreRestoredByProbes(t *testing.T) {
	c := newClock()
	c.fail(reach.Unconnected, 2)
	c.round(0)
	c.round(0)
	c.round(1)
	c.expect(t, reach.Lost)
	healed := c.now
	c.round(2)
	c.expect(t, reach.Reached)
	if took := c.now - healed; took > 400*time.Millisecond {
		t.Errorf("restored after %v, want 400ms at most", took)
	}
	if last := c.changes[len(c.changes)-1]; last.Lost || last.Duration <= 0 {
		t.Errorf("last change %+v, want a restoration with its duration", last)
	}
}

// Guards against probes without end while single endpoints keep failing.
func TestRoundsThatFindEndpointsWithinReachAreRare(t *testing.T) {
	c := newClock()
	rounds := 0
	for end := c.now + 10*time.Second; c.now < end; c.now += 20 * time.Millisecond {
		c.fail(reach.Unconnected, 2)
		for range c.DueRounds() {
			rounds++
			c.RecordRound("app", 4, 2)
		}
	}
	if rounds > 11 {
		t.Errorf("%d rounds in 10 s, want 11 at most", rounds)
	}
}

// Guards against a service with one endpoint whose loss is never noticed.
func TestSingleEndpointCanBeLost(t *testing.T) {
	c := newClock()
	c.RecordFailure("app", "only", reach.Unconnected, 1)
	for range 2 {
		c.now += time.Second
		c.DueRounds()
		c.RecordRound("app", 1, 0)
	}
	c.expect(t, reach.Lost)
}

// Guards against endpoints that are probed by hundreds of nodes at a high rate while they start again.
func TestManyNodesProbeLostEndpointsRarely(t *testing.T) {
	c := newClock()
	c.nodes = 300
	c.fail(reach.Unconnected, 2)
	c.round(0)
	c.round(0)
	rounds := 0
	for end := c.now + 15*time.Second; c.now < end; c.now += 20 * time.Millisecond {
		for range c.DueRounds() {
			rounds++
			c.RecordRound("app", 3, 0)
		}
	}
	if rounds < 5 || rounds > 10 {
		t.Errorf("%d rounds in 15 s, want 5 to 10", rounds)
	}
}
