package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/routing"
)

// The bound that the users set for an endpoint with a limit: at most limitFactor times the limit
// plus limitSlack requests in any limitWindow.
const (
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	limitStep     = 20 * time.Millisecond
	limitDuration = 12 * time.Second
	limitSeeds    = 4
)

// limitAllows returns the maximum number of requests to the endpoint within limitWindow.
func limitAllows(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// limitedNode is a node with one endpoint that has reported a limit to it.
type limitedNode struct {
	f       *fleet.Fleet
	now     time.Duration
	in      fleet.Instance
	service *routing.Service
}

// dayStart is the time of day at which simulated time begins.
var dayStart = time.Unix(1_800_000_000, 0)

// randomNames returns the names of the given number of nodes.
func randomNames(random *rand.Rand, nodes int) []string {
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("10.0.%d.%d-%d", i/250, i%250, random.Uint32()))
	}
	return names
}

// newLimitedNode returns the node with the first of the given names; without names, it does not
// know which nodes share the limit. Its monotonic clock is ahead of the simulated time by offset.
func newLimitedNode(names []string, perSecond float64, offset time.Duration) *limitedNode {
	n := &limitedNode{
		service: &routing.Service{Name: "app"},
		in:      fleet.Instance{ID: "limited", Service: "app", DataCentre: "dc1", Slots: 1 << 20},
	}
	n.f = fleet.New("dc1", func() time.Duration { return n.now })
	if len(names) > 0 {
		roster := &fleet.Roster{Names: names}
		n.f.Name, n.f.Roster = names[0], func() *fleet.Roster { return roster }
	}
	n.f.WallClock = func() time.Time { return dayStart.Add(n.now - offset) }
	n.f.Update(n.in)
	n.f.RecordNotice(n.in, notice.Notice{Limited: true, Limit: perSecond}, "r0")
	return n
}

func (n *limitedNode) sends(now time.Duration) bool {
	n.now = now
	p, _ := n.f.Acquire(context.Background(), fleet.Work{Service: n.service}, 0)
	return p != nil
}

// countSent returns how many of the given number of simultaneous requests are sent.
func (n *limitedNode) countSent(requests int) int {
	sent := 0
	for range requests {
		if n.sends(time.Hour) {
			sent++
		}
	}
	return sent
}

// maxWithin returns the maximum number of the given times within any interval of the given length.
func maxWithin(sent []time.Duration, length time.Duration) int {
	slices.Sort(sent)
	most, from := 0, 0
	for to := range sent {
		for sent[to]-sent[from] >= length {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against nodes that together exceed the limit of an endpoint, although each has work for it
// all the time and they do not communicate.
func TestLimitIsNotExceeded(t *testing.T) {
	for _, nodes := range []int{1, 7, 75, 300, 410} {
		for _, perSecond := range []float64{0, 0.5, 2.2, 30} {
			t.Run(fmt.Sprintf("%d nodes, %g a second", nodes, perSecond), func(t *testing.T) {
				for seed := range uint64(limitSeeds) {
					random := rand.New(rand.NewPCG(seed, 1))
					names := randomNames(random, nodes)
					var all []*limitedNode
					var offsets []time.Duration
					for i := range nodes {
						offset := time.Hour + time.Duration(random.Int64N(int64(time.Hour)))
						own := append([]string{names[i]}, slices.Delete(slices.Clone(names), i, i+1)...)
						all = append(all, newLimitedNode(own, perSecond, offset))
						offsets = append(offsets, offset)
					}
					var sent []time.Duration
					for now := time.Duration(0); now < limitDuration; now += limitStep {
						for i, n := range all {
							if n.sends(offsets[i] + now) {
								sent = append(sent, now)
							}
						}
					}
					if most := maxWithin(sent, limitWindow); most > limitAllows(perSecond) {
						t.Errorf("seed %d: %d requests in %v, want at most %d", seed, most, limitWindow, limitAllows(perSecond))
					}
				}
			})
		}
	}
}

// Guards against a node that receives nothing from other nodes and uses the whole limit alone.
func TestNodeWithoutRosterSendsNothingToALimitedEndpoint(t *testing.T) {
	n := newLimitedNode(nil, 4, 0)
	for now := time.Hour; now < time.Hour+limitWindow; now += limitStep {
		if n.sends(now) {
			t.Fatalf("a request was sent at %v", now)
		}
	}
}

// Guards against a limit that stays in force after the endpoint has ended it, or that is applied to
// another incarnation.
func TestLimitEndsWhenTheEndpointNamesNone(t *testing.T) {
	n := newLimitedNode(randomNames(rand.New(rand.NewPCG(1, 1)), 100), 0.5, 0)
	n.f.RecordNotice(n.in, notice.Notice{}, "r1")
	if n.countSent(2) != 2 {
		t.Error("requests were held back after the endpoint ended its limit")
	}
	n.f.RecordNotice(n.in, notice.Notice{Limited: true, Limit: 0.5}, "r2")
	restarted := n.in
	restarted.StartedAtMS = 1
	n.f.Update(restarted)
	if n.countSent(2) != 2 {
		t.Error("requests to a new incarnation without a limit were held back")
	}
}

// Guards against a limit that is lost when the endpoint's entry is removed and added again.
func TestLimitSurvivesRemovalOfTheEntry(t *testing.T) {
	n := newLimitedNode([]string{"10.0.0.1"}, 0.5, 0)
	n.f.Remove(n.in.ID, false)
	n.f.Update(n.in)
	sent := 0
	for now := time.Hour; now < time.Hour+limitWindow; now += limitStep {
		if n.sends(now) {
			sent++
		}
	}
	if sent > limitAllows(0.5) {
		t.Errorf("%d requests in %v, want at most %d", sent, limitWindow, limitAllows(0.5))
	}
}
