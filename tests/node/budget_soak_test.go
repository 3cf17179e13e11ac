package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// budgetSoak disturbs a run at random: refusals in series, and kills, stops, pauses and outages that
// overlap.
type budgetSoak struct {
	*budgetRun
	random *rand.Rand
	// busy are the nodes that are being disturbed.
	busyMu sync.Mutex
	busy   map[int]bool
	events sync.WaitGroup
}

// disturb starts disturbances until the load is about to end, and ends them.
func (s *budgetSoak) disturb() {
	for end := time.Now().Add(s.quiet + s.refusals - time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
		pause := time.Duration(100+s.random.IntN(1500)) * time.Millisecond
		switch kind := s.random.IntN(6); kind {
		case 0:
			s.away(pause)
		case 1:
			s.accepting.Store(!s.accepting.Load())
		default:
			for range 1 + s.random.IntN(len(s.nodes)) {
				s.disturbNode(s.random.IntN(len(s.nodes)), kind, pause)
			}
		}
	}
	s.events.Wait()
}

// away makes the store unreachable for a while.
func (s *budgetSoak) away(pause time.Duration) {
	s.events.Go(func() {
		defer GinkgoRecover()
		ctx := GinkgoT().Context()
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{Unreachable: true})).To(Succeed())
		time.Sleep(pause)
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{})).To(Succeed())
	})
}

// disturbNode kills, stops or freezes a node for a while, unless it is disturbed already.
func (s *budgetSoak) disturbNode(i, kind int, pause time.Duration) {
	s.busyMu.Lock()
	defer s.busyMu.Unlock()
	if s.busy[i] {
		return
	}
	s.busy[i] = true
	n := s.nodes[i]
	s.events.Go(func() {
		defer GinkgoRecover()
		switch kind {
		case 2:
			n.Freeze()
			time.Sleep(pause)
			n.Thaw()
		case 3:
			n.Terminate()
			_, err := n.Wait(GinkgoT().Context())
			Expect(err).NotTo(HaveOccurred())
			Expect(n.Start()).To(Succeed())
		default:
			n.Kill()
			time.Sleep(pause / 4)
			Expect(n.Start()).To(Succeed())
		}
		s.busyMu.Lock()
		defer s.busyMu.Unlock()
		s.busy[i] = false
	})
}

var _ = Describe("a random run of endpoints that refuse", func() {
	for _, seed := range soakSeeds() {
		// Guards against retries beyond the budget of all nodes in any window, while nodes are killed,
		// stopped and frozen and the store goes away, in series and at the same time.
		It(fmt.Sprintf("keeps the retry budget with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 7))
			load := budgetLoad{window: 4 * time.Second, quiet: 6 * time.Second, refusals: 12 * time.Second, calls: 60}
			s := &budgetSoak{budgetRun: newBudgetRun(3+random.IntN(5), load), random: random, busy: make(map[int]bool)}
			s.load(s.disturb)
			repeats, allowed := s.worstWindow()
			Expect(float64(repeats)).To(BeNumerically("<=", allowed))
			for _, n := range s.nodes {
				s.expectCall(n)
			}
		})
	}
})
