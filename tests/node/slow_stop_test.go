package node_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// slowWork are requests to endpoints that are as slow as endpoints may be.
type slowWork struct {
	path string
	// usage is the size that the requests state, none if empty.
	usage string
	// workTime is the time of a call; streams have 24 events of four tokens, one each interval.
	workTime, interval time.Duration
	// earlier is the number of requests before the node leaves.
	earlier int
}

// newSlowSite starts two nodes and endpoints for the work. Its routes allow 39 s.
func newSlowSite(w slowWork) (s *site, endpoints []*worker.Worker) {
	GinkgoHelper()
	s = newSite()
	s.adjust = func(document map[string]any) {
		for _, route := range document["routes"].([]map[string]any) {
			route["timeout_ms"] = 39000
		}
	}
	s.configure()
	for _, id := range []string{"0", "1", "2"} {
		app := s.startPlainWorker(worker.Options{ID: "app-" + id, WorkTime: w.workTime})
		s.register("app-"+id, "app", s.addresses["app-"+id], "ready")
		engine := s.startPlainWorker(worker.Options{ID: "engine-" + id, Events: 24, EventInterval: w.interval, KVStore: s.memory})
		s.register("engine-"+id, "pool", s.addresses["engine-"+id], "ready")
		endpoints = append(endpoints, app, engine)
	}
	s.start(2)
	return s, endpoints
}

// sendSlow sends a request of the work to the node.
func (s *site) sendSlow(node int, w slowWork) reply {
	header := http.Header{"Crocusreel-Deadline-Ms": {"39000"}}
	if w.usage != "" || w.interval > 0 {
		header["Crocusreel-Token-Usage"] = []string{w.usage}
	}
	if w.usage == "" {
		header["Crocusreel-Token-Usage"] = nil
	}
	return s.sendRequest(client, s.nodes[node], w.path, "body", header)
}

var _ = Describe("A node that leaves while its endpoints are slow", func() {
	// Guards against work that is passed on although it outlasts the node: streams that are cut off, and
	// calls whose outcome is unknown although another node could have run them.
	DescribeTable("passes on only what it completes", func(w slowWork) {
		s, endpoints := newSlowSite(w)
		var open sync.WaitGroup
		for range w.earlier {
			open.Go(func() { s.sendSlow(0, w) })
		}
		open.Wait()
		s.nodes[0].Terminate()
		var mu sync.Mutex
		var calls []stopCall
		began := time.Now()
		for time.Since(began) < gracePeriod {
			open.Go(func() {
				c := stopCall{sentAt: time.Since(began)}
				c.reply = s.sendSlow(0, w)
				c.took = time.Since(began) - c.sentAt
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
			time.Sleep(100 * time.Millisecond)
		}
		open.Wait()
		expectNoneCut(calls, endpoints...)
		expectPromptRefusals(calls)
		served := 0
		for _, c := range calls {
			Expect(c.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, 0), "sent %s after SIGTERM", c.sentAt)
			if c.status == http.StatusOK {
				served++
			}
		}
		Expect(served > 0).To(Equal(w.earlier > 0 && w.workTime < time.Second), "%d calls were served", served)
	},
		Entry("of a stream, at a node that has run none", slowWork{path: "/drafts/1", usage: "100,96", interval: 160 * time.Millisecond}),
		Entry("of a stream, at a node that has run some", slowWork{path: "/drafts/1", usage: "100,96", interval: 160 * time.Millisecond, earlier: 6, workTime: time.Second}),
		Entry("of a stream without a size", slowWork{path: "/drafts/1", interval: 160 * time.Millisecond, earlier: 6, workTime: time.Second}),
		Entry("of a stream that may be resumed", slowWork{path: "/notes/1", usage: "100,96", interval: 160 * time.Millisecond}),
		Entry("of a call, at a node that has run none", slowWork{path: "/bookings/1", workTime: 4 * time.Second}),
		Entry("of a call, at a node that has run some", slowWork{path: "/bookings/1", workTime: 4 * time.Second, earlier: 6}),
		Entry("of a call that ends in time", slowWork{path: "/bookings/1", workTime: 500 * time.Millisecond, earlier: 6}),
	)
})
