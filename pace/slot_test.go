package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/pace"
)

const (
	window       = 4 * time.Second
	slotStep     = 20 * time.Millisecond
	slotDuration = 60 * time.Second
	slotSeeds    = 40
)

// allowed returns the maximum number of requests within window for an endpoint with the limit
// perSecond.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// sender is a node that sends requests to the endpoint in its slots.
type sender struct {
	slots pace.Slots
	// skew is the error of its time of day, offset the origin of its monotonic clock, and lastSent
	// the time of its last request by that clock.
	skew, offset, lastSent time.Duration
}

func (s *sender) sends(now time.Duration) bool {
	monotonic := s.offset + now
	if s.slots.Until(time.Unix(1_800_000_000, 0).Add(now+s.skew), monotonic, s.lastSent) > 0 {
		return false
	}
	s.lastSent = monotonic
	return true
}

// newSenders returns the given number of nodes. Each of them does not know up to maxUnknown others,
// and its time of day differs by up to skew.
func newSenders(random *rand.Rand, nodes, maxUnknown int, skew time.Duration, perSecond float64) []*sender {
	var names []string
	for range nodes {
		names = append(names, fmt.Sprintf("10.%d.%d.%d", random.IntN(250), random.IntN(250), random.IntN(250)))
	}
	endpoint := random.Uint32()
	var all []*sender
	for _, name := range names {
		known := slices.Clone(names)
		for range min(random.IntN(maxUnknown+1), nodes-1) {
			i := random.IntN(len(known))
			if known[i] != name {
				known = slices.Delete(known, i, i+1)
			}
		}
		slots := pace.Slots{Rank: pace.Rank(name, known, endpoint), Nodes: len(known), PerSecond: pace.LimitRate(perSecond)}
		all = append(all, &sender{
			slots: slots, skew: time.Duration(random.Int64N(int64(skew) + 1)), offset: time.Hour + time.Duration(random.Int64N(int64(time.Hour))),
		})
	}
	return all
}

// Guards against slots of many nodes that lie close together, if all nodes have work for an
// endpoint with a low limit all the time, or all start at the same moment.
func TestSlotsOfManyNodesKeepTheLimitInEveryWindow(t *testing.T) {
	for _, nodes := range []int{1, 7, 75, 300} {
		for _, perSecond := range []float64{0.5, 1, 3, 10} {
			t.Run(fmt.Sprintf("%d nodes, %g a second", nodes, perSecond), func(t *testing.T) {
				for seed := range uint64(slotSeeds) {
					random := rand.New(rand.NewPCG(seed, 5))
					all := newSenders(random, nodes, 2, 100*time.Millisecond, perSecond)
					idle := time.Duration(seed%2) * slotDuration / 2
					var sent []time.Duration
					for now := time.Duration(0); now < slotDuration; now += slotStep {
						for _, s := range all {
							if now >= idle && s.sends(now) {
								sent = append(sent, now)
							}
						}
					}
					most, from := 0, 0
					for to := range sent {
						for sent[to]-sent[from] >= window {
							from++
						}
						most = max(most, to-from+1)
					}
					if most > allowed(perSecond) {
						t.Errorf("seed %d: %d requests in %v, want at most %d", seed, most, window, allowed(perSecond))
					}
					if least := int(0.5 * perSecond * (slotDuration - idle).Seconds()); perSecond >= 1 && len(sent) < least {
						t.Errorf("seed %d: %d requests were sent, want at least %d", seed, len(sent), least)
					}
				}
			})
		}
	}
}

// Guards against a node that uses its slot more than once per period because its time of day jumps.
func TestClockJumpsGiveNoMoreSlots(t *testing.T) {
	const perSecond = 3.0
	random := rand.New(rand.NewPCG(1, 6))
	s := newSenders(random, 7, 0, 0, perSecond)[0]
	sent := 0
	for now := time.Duration(0); now < slotDuration; now += slotStep {
		s.skew = time.Duration(random.Int64N(int64(10*time.Second))) - 5*time.Second
		if s.sends(now) {
			sent++
		}
	}
	if most := int(2*pace.LimitRate(perSecond)/7*slotDuration.Seconds()) + 1; sent > most {
		t.Errorf("%d requests, want at most twice the share of one of 7 nodes: %d", sent, most)
	}
}

// Guards against a ranking that changes entirely when one node is added or removed.
func TestRankMovesByOneWithOneNode(t *testing.T) {
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("10.0.0.%d", i))
	}
	ranks := make(map[int]bool)
	for _, name := range names {
		with, without := pace.Rank(name, names, 9), pace.Rank(name, names[1:], 9)
		ranks[with] = true
		if name != names[0] && with-without != 0 && with-without != 1 {
			t.Errorf("%s: rank %d among all nodes, %d without the first one", name, with, without)
		}
	}
	if len(ranks) != len(names) {
		t.Errorf("%d different ranks for %d nodes", len(ranks), len(names))
	}
}

// Guards against a crash from a limit so large that the period between slots becomes 0.
func TestHugeLimitsHaveSlots(t *testing.T) {
	for _, perSecond := range []float64{1e7, 1e12, 1e300, 1.7e308} {
		slots := pace.Slots{Rank: 2, Nodes: 7, PerSecond: pace.LimitRate(perSecond)}
		if wait := slots.Until(time.Unix(1_800_000_000, 0), time.Hour, 0); wait > time.Millisecond {
			t.Errorf("%g requests per second: the next slot begins in %v, want at most 1 ms", perSecond, wait)
		}
		pace.Turn("10.0.0.1", 7, 7, perSecond, time.Hour)
	}
}
