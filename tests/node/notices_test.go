package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

// The users' bound on limits: in any limitWindow, all nodes together send an endpoint at most
// limitFactor times its limit plus limitSlack requests, from limitNoticeDelay after a node got an
// answer that reports the limit.
const (
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	limitNoticeDelay = 500 * time.Millisecond
	// limitTestDuration is how long callers send requests in a spec.
	limitTestDuration = limitNoticeDelay + limitWindow + time.Second
)

// maxArrivalsWithin returns the maximum number of arrivals within any window, counting only those
// after the given time.
func maxArrivalsWithin(w *worker.Worker, after time.Time, window time.Duration) int {
	var late []time.Time
	for _, a := range w.Arrivals() {
		if a.At.After(after) {
			late = append(late, a.At)
		}
	}
	most, from := 0, 0
	for to := range late {
		for late[to].Sub(late[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// failEvery returns a fault function that makes every n-th request fail.
func failEvery(n int) func(*worker.Run) worker.Fault {
	var requests atomic.Int32
	return func(*worker.Run) worker.Fault {
		if int(requests.Add(1))%n == 0 {
			return worker.Fail
		}
		return worker.None
	}
}

// generateLoad runs the given number of concurrent callers at each node for the given duration and
// returns all replies. Each caller pauses between its requests, whose paths start with path.
func (s *site) generateLoad(path string, callers int, pause, duration time.Duration) []reply {
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for _, n := range s.nodes {
		for range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := 0; time.Now().Before(end); i++ {
					r := s.send(n, fmt.Sprintf("%sx%d", path, i), "key")
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	return replies
}

// maxAllowed returns the maximum number of requests within limitWindow to an endpoint that reports
// a limit of perSecond.
func maxAllowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

var _ = Describe("an endpoint that reports a limit", func() {
	const perSecond = 3.0
	announceLimit := func(w *worker.Worker) { w.SetNotice("Server-Limit", fmt.Sprint(perSecond)) }

	// Guards against first attempts that exceed the limit at all nodes together.
	DescribeTable("gets no more from all nodes together", func(path string) {
		s := newSite()
		s.startApp("i1")
		i2 := s.startApp("i2")
		s.start(3)
		announceLimit(i2)
		began := time.Now()
		replies := s.generateLoad(path, 4, 20*time.Millisecond, limitTestDuration)
		Expect(maxArrivalsWithin(i2, began.Add(limitNoticeDelay), limitWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
		for _, r := range replies {
			Expect(r.status).To(Equal(http.StatusOK))
		}
	},
		Entry("for idempotent calls", "/calls/"),
		Entry("for calls that are not idempotent", "/bookings/"),
	)

	// Guards against retries that ignore the limit.
	It("gets no more by retries", func() {
		s := newSite()
		failing, err := worker.Start(worker.Options{ID: "i1", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(failing.Stop)
		s.register("i1", "app", failing.Address(), "ready")
		i2 := s.startApp("i2")
		s.start(3)
		announceLimit(i2)
		began := time.Now()
		s.generateLoad("/calls/", 4, 20*time.Millisecond, limitTestDuration)
		Expect(maxArrivalsWithin(i2, began.Add(limitNoticeDelay), limitWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
	})

	// Guards against queued work that is sent in a burst, and against callers that wait for an
	// endpoint that cannot take their request.
	It("gets no more if it is the only endpoint, and the rest is refused as not run", func() {
		s := newSite()
		i1 := s.startApp("i1")
		s.start(3)
		announceLimit(i1)
		began := time.Now()
		replies := s.generateLoad("/bookings/", 4, 20*time.Millisecond, limitTestDuration)
		Expect(maxArrivalsWithin(i1, began.Add(limitNoticeDelay), limitWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
		served := 0
		for _, r := range replies {
			if r.status == http.StatusOK {
				served++
				continue
			}
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.body).To(ContainSubstring(`"not_run"`))
		}
		// At least half of the limit is used.
		Expect(served).To(BeNumerically(">=", int(perSecond*limitTestDuration.Seconds()/2)))
	})

	// Guards against new streams that exceed the limit of an engine.
	It("gets no more streams", func() {
		s := newSite()
		s.startEngine("e1", 5)
		e2 := s.startEngine("e2", 5)
		s.start(3)
		announceLimit(e2)
		began := time.Now()
		s.generateLoad("/drafts/", 4, 20*time.Millisecond, limitTestDuration)
		Expect(maxArrivalsWithin(e2, began.Add(limitNoticeDelay), limitWindow)).To(BeNumerically("<=", maxAllowed(perSecond)))
	})

	// Guards against a limit that is applied after the endpoint has stopped reporting it.
	It("gets its share again once it reports none", func() {
		s := newSite()
		s.startApp("i1")
		i2 := s.startApp("i2")
		s.start(3)
		announceLimit(i2)
		s.generateLoad("/calls/", 2, 20*time.Millisecond, time.Second)
		i2.SetNotice("Server-Limit", "")
		s.generateLoad("/calls/", 2, 20*time.Millisecond, 3*time.Second)
		before := len(i2.Arrivals())
		replies := s.generateLoad("/calls/", 2, 20*time.Millisecond, 2*time.Second)
		Expect(len(i2.Arrivals()) - before).To(BeNumerically(">", len(replies)/4))
	})
})

var _ = Describe("an endpoint that announces in its answers that it leaves", func() {
	// noticePropagation is the time after which all nodes must act on a notice that one of them
	// received.
	const noticePropagation = 500 * time.Millisecond

	// awaitNotice sends requests through one node until one of them has reached the endpoint and was
	// answered, then waits noticePropagation.
	awaitNotice := func(s *site, n *nodeProcess, w *worker.Worker, path string) {
		GinkgoHelper()
		before := len(w.Arrivals())
		Eventually(func() int {
			s.send(n, path, "key")
			return len(w.Arrivals())
		}, 5*time.Second).Should(BeNumerically(">", before))
		time.Sleep(noticePropagation)
	}

	// Guards against requests to a plain endpoint that is about to stop although its entry does not
	// announce that.
	It("gets no more requests from any node, whatever its entry says", func() {
		s := newSite()
		s.startApp("i1")
		i2 := s.startApp("i2")
		s.start(3)
		i2.SetNotice("Server-Leaving", "1")
		awaitNotice(s, s.nodes[0], i2, "/calls/x")
		Expect(s.countRunsAt(i2)()).To(BeZero())
		s.register("i2", "app", i2.Address(), "ready")
		time.Sleep(propagationBound)
		Expect(s.countRunsAt(i2)()).To(BeZero())
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "i2", Delete: true})
		time.Sleep(propagationBound)
		s.register("i2", "app", i2.Address(), "ready")
		time.Sleep(propagationBound)
		Expect(s.countRunsAt(i2)()).To(BeZero())
		// A new incarnation under the same ID is used again.
		i2.SetNotice("Server-Leaving", "")
		s.registerStartedAt("i2", "app", i2.Address(), "ready", time.Now().UnixMilli())
		Eventually(s.countRunsAt(i2)).Should(BeNumerically(">", 0))
	})

	// Guards against new streams for an engine that leaves, and against streams that are lost with it.
	It("gets no new streams, and its running streams migrate", func() {
		s := newSite()
		e1 := s.startEngine("e1", 300)
		e2 := s.startEngine("e2", 300)
		s.start(1)
		e1.SetNotice("Server-Leaving", "1")
		answers := make(chan reply, 50)
		sent := 0
		Eventually(func() int {
			sent++
			go func() {
				defer GinkgoRecover()
				answers <- s.send(s.nodes[0], "/drafts/x", "key")
			}()
			time.Sleep(100 * time.Millisecond)
			return len(e1.Runs())
		}, 4*time.Second).Should(Equal(1))
		time.Sleep(noticePropagation)
		before := len(e1.Arrivals())
		for range 6 {
			sent++
			go func() {
				defer GinkgoRecover()
				answers <- s.send(s.nodes[0], "/drafts/y", "key")
			}()
		}
		for range sent {
			var got reply
			Eventually(answers, 10*time.Second).Should(Receive(&got))
			Expect(got.complete).To(BeTrue())
			Expect(got.body).To(ContainSubstring("id: 300\n"))
		}
		Expect(e1.Arrivals()).To(HaveLen(before))
		Expect(e1.MoveTargets()).To(ContainElement(s.addresses["e2"]))
		Expect(e2.Runs()).NotTo(BeEmpty())
	})
})

var _ = Describe("an endpoint that refuses and asks for a pause", func() {
	// The users' bound on pauses: at most maxRequests requests from noticeDelay after the refusal
	// until the end of the pause.
	const (
		pause       = 3 * time.Second
		noticeDelay = 500 * time.Millisecond
		maxRequests = 2
		// callInterval is the interval between calls. At this rate, refusals without a pause do not take
		// the endpoint out of use.
		callInterval = 120 * time.Millisecond
	)
	// arrivalsDuringPause returns the number of requests that reached a worker from noticeDelay after
	// its first refusal until the end of its pause.
	arrivalsDuringPause := func(w *worker.Worker) int {
		GinkgoHelper()
		Expect(w.Arrivals()).NotTo(BeEmpty())
		first, n := w.Arrivals()[0].At, 0
		for _, a := range w.Arrivals() {
			if since := a.At.Sub(first); since > noticeDelay && since < pause {
				n++
			}
		}
		return n
	}

	// Guards against requests that are still sent to an overloaded endpoint, and are served elsewhere
	// only after it has refused them.
	DescribeTable("gets at most two requests during the pause", func(path string, failureInterval int) {
		s := newSite()
		w, err := worker.Start(worker.Options{ID: "i1", FaultOf: failEvery(failureInterval)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.Stop)
		s.register("i1", "app", w.Address(), "ready")
		i2 := s.startApp("i2")
		s.start(1)
		i2.Pause("3")
		s.generateLoad(path, 1, callInterval, pause+noticeDelay)
		Expect(arrivalsDuringPause(i2)).To(BeNumerically("<=", maxRequests))
	},
		Entry("for idempotent calls", "/calls/", 2),
		Entry("for calls that are not idempotent", "/bookings/", 2),
		Entry("for retries while the other endpoint fails", "/calls/", 1),
	)

	// Guards against callers that wait for a paused endpoint, against requests that are sent to it
	// before the pause is over, and against a pause that does not end.
	It("has its callers refused at once if it is the only endpoint, and served after the pause", func() {
		s := newSite()
		i1 := s.startApp("i1")
		s.start(1)
		i1.Pause("3")
		first := s.send(s.nodes[0], "/bookings/x", "key")
		Expect(first.status).To(Equal(http.StatusServiceUnavailable))
		i1.Pause("")
		for range 10 {
			began := time.Now()
			r := s.send(s.nodes[0], "/bookings/x", "key")
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.body).To(ContainSubstring(`"not_run"`))
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		}
		Expect(i1.Arrivals()).To(HaveLen(1))
		time.Sleep(pause)
		Expect(s.send(s.nodes[0], "/bookings/x", "key").status).To(Equal(http.StatusOK))
	})

	// Guards against new streams for an engine that asked for a pause.
	It("gets at most two new streams during the pause", func() {
		s := newSite()
		w, err := worker.Start(worker.Options{ID: "e1", Events: 5, KVStore: s.memory, FaultOf: failEvery(2)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.Stop)
		s.register("e1", "pool", w.Address(), "ready")
		e2 := s.startEngine("e2", 5)
		s.start(1)
		e2.Pause("3")
		s.generateLoad("/drafts/", 1, callInterval, pause+noticeDelay)
		Expect(arrivalsDuringPause(e2)).To(BeNumerically("<=", maxRequests))
	})
})
