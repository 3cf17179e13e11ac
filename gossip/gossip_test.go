package gossip_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
)

// node is one node on a loopback address of its own.
type node struct {
	*gossip.Gossip
	ip string
	// stop ends the node and waits until its address is free again.
	stop func()

	mu    sync.Mutex
	heard []*exchangev1.NodeState
	lost  []string
	ready bool
}

// own returns an address of this process: two runs of the suite at the same time would not get
// each other's, and one of them would fail to listen.
func own(n int) string { return fmt.Sprintf("127.%d.0.%d", 1+os.Getpid()%250, n) }

// port is one that is below the ports of outgoing connections.
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
		Heard: func(s *exchangev1.NodeState) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heard = append(n.heard, s)
		},
		Lost: func(address string) {
			// As the fleet does, which then has room to tell of.
			n.TellAll()
			n.Tell("dc")
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

func (n *node) heardCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.heard)
}

func (n *node) heardSince(count int) []*exchangev1.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*exchangev1.NodeState(nil), n.heard[count:]...)
}

// elsewhere returns addresses of nodes that are not heard of.
func elsewhere(count int) []string {
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+i/200, 1+i%200))
	}
	return addresses
}

var _ = Describe("nodes that gossip", func() {
	// A new node knows one other node only, as after a start with one good seed.
	It("learn of all through one, and tell what has changed", func() {
		a, b, c := start(own(11), 1), start(own(12), 1), start(own(13), 1)
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

	// A node that was just found is told addresses at once. Told of loads only, the other
	// could do nothing with it, and for a second they would choose the same engines.
	It("know each other within two rounds", func() {
		a, b := start(own(41), 1), start(own(42), 1)
		time.Sleep(250 * time.Millisecond)
		a.Add(b.ip)
		Eventually(b.live, 600*time.Millisecond, 10*time.Millisecond).ShouldNot(BeEmpty())
		Eventually(a.live, 600*time.Millisecond, 10*time.Millisecond).ShouldNot(BeEmpty())
	})

	// A node falls silent without a word. The work that it told of must not be counted
	// for ever, and callers must not be sent there. Who hears of the loss tells of what
	// changes by it at once, under locks of its own: a gossip that waited for those would
	// stand still for ever, and its node would soon serve no keys.
	It("lose one that is silent, and find it again", func() {
		a, b := start(own(21), 1), start(own(22), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).Should(Equal([]string{b.ip}))
		b.stop()
		Eventually(a.lostNodes, 3*time.Second).Should(Equal([]string{b.ip}))
		Expect(a.live()).To(BeEmpty())
		again := start(b.ip, 2)
		Eventually(a.live, 3*time.Second).Should(Equal([]string{again.ip}))
	})

	// With some sixty nodes, addresses were two fifths of all bytes between data centres.
	// They are told to a node that was just found, and then hardly ever.
	It("tell addresses once, and loads in each round", func() {
		a, b := start(own(51), 1), start(own(52), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).ShouldNot(BeEmpty())
		Eventually(b.live, 2*time.Second).ShouldNot(BeEmpty())
		time.Sleep(time.Second)
		from := b.heardCount()
		time.Sleep(2 * time.Second)
		whole := 0
		for _, s := range b.heardSince(from) {
			if !s.GetBrief() {
				whole++
			}
			Expect(s.GetLoads()).NotTo(BeEmpty())
		}
		Expect(b.heardCount() - from).To(BeNumerically(">", 5))
		Expect(whole).To(BeNumerically("<=", 1))
	})

	// New work on an engine is told at once to the nodes that choose it first, those of its
	// data centre. To tell all nodes of each request costs bytes that grow with the square
	// of their number.
	It("tell of new work where it matters, and elsewhere with the next round", func() {
		a, near, far := start(own(61), 1), start(own(62), 1), startIn("far", own(63), 1)
		a.Add(near.ip, far.ip)
		Eventually(a.live, 2*time.Second).Should(HaveLen(2))
		Eventually(far.live, 2*time.Second).Should(HaveLen(2))
		nearBefore, farBefore := near.heardCount(), far.heardCount()
		for range 20 {
			a.Tell("dc")
			time.Sleep(15 * time.Millisecond)
		}
		heardFar := far.heardCount() - farBefore
		Expect(near.heardCount() - nearBefore).To(BeNumerically(">", 2*heardFar))
		Expect(far.heardCount()).To(BeNumerically(">", farBefore))
	})

	// A node dies that others of its data centre send callers to, and there are hundreds of
	// nodes elsewhere. Each round to all of them takes longer the more they are; were a loss
	// nearby to show after some of these rounds only, callers would be sent to the dead node
	// for many seconds.
	It("lose one nearby as soon with hundreds of others elsewhere", func() {
		a, b := start(own(71), 1), start(own(72), 1)
		a.Add(b.ip)
		a.Add(elsewhere(200)...)
		b.Add(elsewhere(200)...)
		Eventually(a.live, 2*time.Second).Should(Equal([]string{b.ip}))
		time.Sleep(time.Second)
		b.stop()
		Eventually(a.lostNodes, 1500*time.Millisecond).Should(Equal([]string{b.ip}))
	})

	// Guards against a node that restarts within a moment and hears of nobody for seconds: the
	// others take it for live and go on leaving out the addresses that it knew before.
	It("tell one that has restarted within a moment everything at once", func() {
		a, b := start(own(71), 1), start(own(72), 1)
		a.Add(b.ip)
		Eventually(a.live, time.Second).Should(ConsistOf(b.ip))
		Eventually(b.live, time.Second).Should(ConsistOf(a.ip))
		a.stop()
		time.Sleep(50 * time.Millisecond)
		again := start(a.ip, 2)
		again.Add(b.ip)
		Eventually(again.live, 500*time.Millisecond, 5*time.Millisecond).Should(ConsistOf(b.ip))
	})

	// All nodes start at once, and each knows the seeds only. A seed that answers with its
	// next round, which comes seconds later once it knows hundreds of nodes, keeps them from
	// serving for as long.
	It("answer one that they have not heard of at once", func() {
		a := startIn("far", own(81), 1)
		a.Add(elsewhere(300)...)
		time.Sleep(500 * time.Millisecond)
		b := start(own(82), 1)
		b.Add(a.ip)
		Eventually(b.live, 400*time.Millisecond, 10*time.Millisecond).Should(Equal([]string{a.ip}))
	})

	// New work is told at once: a node that learns of it a round later chooses the same
	// engine meanwhile.
	It("tell of new work before the next round", func() {
		a, b := start(own(31), 1), start(own(32), 1)
		a.Add(b.ip)
		Eventually(a.live, 2*time.Second).ShouldNot(BeEmpty())
		Eventually(b.live, 2*time.Second).ShouldNot(BeEmpty())
		before := b.heardCount()
		for range 5 {
			a.TellAll()
			time.Sleep(15 * time.Millisecond)
		}
		Expect(b.heardCount() - before).To(BeNumerically(">=", 3))
	})
})
