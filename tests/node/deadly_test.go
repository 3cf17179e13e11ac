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

// callerRetryDelay is the time from the loss of an answer until the same caller's next request
// reaches another node: three one-way trips of at least 3 ms each between caller and nodes, whereas
// updates between nodes take 1.5 ms. These are the latencies in the requirements; loopback has
// none.
const callerRetryDelay = 10 * time.Millisecond

// newSiteWithCrashingEngines starts and registers engines that crash on every request, then starts
// the nodes. It returns a function that counts the engines that crashed.
func newSiteWithCrashingEngines(engines, nodes int) (*site, func() int) {
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
			if len(w.Runs()) > 0 {
				deaths++
			}
		}
		return deaths
	}
}

var _ = Describe("a request that kills each engine that runs it", func() {
	// Guards against a caller that retries a lost request at another node each time: if each node
	// counted only the crashes that it saw itself, three nodes would let it kill nine engines.
	It("is refused at every node once it has killed three engines", func() {
		s, deaths := newSiteWithCrashingEngines(10, 3)
		for i := range 10 {
			s.send(s.nodes[i%3], "/drafts/1", "key")
			time.Sleep(callerRetryDelay)
		}
		Expect(deaths()).To(Equal(strikeLimit))
		for _, n := range s.nodes {
			Expect(s.send(n, "/drafts/1", "key").status).To(Equal(http.StatusServiceUnavailable), n.ip)
		}
	})

	// Guards against several copies of the request that are sent to all nodes at once after its first
	// crash. All of them are in flight before any further crash is known: each could kill another
	// engine together with the other answers of that engine.
	It("runs concurrently on no more engines than it may still kill", func() {
		s, deaths := newSiteWithCrashingEngines(10, 3)
		s.send(s.nodes[0], "/drafts/1", "key")
		Expect(deaths()).To(Equal(1))
		time.Sleep(callerRetryDelay)
		var copies sync.WaitGroup
		for i := range 9 {
			copies.Go(func() { s.send(s.nodes[i%3], "/drafts/1", "key") })
		}
		copies.Wait()
		Expect(deaths()).To(Equal(strikeLimit))
	})
})
