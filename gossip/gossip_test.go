package gossip_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
)

// node is a Gossip on a loopback address of its own.
type node struct {
	*gossip.Gossip
	ip string
	// stop stops the node and waits until its address is free again.
	stop func()

	mu       sync.Mutex
	received []*exchangev1.NodeState
	lost     []string
	ready    bool
}

// loopbackIP returns an address derived from the process ID, so that two runs of the suite at the
// same time do not listen on the same address.
func loopbackIP(n int) string { return fmt.Sprintf("127.%d.0.%d", 1+os.Getpid()%250, n) }

// port lies below the range of ephemeral ports.
const port = 23117

func start(ip string, incarnation uint64) *node { return startIn("dc", ip, incarnation) }

func startIn(dataCentre, ip string, incarnation uint64) *node {
	n := &node{ip: ip, ready: true}
	n.Gossip = gossip.New(gossip.Options{
		IP: ip, Port: port, DataCentre: dataCentre, Now: boottime.Now, Log: zap.NewNop(),
		State: func() *exchangev1.NodeState {
			n.mu.Lock()
			defer n.mu.Unlock()
			return &exchangev1.NodeState{
				Address: ip, CallerAddress: ip + ":1", PeerAddress: ip + ":2", DataCentre: dataCentre, Incarnation: incarnation, Ready: n.ready,
				Loads: []*exchangev1.EndpointLoad{{Key: 7, Count: 1}},
			}
		},
		OnState: func(s *exchangev1.NodeState) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.received = append(n.received, s)
		},
		OnLost: func(address string) {
			// The fleet also announces a change here: it has free capacity after a loss.
			n.AnnounceAll()
			n.Announce("dc")
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lost = append(n.lost, address)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.stop = func() {
		cancel()
		<-done
	}
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(n.Run(ctx)).To(Succeed())
	}()
	DeferCleanup(n.stop)
	return n
}

func (n *node) live() []string {
	var live []string
	for _, p := range n.Live() {
		live = append(live, p.Address)
	}
	return live
}

func (n *node) lostNodes() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lost...)
}

func (n *node) receivedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.received)
}

// lastIncarnation returns the incarnation of the last state received from a node.
func (n *node) lastIncarnation(ip string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range slices.Backward(n.received) {
		if s.GetAddress() == ip {
			return s.GetIncarnation()
		}
	}
	return 0
}

func (n *node) receivedSince(count int) []*exchangev1.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*exchangev1.NodeState(nil), n.received[count:]...)
}

// unreachableAddresses returns addresses at which no node responds.
func unreachableAddresses(count int) []string {
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+i/200, 1+i%200))
	}
	return addresses
}

