package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// clusterNodes is the number of nodes in the large deployments of users.
	clusterNodes = 64
	// clusterEngineTokens is the memory of one of their engines in tokens.
	clusterEngineTokens = 21_834
	// networkDelay is the network delay of a datagram between two data centres. minDatagramGap is
	// the minimum time between two datagrams of one node.
	networkDelay   = 1400 * time.Microsecond
	minDatagramGap = 10 * time.Millisecond
	// datagramInterval is the interval between two datagrams of a node without changes.
	datagramInterval = 600 * time.Millisecond
)

var clusterPool = &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Slots: 24, CacheTokens: clusterEngineTokens}}

// cluster simulates many nodes with a common clock and a network delay.
type cluster struct {
	// clock is also read by the goroutines of waiting requests.
	clock atomic.Int64
	// over is set at the end of the spec. Requests that still wait then end later, concurrently.
	over   atomic.Bool
	nodes  []*clusterNode
	events []clusterEvent
}

type clusterNode struct {
	*fleet.Fleet
	name          string
	lastSent      time.Duration
	sendScheduled bool
}

type clusterEvent struct {
	at time.Duration
	do func()
}

func newCluster(size int) *cluster {
	c := &cluster{}
	DeferCleanup(func() { c.over.Store(true) })
	c.clock.Store(int64(time.Hour))
	for i := range size {
		n := &clusterNode{name: fmt.Sprintf("node%d", i), lastSent: -time.Hour}
		n.Fleet = fleet.New("dc1", c.now)
		n.Name = n.name
		n.Broadcast = func(string) { c.broadcast(n) }
		n.ScheduleTick = func(after time.Duration) { c.after(after, n.Tick) }
		c.nodes = append(c.nodes, n)
		c.broadcastRegularly(n)
	}
	return c
}

// broadcastRegularly sends the state of a node at regular intervals.
func (c *cluster) broadcastRegularly(n *clusterNode) {
	c.after(datagramInterval, func() {
		c.broadcast(n)
		c.broadcastRegularly(n)
	})
}

func (c *cluster) now() time.Duration { return time.Duration(c.clock.Load()) }

func (c *cluster) after(d time.Duration, do func()) {
	if c.over.Load() {
		return
	}
	c.events = append(c.events, clusterEvent{at: c.now() + d, do: do})
}

// broadcast schedules a datagram with the state of a node to all others, at most one per
// minDatagramGap.
func (c *cluster) broadcast(n *clusterNode) {
	if c.over.Load() || n.sendScheduled {
		return
	}
	n.sendScheduled = true
	c.after(max(0, n.lastSent+minDatagramGap-c.now()), func() {
		n.sendScheduled, n.lastSent = false, c.now()
		loads, waiting, uses := n.OwnLoads(), n.OwnWaiting(), n.OwnUse()
		c.after(networkDelay, func() {
			for _, other := range c.nodes {
				if other != n {
					other.SetRemoteUse(n.name, uses)
					other.SetRemote(n.name, loads, waiting)
				}
			}
		})
	})
}

// run processes events in order until the given time has passed.
func (c *cluster) run(d time.Duration) {
	end := c.now() + d
	for {
		slices.SortStableFunc(c.events, func(a, b clusterEvent) int { return int(a.at - b.at) })
		if len(c.events) == 0 || c.events[0].at > end {
			c.clock.Store(int64(end))
			return
		}
		next := c.events[0]
		c.events = c.events[1:]
		c.clock.Store(int64(next.at))
		next.do()
	}
}

// Four requests of quarterOfEngine fill an engine.
var (
	quarterOfEngine = fleet.Demand{Prompt: 1100, Output: 4000}
	mostOfEngine    = fleet.Demand{Prompt: 1000, Output: 14_000}
)

// enqueue starts a request that has to wait on a node.
func (c *cluster) enqueue(n *clusterNode, demand fleet.Demand) {
	GinkgoHelper()
	waiting := n.Waiting("pool")
	go func() {
		want := fleet.Work{Service: clusterPool, Demand: demand}
		_, _ = n.Acquire(context.Background(), want, time.Minute)
	}()
	Eventually(func() int { return n.Waiting("pool") }).Should(Equal(waiting + 1))
}

// reservedTokens returns the memory, in tokens, that all nodes together have reserved on an engine.
func (c *cluster) reservedTokens(engine string) int {
	sum := 0
	for _, n := range c.nodes {
		for _, l := range n.OwnLoads() {
			if l.Key == (fleet.Incarnation{ID: engine}).Key() {
				sum += l.Tokens
			}
		}
	}
	return sum
}

