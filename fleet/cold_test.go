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
	coldRate     = 31
	coldSlack    = 5
	coldDuration = 4 * time.Second
	coldSeeds    = 6
	coldStep     = 10 * time.Millisecond
)

// sender decides on one node whether to send a request to the cold endpoint.
type sender interface {
	sends(now time.Duration) bool
}

// turnSender is the method of package fleet.
type turnSender struct {
	f       *fleet.Fleet
	now     time.Duration
	service *routing.Service
}

func newTurnSender(name string, assumedNodes int, rate float64) *turnSender {
	t := &turnSender{service: &routing.Service{Name: "app", ColdPerSecond: rate, ColdStart: time.Minute}}
	t.f = fleet.New("dc1", func() time.Duration { return t.now })
	t.f.Name = name
	t.f.ClusterSize = func() fleet.ClusterSize { return fleet.ClusterSize{Nodes: assumedNodes, HalfLive: true} }
	t.f.Update(fleet.Instance{ID: "cold", Service: "app", DataCentre: "dc1", Slots: 1 << 20, Warming: 24 * time.Hour})
	return t
}

func (t *turnSender) sends(now time.Duration) bool {
	t.now = now
	p, _ := t.f.Acquire(context.Background(), fleet.Work{Service: t.service}, 0)
	return p != nil
}

// equalShareSender gives each node an equal share of the rate. A node may send at any time once its
// interval has passed, so that an unused send does not expire.
type equalShareSender struct {
	every, next time.Duration
}

func (b *equalShareSender) sends(now time.Duration) bool {
	if now < b.next {
		return false
	}
	b.next = now + b.every
	return true
}

// ownerSender lets only a few nodes send, the owners. All nodes select the same owners by a hash of
// the node names.
type ownerSender struct {
	equalShareSender
	owns bool
}

func (o *ownerSender) sends(now time.Duration) bool { return o.owns && o.equalShareSender.sends(now) }

const owners = 3

func newOwnerSender(name string, all []string) *ownerSender {
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
	return &ownerSender{equalShareSender: equalShareSender{every: owners * time.Second / coldRate}, owns: ahead < owners}
}

// unlimitedSender applies no limit.
type unlimitedSender struct{}

func (unlimitedSender) sends(time.Duration) bool { return true }

// coldCase is a number of nodes that send to one cold endpoint.
type coldCase struct {
	nodes int
	// assumedNodes is the number of nodes that each node assumes.
	assumedNodes int
	// busyShare is the share of nodes that have requests.
	busyShare float64
	// meanGapMS is the mean time in milliseconds between two requests of a busy node; 0 sends as
	// many as the method allows.
	meanGapMS float64
}

// peak simulates the case. It returns the largest number of requests that the endpoint gets within
// one second, and the number that it gets in the first second.
func (c coldCase) peak(random *rand.Rand, newSender func(name string, all []string, assumedNodes int) sender) (most, first int) {
	names := []string{}
	for i := range c.nodes {
		names = append(names, fmt.Sprintf("10.0.%d.%d-%d", i/250, i%250, random.Uint32()))
	}
	type node struct {
		sender
		offset, next time.Duration
	}
	var busyNodes []*node
	for _, name := range names {
		if random.Float64() < c.busyShare {
			// The monotonic clocks of the nodes have different origins.
			offset := time.Hour + time.Duration(random.Int64N(int64(time.Hour)))
			busyNodes = append(busyNodes, &node{sender: newSender(name, names, c.assumedNodes), offset: offset})
		}
	}
	var sent []time.Duration
	for now := time.Duration(0); now < coldDuration; now += coldStep {
		for _, n := range busyNodes {
			if now < n.next || !n.sends(n.offset+now) {
				continue
			}
			n.next = now + time.Duration(c.meanGapMS*float64(time.Millisecond)*random.ExpFloat64())
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

func newTurnMethodSender(name string, _ []string, assumedNodes int) sender {
	return newTurnSender(name, assumedNodes, coldRate)
}

// Guards against nodes that together send a cold endpoint more requests than it can serve: all
// nodes have work for it at the same moment and do not communicate.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	const bound = int(coldRate*3/2 + coldSlack)
	for _, c := range []coldCase{
		{nodes: 1, assumedNodes: 1, busyShare: 1},
		{nodes: 7, assumedNodes: 7, busyShare: 1},
		{nodes: 75, assumedNodes: 75, busyShare: 1},
		{nodes: 75, assumedNodes: 88, busyShare: 1},
		{nodes: 300, assumedNodes: 300, busyShare: 1},
		{nodes: 410, assumedNodes: 410, busyShare: 1},
		{nodes: 75, assumedNodes: 75, busyShare: 0.1},
		// A node that does not know the number of nodes sends nothing.
		{nodes: 75, assumedNodes: 0, busyShare: 1},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d assumed, %g busy", c.nodes, c.assumedNodes, c.busyShare), func(t *testing.T) {
			for seed := range uint64(coldSeeds) {
				most, _ := c.peak(rand.New(rand.NewPCG(seed, 1)), newTurnMethodSender)
				if most > bound {
					t.Errorf("seed %d: got %d requests within one second, want at most %d", seed, most, bound)
				}
				if c.assumedNodes == 0 && most > 0 {
					t.Errorf("seed %d: got %d requests from nodes that do not know the number of nodes, want none", seed, most)
				}
			}
		})
	}
}

// TestWaysToBoundColdEndpoints logs the requests to a cold endpoint under each method of limiting
// them, for comparison. It has no pass criterion.
func TestWaysToBoundColdEndpoints(t *testing.T) {
	methods := []struct {
		name string
		make func(name string, all []string, assumedNodes int) sender
	}{
		{"no limit", func(string, []string, int) sender { return unlimitedSender{} }},
		{"equal shares", func(_ string, _ []string, assumedNodes int) sender {
			return &equalShareSender{every: time.Duration(float64(assumedNodes) / coldRate * float64(time.Second))}
		}},
		{"three owners", func(name string, all []string, _ int) sender { return newOwnerSender(name, all) }},
		{"turns", newTurnMethodSender},
	}
	for _, c := range []coldCase{
		{nodes: 7, assumedNodes: 7, busyShare: 1},
		{nodes: 75, assumedNodes: 75, busyShare: 1},
		{nodes: 300, assumedNodes: 300, busyShare: 1},
		{nodes: 75, assumedNodes: 38, busyShare: 1},
		{nodes: 75, assumedNodes: 75, busyShare: 0.1},
		{nodes: 75, assumedNodes: 75, busyShare: 1, meanGapMS: 1100},
		{nodes: 300, assumedNodes: 300, busyShare: 1, meanGapMS: 1100},
	} {
		for _, method := range methods {
			if method.name == "no limit" && c.meanGapMS == 0 {
				continue
			}
			var most, first int
			for seed := range uint64(coldSeeds) {
				m, f := c.peak(rand.New(rand.NewPCG(seed, 1)), method.make)
				most, first = max(most, m), first+f
			}
			t.Logf("%3d nodes (%3d assumed, %3.0f%% busy, one request per %4.0f ms): %-12s at most %3d in one second, %5.1f in the first second",
				c.nodes, c.assumedNodes, 100*c.busyShare, c.meanGapMS, method.name, most, float64(first)/coldSeeds)
		}
	}
}
