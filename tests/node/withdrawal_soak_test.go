package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

const (
	// partialBound is the platform's bound for a withdrawal, which holds while single nodes have lost
	// the store or stand still.
	partialBound = 2 * time.Second
	// lapseFrom is the least length of an outage in which entries of living endpoints expire.
	lapseFrom = 2400 * time.Millisecond
)

// loss is a kind of trouble at the store or at nodes, for a given time.
type loss struct {
	name string
	// whole is set if no node has the store meanwhile.
	whole bool
	begin func(s *outageSite, r *rand.Rand)
	end   func(s *outageSite)
}

func healAll(s *outageSite) {
	for i := range s.nodes {
		Expect(s.storeLink(i).Heal()).To(Succeed())
	}
}

// someNodes begins a fault of the store's link at some nodes, the reader among them.
func someNodes(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, r *rand.Rand) {
		for i := range 1 + r.IntN(len(s.nodes)-1) {
			fail(s.storeLink(i))
		}
	}
}

func allNodes(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, _ *rand.Rand) {
		for i := range s.nodes {
			fail(s.storeLink(i))
		}
	}
}

func silence(l *rig.Link) { Expect(l.Stall(rig.Downstream)).To(Succeed()) }

func losses() []loss {
	return []loss{
		{name: "all refused", whole: true, begin: allNodes((*rig.Link).Cut), end: healAll},
		{name: "all silent", whole: true, begin: allNodes(silence), end: healAll},
		{name: "some refused", begin: someNodes((*rig.Link).Cut), end: healAll},
		{name: "some silent", begin: someNodes(silence), end: healAll},
		{
			name:  "reader frozen",
			begin: func(s *outageSite, _ *rand.Rand) { s.nodes[0].Freeze() },
			end:   func(s *outageSite) { s.nodes[0].Thaw() },
		},
		{
			name:  "reader killed",
			begin: func(s *outageSite, _ *rand.Rand) { s.nodes[0].Kill() },
			end:   func(s *outageSite) { Expect(s.nodes[0].Start()).To(Succeed()) },
		},
		{
			name: "history dropped",
			begin: func(s *outageSite, _ *rand.Rand) {
				Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{DropHistory: true})).To(Succeed())
			},
			end: func(*outageSite) {},
		},
	}
}

var _ = Describe("random losses, and endpoints that withdraw after them", func() {
	for _, seed := range soakSeeds() {
		// Guards against withdrawals taken for consequences of a loss, and living endpoints given up
		// for one, at any moment after two losses of any kind in series.
		It(fmt.Sprintf("keep the bounds with seed %d", seed), func() {
			r := rand.New(rand.NewPCG(uint64(seed), 2))
			s := newOutageSite()
			endpoints := make(map[string]*withdrawal)
			for round := range 2 {
				for i := range 4 {
					id := fmt.Sprintf("withdraws-%d-%d", round, i)
					endpoints[id] = &withdrawal{id: id, worker: s.busyApp(id)}
				}
				s.busyApp(fmt.Sprintf("lapses-%d", round))
			}
			s.load()
			time.Sleep(2 * time.Second) // until what they knew at the start is settled
			for round := range 2 {
				s.randomLoss(r, endpoints, round)
			}
		})
	}
})

// randomLoss plays a loss, withdraws endpoints after it, and brings back the entry of one that
// lapsed in it.
func (s *outageSite) randomLoss(r *rand.Rand, endpoints map[string]*withdrawal, round int) {
	GinkgoHelper()
	l := losses()[r.IntN(len(losses()))]
	length := 500*time.Millisecond + time.Duration(r.IntN(4000))*time.Millisecond
	bound := partialBound
	if l.whole {
		bound = withdrawalBound
	}
	lapsed := fmt.Sprintf("lapses-%d", round)
	back := time.Duration(r.IntN(1900)) * time.Millisecond
	lapses := l.whole && length >= lapseFrom
	By(fmt.Sprintf("round %d: %s for %s, an entry lapses: %t, back after %s", round, l.name, length, lapses, back))
	l.begin(s, r)
	time.Sleep(length)
	if lapses {
		s.remove(lapsed)
	}
	l.end(s)
	s.returned = time.Now()
	var changes sync.WaitGroup
	for i := range 4 {
		w := endpoints[fmt.Sprintf("withdraws-%d-%d", round, i)]
		w.at = time.Duration(r.IntN(4000)) * time.Millisecond
		By(fmt.Sprintf("%s withdraws %s after it", w.id, w.at))
		changes.Go(func() { s.withdraw(w, bound) })
	}
	if lapses {
		changes.Go(func() {
			time.Sleep(time.Until(s.returned.Add(back)))
			s.registerBusy(lapsed)
		})
	}
	changes.Wait()
	time.Sleep(1500 * time.Millisecond)
	for i := range 4 {
		w := endpoints[fmt.Sprintf("withdraws-%d-%d", round, i)]
		Expect(len(w.worker.Runs())).To(Equal(w.allowed), "calls to %s later than %s after it withdrew, %s after %s", w.id, bound, w.at, l.name)
	}
	for _, n := range s.nodes {
		Expect(s.givenUp(n, lapsed)).To(BeFalse(), "%s gave up %s, back %s after %s of %s", n.ip, lapsed, back, length, l.name)
	}
}
