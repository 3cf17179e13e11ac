package fleet_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// coldRate is the number of requests per second that a cold endpoint can serve. At most half as
// many again plus coldSlack are allowed in any second.
const (
	coldRate  = 31
	coldSlack = 5
	coldFor   = 4 * time.Second
	coldSeeds = 6
	coldStep  = 10 * time.Millisecond
)

// sender decides on one node whether to send a request to the cold endpoint.
type sender interface {
	sends(now time.Duration) bool
}

// turns is the method of package fleet.
type turns struct {
	f       *fleet.Fleet
	now     time.Duration
	service *routing.Service
}

func newTurns(name string, believes int, rate float64) *turns {
	t := &turns{service: &routing.Service{Name: "app", ColdPerSecond: rate, ColdStart: time.Minute}}
	t.f = fleet.New("dc1", func() time.Duration { return t.now })
	t.f.Name = name
	t.f.Population = func() fleet.Population { return fleet.Population{Nodes: believes, Heard: true} }
	t.f.Update(fleet.Instance{ID: "cold", Service: "app", DataCentre: "dc1", Slots: 1 << 20, Warming: 24 * time.Hour})
	return t
}

func (t *turns) sends(now time.Duration) bool {
	t.now = now
	p, _ := t.f.Acquire(context.Background(), fleet.Want{Service: t.service}, 0)
	return p != nil
}

// bucket gives each node an equal share of the rate; an unused permission is kept.
type bucket struct {
	every, next time.Duration
}

func (b *bucket) sends(now time.Duration) bool {
	if now < b.next {
		return false
	}
	b.next = now + b.every
	return true
}

// owner lets only a few nodes send. All nodes agree on these by a hash of the node names.
type owner struct {
	bucket
	owns bool
}

func (o *owner) sends(now time.Duration) bool { return o.owns && o.bucket.sends(now) }

const owners = 3

func newOwner(name string, all []string) *owner {
	weight := func(node string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(node + "cold"))
		return h.Sum64()
	}
	ahead := 0
	for _, other := range all {
		if weight(other) > weight(name) {
			ahead++
		}
	}
	return &owner{bucket: bucket{every: owners * time.Second / coldRate}, owns: ahead < owners}
}

// freely applies no limit.
type freely struct{}

func (freely) sends(time.Duration) bool { return true }

// coldCase is a number of nodes that send to one cold endpoint.
type coldCase struct {
	nodes int
	// heard is the number of nodes that each node assumes.
	heard int
	// busy is the share of nodes that have requests.
	busy float64
	// everyMS is the mean time in milliseconds between two requests of a busy node; 0 sends as many
	// as the method allows.
	everyMS float64
}

// peak simulates the case. It returns the largest number of requests that the endpoint gets within
// one second, and the number that it gets in the first second.
func (c coldCase) peak(random *rand.Rand, make func(name string, all []string, heard int) sender) (most, first int) {
	names := []string{}
	for i := range c.nodes {
		names = append(names, fmt.Sprintf("10.0.%d.%d-%d", i/250, i%250, random.Uint32()))
	}
	type node struct {
		sender
		offset, next time.Duration
	}
	var busy []*node
	for _, name := range names {
		if random.Float64() < c.busy {
			// The monotonic clocks of the nodes have different origins.
			offset := time.Hour + time.Duration(random.Int64N(int64(time.Hour)))
			busy = append(busy, &node{sender: make(name, names, c.heard), offset: offset})
		}
	}
	var sent []time.Duration
	for now := time.Duration(0); now < coldFor; now += coldStep {
		for _, n := range busy {
			if now < n.next || !n.sends(n.offset+now) {
				continue
			}
			n.next = now + time.Duration(c.everyMS*float64(time.Millisecond)*random.ExpFloat64())
			sent = append(sent, now)
			if now < time.Second {
				first++
			}
		}
	}
	return mostInASecond(sent), first
}

// mostInASecond returns the largest number of the given times that lie within one second.
func mostInASecond(sent []time.Duration) int {
	slices.Sort(sent)
	most, from := 0, 0
	for to := range sent {
		for sent[to]-sent[from] >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func senderOfTurns(name string, _ []string, heard int) sender {
	return newTurns(name, heard, coldRate)
}

// Guards against nodes that together send a cold endpoint more requests than it can serve: all
// nodes have work for it at the same moment and do not communicate.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	const bound = int(coldRate*3/2 + coldSlack)
	for _, c := range []coldCase{
		{nodes: 1, heard: 1, busy: 1},
		{nodes: 7, heard: 7, busy: 1},
		{nodes: 75, heard: 75, busy: 1},
		{nodes: 75, heard: 88, busy: 1},
		{nodes: 300, heard: 300, busy: 1},
		{nodes: 410, heard: 410, busy: 1},
		{nodes: 75, heard: 75, busy: 0.1},
		// A node that does not know the number of nodes sends nothing.
		{nodes: 75, heard: 0, busy: 1},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d assumed, %g busy", c.nodes, c.heard, c.busy), func(t *testing.T) {
			for seed := range uint64(coldSeeds) {
				most, _ := c.peak(rand.New(rand.NewPCG(seed, 1)), senderOfTurns)
				if most > bound {
					t.Errorf("seed %d: got %d requests within one second, want at most %d", seed, most, bound)
				}
				if c.heard == 0 && most > 0 {
					t.Errorf("seed %d: got %d requests from nodes that do not know the number of nodes, want none", seed, most)
				}
			}
		})
	}
}

// TestWaysToBoundColdEndpoints logs the requests to a cold endpoint under each method of limiting
// them, for comparison. It has no pass criterion.
func TestWaysToBoundColdEndpoints(t *testing.T) {
	ways := []struct {
		name string
		make func(name string, all []string, heard int) sender
	}{
		{"no limit", func(string, []string, int) sender { return freely{} }},
		{"equal shares", func(_ string, _ []string, heard int) sender {
			return &bucket{every: time.Duration(float64(heard) / coldRate * float64(time.Second))}
		}},
		{"three owners", func(name string, all []string, _ int) sender { return newOwner(name, all) }},
		{"turns", senderOfTurns},
	}
	for _, c := range []coldCase{
		{nodes: 7, heard: 7, busy: 1},
		{nodes: 75, heard: 75, busy: 1},
		{nodes: 300, heard: 300, busy: 1},
		{nodes: 75, heard: 38, busy: 1},
		{nodes: 75, heard: 75, busy: 0.1},
		{nodes: 75, heard: 75, busy: 1, everyMS: 1100},
		{nodes: 300, heard: 300, busy: 1, everyMS: 1100},
	} {
		for _, way := range ways {
			if way.name == "no limit" && c.everyMS == 0 {
				continue
			}
			var most, first int
			for seed := range uint64(coldSeeds) {
				m, f := c.peak(rand.New(rand.NewPCG(seed, 1)), way.make)
				most, first = max(most, m), first+f
			}
			t.Logf("%3d nodes (%3d assumed, %3.0f%% busy, one request per %4.0f ms): %-12s at most %3d in one second, %5.1f in the first second",
				c.nodes, c.heard, 100*c.busy, c.everyMS, way.name, most, float64(first)/coldSeeds)
		}
	}
}
