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
	// partialBound is the platform's bound for a withdrawal while only some nodes have lost the store or
	// are frozen or killed.
	partialBound = 2 * time.Second
	// lapseFrom is the minimum length of an outage in which the spec lets the entry of a live endpoint
	// expire.
	lapseFrom = 2400 * time.Millisecond
)

// loss is a kind of fault of the store, of its links or of nodes; it lasts from begin to end.
type loss struct {
	name string
	// whole is set if no node can reach the store during the fault.
	whole bool
	begin func(s *outageSite, r *rand.Rand)
	end   func(s *outageSite)
}

// healAll removes the faults of all nodes' links to the store.
func healAll(s *outageSite) {
	for i := range s.nodes {
		Expect(s.storeLink(i).Heal()).To(Succeed())
	}
}

// someNodes returns a function that applies fail to the store links of some nodes, but not all. The
// reader, node 0, is always among them.
func someNodes(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, r *rand.Rand) {
		for i := range 1 + r.IntN(len(s.nodes)-1) {
			fail(s.storeLink(i))
		}
	}
}

// allNodes returns a function that applies fail to the store links of all nodes.
func allNodes(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, _ *rand.Rand) {
		for i := range s.nodes {
			fail(s.storeLink(i))
		}
	}
}

// silence holds back all bytes from the store.
func silence(l *rig.Link) { Expect(l.Stall(rig.Downstream)).To(Succeed()) }

// losses returns the faults from which a random run chooses.
func losses() []loss {
	return []loss{
		{name: "store connections of all nodes refused", whole: true, begin: allNodes((*rig.Link).Cut), end: healAll},
		{name: "store connections of all nodes silent", whole: true, begin: allNodes(silence), end: healAll},
		{name: "store connections of some nodes refused", begin: someNodes((*rig.Link).Cut), end: healAll},
		{name: "store connections of some nodes silent", begin: someNodes(silence), end: healAll},
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

var _ = Describe("withdrawals of endpoints after random losses of the store or of nodes", func() {
	for _, seed := range soakSeeds() {
		// Guards against withdrawals that are mistaken for entries that expired in a loss, and against live
		// endpoints that are dropped because of one, at any time after two losses of any kind in series.
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
			time.Sleep(2 * time.Second) // until the grace period after the nodes' start is over
			for round := range 2 {
				s.randomLoss(r, endpoints, round)
			}
		})
	}
})

// randomLoss plays a random loss and withdraws four endpoints at random times after it. If entries
// expire in the loss, it also lets that of a live endpoint expire and writes it again after the loss.
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
	By(fmt.Sprintf("round %d: %s for %s, an entry expires: %t, written again after %s", round, l.name, length, lapses, back))
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
		By(fmt.Sprintf("%s withdraws %s after the end of the loss", w.id, w.at))
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
		Expect(len(w.worker.Runs())).To(Equal(w.allowed), "runs at %s later than %s after its withdrawal, which was %s after the end of: %s", w.id, bound, w.at, l.name)
	}
	for _, n := range s.nodes {
		Expect(s.givenUp(n, lapsed)).To(BeFalse(), "node %s dropped live endpoint %s, whose entry returned %s after the end of a loss (%s of: %s)", n.ip, lapsed, back, length, l.name)
	}
}
