package node_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
)

// stopSeeds returns the seeds of the random runs with nodes that leave, as soakSeeds does.
func stopSeeds() []int {
	if os.Getenv("SOAK_SEEDS") != "" {
		return soakSeeds()
	}
	return []int{1, 2}
}

// stopNodes is the number of nodes of a random run.
const stopNodes = 4

// playStops makes some nodes leave at overlapping times, some of them told twice, and cuts one off from the
// endpoints for a while. It returns the loads to send meanwhile and their length.
func (s *site) playStops(random *rand.Rand) (loads []stopLoad, length time.Duration) {
	GinkgoHelper()
	length = gracePeriod + time.Second
	after := func(at time.Duration, act func()) { DeferCleanup(time.AfterFunc(at, act).Stop) }
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	for i := range 1 + random.IntN(stopNodes-1) {
		n := s.nodes[i]
		at := between(0, time.Second)
		after(at, n.Terminate)
		if random.IntN(3) == 0 {
			after(at+between(0, gracePeriod), n.Terminate)
		}
	}
	if random.IntN(2) == 0 {
		n, at := s.nodes[random.IntN(stopNodes)], between(0, length)
		cut := []rig.Cut{rig.CutSilent, rig.CutReset}[random.IntN(2)]
		after(at, func() { s.cutOff(n, cut) })
		after(at+between(0, 3*time.Second), func() { s.cutOff(n, rig.NoCut) })
	}
	for i := range stopNodes {
		for _, path := range []string{"/bookings/1", "/calls/1"} {
			loads = append(loads, stopLoad{node: i, path: path, deadline: between(100*time.Millisecond, 4*time.Second), kept: random.IntN(2) == 0})
		}
	}
	return loads, length
}

var _ = Describe("a random run with nodes that leave", func() {
	for _, seed := range stopSeeds() {
		// Guards against calls that are cut off, or refused although they ran, by nodes that leave at
		// overlapping times while they hold streams, serve for each other and are cut off from endpoints.
		It(fmt.Sprintf("cuts off no call with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 7))
			s, apps, engine := newStopSite(stopNodes, time.Duration(1+random.IntN(900))*time.Millisecond)
			for i := range random.IntN(2 * stopNodes) {
				s.startStream(i%stopNodes, engine)
			}
			loads, length := s.playStops(random)
			for _, calls := range s.load(loads, length) {
				expectNoneCut(calls, apps...)
				Expect(calls).NotTo(BeEmpty())
			}
		})
	}
})
