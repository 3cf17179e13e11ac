package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

const (
	// contactBound is the time from the beginning of a cut after which callers of the nodes that are
	// cut off are served.
	contactBound = 3 * time.Second
	// maxFailedShare is the largest share of the first attempts at nodes that are cut off that may
	// fail from then on.
	maxFailedShare = 1.0 / 50
)

// reachSite is a site of nodes that can be cut off from the endpoints one by one.
type reachSite struct {
	*site
	apps, engines []*worker.Worker
}

// newReachSite starts nodes, three plain endpoints and three engines.
func newReachSite(nodes int) *reachSite {
	GinkgoHelper()
	s := &reachSite{site: newSite()}
	s.perProcess = true
	for i := range 3 {
		s.apps = append(s.apps, s.startApp(fmt.Sprintf("app-%d", i)))
		s.engines = append(s.engines, s.startEngine(fmt.Sprintf("engine-%d", i), 20))
	}
	s.start(nodes)
	for _, n := range s.nodes {
		s.expectCall(n)
	}
	return s
}

// attempts counts the first attempts of callers at one node and those that were served.
type attempts struct{ made, served int }

// play sends requests to each node, one every 15 ms, for the given time, and returns the counts by
// node. The requests that are open at the end are waited for.
func (s *reachSite) play(path string, length time.Duration) []attempts {
	GinkgoHelper()
	counts := make([]attempts, len(s.nodes))
	var mu sync.Mutex
	var open sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
		for i, n := range s.nodes {
			open.Go(func() {
				defer GinkgoRecover()
				r := s.send(n, path, "key")
				mu.Lock()
				defer mu.Unlock()
				counts[i].made++
				if r.status == http.StatusOK && r.complete {
					counts[i].served++
				}
			})
		}
	}
	open.Wait()
	return counts
}

// expectMostlyServed checks that nearly all first attempts at the node were served.
func expectMostlyServed(name string, a attempts) {
	GinkgoHelper()
	Expect(a.made).To(BeNumerically(">", 50), name)
	Expect(a.made-a.served).To(BeNumerically("<=", float64(a.made)*maxFailedShare), "%s: %d of %d served", name, a.served, a.made)
}

var _ = Describe("nodes that are cut off from all endpoints", func() {
	// Guards against callers that are refused because their node reaches no endpoint although others do.
	DescribeTable("serve their callers through a node that reaches them",
		func(cut rig.Cut, path string) {
			s := newReachSite(3)
			for _, n := range s.nodes[:2] {
				s.cutOff(n, cut)
			}
			s.play(path, contactBound)
			for i, a := range s.play(path, 2*time.Second) {
				expectMostlyServed(fmt.Sprintf("node %d", i), a)
			}
			for _, n := range s.nodes {
				Expect(n.ready()).To(BeTrue())
			}
		},
		Entry("silent, idempotent calls", rig.CutSilent, "/calls/1"),
		Entry("silent, non-idempotent calls", rig.CutSilent, "/bookings/1"),
		Entry("silent, streams", rig.CutSilent, "/drafts/1"),
		Entry("reset, idempotent calls", rig.CutReset, "/calls/1"),
		Entry("reset, non-idempotent calls", rig.CutReset, "/bookings/1"),
		Entry("reset, streams", rig.CutReset, "/drafts/1"),
		Entry("new connections reset, idempotent calls", rig.CutNew, "/calls/1"),
		Entry("new connections reset, non-idempotent calls", rig.CutNew, "/bookings/1"),
		Entry("new connections reset, streams", rig.CutNew, "/drafts/1"),
	)

	// Guards against callers that are led to nodes that reach no endpoint while others do.
	It("are not named to callers while others reach the endpoints, and are if none does", func() {
		s := newReachSite(3)
		s.cutOff(s.nodes[0], rig.CutReset)
		s.play("/calls/1", contactBound)
		cutOff := fmt.Sprintf("%s:%d", s.nodes[0].ip, callerPort)
		for _, n := range s.nodes {
			Expect(n.addresses()).NotTo(ContainElement(cutOff), n.ip)
			Expect(n.addresses()).To(HaveLen(2), n.ip)
		}
		for _, n := range s.nodes[1:] {
			s.cutOff(n, rig.CutReset)
		}
		s.play("/calls/1", contactBound)
		for _, n := range s.nodes {
			Expect(n.addresses()).To(HaveLen(3), n.ip)
		}
		for _, n := range s.nodes {
			s.cutOff(n, rig.NoCut)
		}
		s.play("/calls/1", time.Second)
		for i, a := range s.play("/calls/1", time.Second) {
			expectMostlyServed(fmt.Sprintf("node %d", i), a)
			Expect(s.nodes[i].addresses()).To(HaveLen(3))
		}
	})

	// Guards against requests that are refused as deadly because a node that is cut off takes refused
	// connections for the deaths of endpoints.
	It("do not count the requests of their callers as deadly", func() {
		s := newReachSite(3)
		s.play("/calls/1", 200*time.Millisecond)
		for range 3 {
			s.cutOff(s.nodes[0], rig.CutReset)
			s.play("/calls/1", 400*time.Millisecond)
			s.cutOff(s.nodes[0], rig.NoCut)
			time.Sleep(500 * time.Millisecond)
		}
		for _, n := range s.nodes {
			Expect(readFile(s.dir, n.ip+".log")).NotTo(ContainSubstring("endpoint died of a request"), n.ip)
		}
	})
})