func (c *cluster) waiting() int {
	sum := 0
	for _, n := range c.nodes {
		sum += n.Waiting("pool")
	}
	return sum
}

// register adds an engine on all nodes, each with a random delay of up to 5 ms.
func (c *cluster) register(engine string) {
	for _, n := range c.nodes {
		c.after(time.Duration(rand.IntN(5000))*time.Microsecond, func() {
			n.Update(fleet.Instance{ID: engine, Service: "pool", DataCentre: "dc1", Slots: 24})
		})
	}
}

var _ = Describe("capacity that many nodes wait for", func() {
	// Guards against all nodes claiming a new engine at once. Requests wait on 12 of 64 nodes, and
	// all nodes learn of the engine within 5 ms: it would get three times the work that it can
	// hold, and most callers would see no first event for seconds and give up.
	It("is not granted more than once", func() {
		c := newCluster(clusterNodes)
		for i := range 12 {
			c.enqueue(c.nodes[5*i], quarterOfEngine)
		}
		c.run(50 * time.Millisecond)
		c.register("new")
		c.run(time.Second)
		Expect(c.reservedTokens("new")).To(BeNumerically(">", 0.6*clusterEngineTokens))
		Expect(c.reservedTokens("new")).To(BeNumerically("<=", clusterEngineTokens))
		for i := range 4 {
			c.register(fmt.Sprintf("more%d", i))
		}
		c.run(time.Second)
		Expect(c.waiting()).To(BeZero())
	})

	// Guards against the same with a waiting request on each of 64 nodes, as in a long burst. The
	// limit on the time for which a node waits for its turn (maxTurnWait) must not make the last
	// forty nodes claim together.
	It("is not granted more than once while work waits on every node", func() {
		c := newCluster(clusterNodes)
		for i, n := range c.nodes {
			c.enqueue(n, quarterOfEngine)
			if i%8 == 0 {
				c.run(100 * time.Millisecond)
			}
		}
		c.run(50 * time.Millisecond)
		for i := range 3 {
			engine := fmt.Sprintf("new%d", i)
			c.register(engine)
			c.run(time.Second)
			Expect(c.reservedTokens(engine)).To(BeNumerically(">", 0.6*clusterEngineTokens))
			Expect(c.reservedTokens(engine)).To(BeNumerically("<=", clusterEngineTokens))
		}
	})

	// Guards against capacity that is freed while requests wait on other nodes. At first only the
	// node of the ended run knows of it; the others must learn of it before their next regular
	// datagram.
	It("goes to the request that has waited longest, on any node", func() {
		c := newCluster(3)
		first, second, holder := c.nodes[0], c.nodes[1], c.nodes[2]
		c.register("only")
		c.run(50 * time.Millisecond)
		held, refusal := holder.Acquire(context.Background(), fleet.Work{
			Service: clusterPool, Demand: fleet.Demand{Prompt: 1000, Output: 19_000},
		}, 0)
		Expect(refusal).To(BeNil())
		c.run(50 * time.Millisecond)
		c.enqueue(first, mostOfEngine)
		c.run(50 * time.Millisecond)
		c.enqueue(second, mostOfEngine)
		c.enqueue(holder, mostOfEngine)
		c.run(50 * time.Millisecond)
		held.Release(fleet.Good)
		c.run(150 * time.Millisecond)
		Expect(first.Waiting("pool")).To(BeZero())
		Expect(second.Waiting("pool")).To(Equal(1))
		Expect(holder.Waiting("pool")).To(Equal(1))
	})

	// Guards against ignoring the load of an engine that another node uses before this node learns
	// of the engine.
	It("counts as used if the load report arrives before the engine's entry", func() {
		c := newCluster(2)
		c.nodes[0].SetRemote("node1", []fleet.Load{{Key: fleet.Incarnation{ID: "new"}.Key(), Count: 5, Tokens: 20_000}}, nil)
		c.nodes[0].Update(fleet.Instance{ID: "new", Service: "pool", DataCentre: "dc1", Slots: 24})
		_, refusal := c.nodes[0].Acquire(context.Background(), fleet.Work{
			Service: clusterPool, Demand: fleet.Demand{Prompt: 4000, Output: 600},
		}, 0)
		Expect(refusal).NotTo(BeNil())
	})
})
