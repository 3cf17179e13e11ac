package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// strikeLimit is the number of endpoints that may die of one request.
const strikeLimit = 3

// callerWay is the time between the loss of an answer and the same caller's next request at
// another node: three ways of 3 ms and more between it and the nodes, while news between
// nodes takes 1.5 ms. These are the distances of the brief; on loopback all ways take nothing.
const callerWay = 10 * time.Millisecond

// deadlyEngines registers engines that die of each request, and starts the nodes.
func deadlyEngines(engines, nodes int) (*site, func() int) {
	GinkgoHelper()
	s := newSite()
	var all []*worker.Worker
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		w, err := worker.Start(worker.Options{
			ID: id, Events: 20, KVStore: s.memory, FaultOf: func(*worker.Run) worker.Fault { return worker.Crash },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.Stop)
		s.register(id, "pool", w.Address(), "ready")
		all = append(all, w)
	}
	s.start(nodes)
	return s, func() int {
		deaths := 0
		for _, w := range all {
			deaths += len(w.Runs())
		}
		return deaths
	}
}

var _ = Describe("a request that kills each engine that runs it", func() {
	// Its caller sends it again as soon as it is lost, to another node each time. Were each
	// node to count only the deaths that it saw, three nodes would let it kill nine engines.
	It("is stopped at the bound wherever it is sent next", func() {
		s, deaths := deadlyEngines(10, 3)
		for i := range 10 {
			s.send(s.nodes[i%3], "/drafts/1", "key")
			time.Sleep(callerWay)
		}
		Expect(deaths()).To(Equal(strikeLimit))
		for _, n := range s.nodes {
			Expect(s.send(n, "/drafts/1", "key").status).To(Equal(http.StatusServiceUnavailable), n.ip)
		}
	})

	// After its first death its caller sends it to all nodes at once, several times. All of
	// these copies are under way before any of their deaths is known: each would kill an
	// engine of its own, and take the answers beside it along.
	It("runs at no more engines at once than it may still kill", func() {
		s, deaths := deadlyEngines(10, 3)
		s.send(s.nodes[0], "/drafts/1", "key")
		Expect(deaths()).To(Equal(1))
		time.Sleep(callerWay)
		var copies sync.WaitGroup
		for i := range 9 {
			copies.Go(func() { s.send(s.nodes[i%3], "/drafts/1", "key") })
		}
		copies.Wait()
		Expect(deaths()).To(Equal(strikeLimit))
	})
})
