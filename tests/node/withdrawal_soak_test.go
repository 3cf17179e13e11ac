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
	// partialOutageBound is the platform's bound for a withdrawal while only some nodes have lost the
	// store or are frozen or killed.
	partialOutageBound = 2 * time.Second
	// minExpiryOutage is the minimum length of an outage in which the spec lets the entry of a live
	// endpoint expire.
	minExpiryOutage = 2400 * time.Millisecond
)

// faultKind is a kind of fault of the store, of its links or of nodes; it lasts from begin to end.
type faultKind struct {
	name string
	// storeUnreachable is set if no node can reach the store during the fault.
	storeUnreachable bool
	begin            func(s *outageSite, r *rand.Rand)
	end              func(s *outageSite)
}

// healStoreLinks removes the faults of all nodes' links to the store.
func healStoreLinks(s *outageSite) {
	for i := range s.nodes {
		Expect(s.storeLink(i).Heal()).To(Succeed())
	}
}

// failSomeStoreLinks returns a function that applies fail to the store links of some nodes, but not
// all. The reader, node 0, is always among them.
func failSomeStoreLinks(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, r *rand.Rand) {
		for i := range 1 + r.IntN(len(s.nodes)-1) {
			fail(s.storeLink(i))
		}
	}
}

// failAllStoreLinks returns a function that applies fail to the store links of all nodes.
func failAllStoreLinks(fail func(*rig.Link)) func(*outageSite, *rand.Rand) {
	return func(s *outageSite, _ *rand.Rand) {
		for i := range s.nodes {
			fail(s.storeLink(i))
		}
	}
}

// stallDownstream holds back all bytes from the store.
func stallDownstream(l *rig.Link) { Expect(l.Stall(rig.Downstream)).To(Succeed()) }

// faultKinds returns the faults from which a random run chooses.
func faultKinds() []faultKind {
	return []faultKind{
		{name: "store connections of all nodes refused", storeUnreachable: true, begin: failAllStoreLinks((*rig.Link).Cut), end: healStoreLinks},
		{name: "store connections of all nodes silent", storeUnreachable: true, begin: failAllStoreLinks(stallDownstream), end: healStoreLinks},
		{name: "store connections of some nodes refused", begin: failSomeStoreLinks((*rig.Link).Cut), end: healStoreLinks},
		{name: "store connections of some nodes silent", begin: failSomeStoreLinks(stallDownstream), end: healStoreLinks},
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

var _ = Describe("withdrawals of endpoints after random faults of the store or of nodes", func() {
	for _, seed := range soakSeeds() {
		// Guards against withdrawals that are mistaken for entries that expired in a fault, and against
		// live endpoints that are dropped because of one, at any time after two faults of any kind in
		// series.
		It(fmt.Sprintf("keep the bounds with seed %d", seed), func() {
			r := rand.New(rand.NewPCG(uint64(seed), 2))
			s := newOutageSite()
			endpoints := make(map[string]*withdrawal)
			for round := range 2 {
				for i := range 4 {
					id := fmt.Sprintf("withdraws-%d-%d", round, i)
					endpoints[id] = &withdrawal{id: id, worker: s.startSlowApp(id)}
				}
				s.startSlowApp(fmt.Sprintf("lapses-%d", round))
			}
			s.startUnderLoad()
			time.Sleep(2 * time.Second) // until the grace period after the nodes' start is over
			for round := range 2 {
				s.playRandomFault(r, endpoints, round)
			}
		})
	}
})

// playRandomFault injects a random fault and withdraws four endpoints at random times after it. If
// entries expire during the fault, it also lets that of a live endpoint expire and writes it again
// afterwards.
func (s *outageSite) playRandomFault(r *rand.Rand, endpoints map[string]*withdrawal, round int) {
	GinkgoHelper()
	l := faultKinds()[r.IntN(len(faultKinds()))]
	length := 500*time.Millisecond + time.Duration(r.IntN(4000))*time.Millisecond
	bound := partialOutageBound
	if l.storeUnreachable {
		bound = withdrawalBound
	}
	expiredID := fmt.Sprintf("lapses-%d", round)
	returnDelay := time.Duration(r.IntN(1900)) * time.Millisecond
	expires := l.storeUnreachable && length >= minExpiryOutage
	By(fmt.Sprintf("round %d: %s for %s, an entry expires: %t, written again after %s", round, l.name, length, expires, returnDelay))
	l.begin(s, r)
	time.Sleep(length)
	if expires {
		s.removeEntry(expiredID)
	}
	l.end(s)
	s.recoveredAt = time.Now()
	var changes sync.WaitGroup
	for i := range 4 {
		w := endpoints[fmt.Sprintf("withdraws-%d-%d", round, i)]
		w.delay = time.Duration(r.IntN(4000)) * time.Millisecond
		By(fmt.Sprintf("%s withdraws %s after the end of the fault", w.id, w.delay))
		changes.Go(func() { s.withdraw(w, bound) })
	}
	if expires {
		changes.Go(func() {
			time.Sleep(time.Until(s.recoveredAt.Add(returnDelay)))
			s.registerSlowApp(expiredID)
		})
	}
	changes.Wait()
	time.Sleep(1500 * time.Millisecond)
	for i := range 4 {
		w := endpoints[fmt.Sprintf("withdraws-%d-%d", round, i)]
		Expect(len(w.worker.Runs())).To(Equal(w.runsAtBound), "runs at %s later than %s after its withdrawal, which was %s after the end of: %s", w.id, bound, w.delay, l.name)
	}
	for _, n := range s.nodes {
		Expect(s.hasDropped(n, expiredID)).To(BeFalse(), "node %s dropped live endpoint %s, whose entry returned %s after the end of a fault (%s of: %s)", n.ip, expiredID, returnDelay, length, l.name)
	}
}
