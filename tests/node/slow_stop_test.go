package node_test

import (
	"fmt"
	"math/rand/v2"
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

// sendSlowUntil sends requests of the work to the node every interval, for the given time, and returns them with the
// times since began.
func (s *site) sendSlowUntil(began time.Time, length, interval time.Duration, node int, w slowWork) []stopCall {
	var open sync.WaitGroup
	var mu sync.Mutex
	var calls []stopCall
	for time.Since(began) < length {
		open.Go(func() {
			c := stopCall{sentAt: time.Since(began)}
			c.reply = s.sendSlow(node, w)
			c.took = time.Since(began) - c.sentAt
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
		time.Sleep(interval)
	}
	open.Wait()
	return calls
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
		calls := s.sendSlowUntil(time.Now(), gracePeriod, 100*time.Millisecond, 0, w)
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

var _ = Describe("a random run with nodes that leave while their endpoints are slow", func() {
	for _, seed := range stopSeeds() {
		// Guards against work that is passed on although it outlasts the node, with other work at the same
		// time, nodes that leave one after the other and a signal that comes twice.
		It(fmt.Sprintf("cuts off nothing with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 11))
			between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
			base := slowWork{workTime: between(50*time.Millisecond, 6*time.Second), interval: between(5*time.Millisecond, 200*time.Millisecond)}
			var all []slowWork
			for _, path := range []string{"/bookings/1", "/calls/1", "/drafts/1", "/notes/1"} {
				w := base
				w.path = path
				if random.IntN(3) > 0 {
					w.usage = "100,96"
				}
				all = append(all, w)
			}
			s, endpoints := newSlowSite(base)
			var open sync.WaitGroup
			for range random.IntN(9) {
				for _, w := range all {
					open.Go(func() { s.sendSlow(0, w) })
				}
			}
			if random.IntN(2) == 0 {
				open.Wait()
			}
			began := time.Now()
			s.nodes[0].Terminate()
			second, again := between(0, 6*time.Second), between(0, gracePeriod)
			DeferCleanup(time.AfterFunc(again, s.nodes[0].Terminate).Stop)
			DeferCleanup(time.AfterFunc(second, s.nodes[1].Terminate).Stop)
			for node := range s.nodes {
				for _, w := range all {
					open.Go(func() {
						defer GinkgoRecover()
						calls := s.sendSlowUntil(began, second+gracePeriod, 200*time.Millisecond, node, w)
						expectNoneCut(calls, endpoints...)
						for _, c := range calls {
							leavesAt := time.Duration(node) * second
							if c.sentAt > leavesAt {
								Expect(c.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, 0), "%s sent %s after SIGTERM", w.path, c.sentAt-leavesAt)
							}
						}
					})
				}
			}
			open.Wait()
		})
	}
})