var _ = Describe("gossip between nodes", func() {
	// A new node knows a single other node, as after a start with only one working seed.
	It("discovers all nodes through one of them and propagates changes", func() {
		a, b, c := start(loopbackIP(11), 1), start(loopbackIP(12), 1), start(loopbackIP(13), 1)
		a.Add(b.ip)
		c.Add(b.ip)
		Eventually(a.live, 3*time.Second).Should(Equal([]string{b.ip, c.ip}))
		Eventually(c.live, 3*time.Second).Should(Equal([]string{a.ip, b.ip}))
		b.mu.Lock()
		b.ready = false
		b.mu.Unlock()
		Eventually(func() bool { return a.Live()[0].Ready }, time.Second).Should(BeFalse())
		Expect(a.Live()[0].PeerAddress).To(Equal(b.ip + ":2"))
	})

	// Guards against sending only loads to a newly discovered node: without the addresses it could
	// not use them, and both nodes would choose the same engines for a second.
	It("makes nodes known to each other within two rounds", func() {
		a, b := start(loopbackIP(41), 1), start(loopbackIP(42), 1)
		time.Sleep(250 * time.Millisecond)
		a.Add(b.ip)
		Eventually(b.live, 600*time.Millisecond, 10*time.Millisecond).ShouldNot(BeEmpty())
		Eventually(a.live, 600*time.Millisecond, 10*time.Millisecond).ShouldNot(BeEmpty())
	})

	// Guards against counting the work of a node that has stopped without notice, and sending
	// callers to it, forever. OnLost announces the resulting change at once while it holds its own
	// locks: a Gossip that waited for these would deadlock, and its node would soon refuse all keys.
	It("detects the loss of a silent node and its return", func() {
		a, b := start(loopbackIP(21), 1), start(loopbackIP(22), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).Should(Equal([]string{b.ip}))
		b.stop()
		Eventually(a.lostNodes, 3*time.Second).Should(Equal([]string{b.ip}))
		Expect(a.live()).To(BeEmpty())
		again := start(b.ip, 2)
		Eventually(a.live, 3*time.Second).Should(Equal([]string{again.ip}))
	})

	// Guards against sending addresses in each datagram: with some sixty nodes they made up two
	// fifths of all bytes between data centres. Only a newly discovered node needs them at once.
	It("sends addresses once and loads in each round", func() {
		a, b := start(loopbackIP(51), 1), start(loopbackIP(52), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).ShouldNot(BeEmpty())
		Eventually(b.live, 2*time.Second).ShouldNot(BeEmpty())
		time.Sleep(time.Second)
		from := b.receivedCount()
		time.Sleep(2 * time.Second)
		full := 0
		for _, s := range b.receivedSince(from) {
			if !s.GetBrief() {
				full++
			}
			Expect(s.GetLoads()).NotTo(BeEmpty())
		}
		Expect(b.receivedCount() - from).To(BeNumerically(">", 5))
		Expect(full).To(BeNumerically("<=", 1))
	})

	// Guards against announcing each request to all nodes at once: the bytes sent would grow with
	// the square of their number. Only nodes of the same data centre choose the engine first.
	It("announces new work at once in its data centre and elsewhere with the next round", func() {
		a, near, far := start(loopbackIP(61), 1), start(loopbackIP(62), 1), startIn("far", loopbackIP(63), 1)
		a.Add(near.ip, far.ip)
		Eventually(a.live, 2*time.Second).Should(HaveLen(2))
		Eventually(far.live, 2*time.Second).Should(HaveLen(2))
		nearBefore, farBefore := near.receivedCount(), far.receivedCount()
		for range 20 {
			a.Announce("dc")
			time.Sleep(15 * time.Millisecond)
		}
		receivedFar := far.receivedCount() - farBefore
		Expect(near.receivedCount() - nearBefore).To(BeNumerically(">", 2*receivedFar))
		Expect(far.receivedCount()).To(BeNumerically(">", farBefore))
	})

	// Guards against sending callers to a dead node of the same data centre for many seconds:
	// rounds to all nodes become rarer as nodes are added, and a nearby loss must not depend on
	// these.
	It("detects a nearby loss just as fast with hundreds of nodes elsewhere", func() {
		a, b := start(loopbackIP(71), 1), start(loopbackIP(72), 1)
		a.Add(b.ip)
		a.Add(unreachableAddresses(200)...)
		b.Add(unreachableAddresses(200)...)
		Eventually(a.live, 2*time.Second).Should(Equal([]string{b.ip}))
		time.Sleep(time.Second)
		b.stop()
		Eventually(a.lostNodes, 1500*time.Millisecond).Should(Equal([]string{b.ip}))
	})

	// Guards against a node that restarts quickly and receives no addresses for seconds: the others
	// still consider it live and leave out the addresses that it knew before.
	It("sends the full state at once to a node that has restarted quickly", func() {
		a, b := start(loopbackIP(71), 1), start(loopbackIP(72), 1)
		a.Add(b.ip)
		Eventually(a.live, time.Second).Should(ConsistOf(b.ip))
		Eventually(b.live, time.Second).Should(ConsistOf(a.ip))
		a.stop()
		time.Sleep(50 * time.Millisecond)
		again := start(a.ip, 2)
		again.Add(b.ip)
		Eventually(again.live, 500*time.Millisecond, 5*time.Millisecond).Should(ConsistOf(b.ip))
	})

	// Guards against a node that the others ignore for a minute because its time of day, from which the
	// incarnation is taken, was set back before it restarted.
	It("hears a node that has restarted with a lower incarnation", func() {
		a, b := start(loopbackIP(71), 9), start(loopbackIP(72), 1)
		a.Add(b.ip)
		Eventually(b.live, 3*time.Second).Should(ConsistOf(a.ip))
		time.Sleep(2100 * time.Millisecond) // until no datagram of an earlier incarnation can arrive
		a.stop()
		again := start(a.ip, 5)
		again.Add(b.ip)
		Eventually(func() uint64 { return b.lastIncarnation(a.ip) }, time.Second).Should(BeEquivalentTo(5))
		Eventually(again.live, time.Second).Should(ConsistOf(b.ip))
		Expect(b.live()).To(ConsistOf(a.ip))
	})

	// Guards against a slow start of the whole system: all nodes start at once and know the seeds
	// only. A seed that knows hundreds of nodes has seconds between its regular rounds; if it
	// responded only then, the new nodes could not serve for as long.
	It("responds to an unknown node at once", func() {
		a := startIn("far", loopbackIP(81), 1)
		a.Add(unreachableAddresses(300)...)
		time.Sleep(500 * time.Millisecond)
		b := start(loopbackIP(82), 1)
		b.Add(a.ip)
		Eventually(b.live, 400*time.Millisecond, 10*time.Millisecond).Should(Equal([]string{a.ip}))
	})

	// Guards against announcing new work only with the next regular round: a node that learns of it
	// that late chooses the same engine in the meantime.
	It("announces new work before the next regular round", func() {
		a, b := start(loopbackIP(31), 1), start(loopbackIP(32), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).ShouldNot(BeEmpty())
		Eventually(b.live, 2*time.Second).ShouldNot(BeEmpty())
		before := b.receivedCount()
		for range 5 {
			a.AnnounceAll()
			time.Sleep(15 * time.Millisecond)
		}
		Expect(b.receivedCount() - before).To(BeNumerically(">=", 3))
	})
})
