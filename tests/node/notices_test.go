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

// Figures of the users' rule on limits: half as much again and five requests in four seconds,
// from half a second after a node was told.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitKnown  = 500 * time.Millisecond
	// limitRun is how long callers ask in a spec.
	limitRun = limitKnown + limitWindow + time.Second
)

// mostWithin returns the most arrivals after the given time within one window.
func mostWithin(w *worker.Worker, after time.Time, window time.Duration) int {
	var late []time.Time
	for _, at := range w.Arrivals() {
		if at.After(after) {
			late = append(late, at)
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

// press sends requests through all nodes from several callers each until the time is over, and
// returns the replies.
func (s *site) press(path string, callers int, pause, length time.Duration) []reply {
	var mu sync.Mutex
	var replies []reply
	var all sync.WaitGroup
	end := time.Now().Add(length)
	for _, n := range s.nodes {
		for range callers {
			all.Go(func() {
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
	all.Wait()
	return replies
}

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

var _ = Describe("an endpoint that names a limit", func() {
	const perSecond = 3.0
	limited := func(w *worker.Worker) { w.Say("Server-Limit", fmt.Sprint(perSecond)) }

	// Guards against first sendings beyond what the endpoint takes from all nodes together.
	DescribeTable("gets no more from all nodes together", func(path string) {
		s := newSite()
		s.app("i1")
		i2 := s.app("i2")
		s.start(3)
		limited(i2)
		began := time.Now()
		replies := s.press(path, 4, 20*time.Millisecond, limitRun)
		Expect(mostWithin(i2, began.Add(limitKnown), limitWindow)).To(BeNumerically("<=", allowed(perSecond)))
		for _, r := range replies {
			Expect(r.status).To(Equal(http.StatusOK))
		}
	},
		Entry("of calls that may be repeated", "/calls/"),
		Entry("of calls that may not", "/bookings/"),
	)

	// Guards against repeats that go to the endpoint whatever it has said.
	It("gets no more by repeats", func() {
		s := newSite()
		failing, err := worker.Start(worker.Options{ID: "i1", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(failing.Stop)
		s.register("i1", "app", failing.Address(), "ready")
		i2 := s.app("i2")
		s.start(3)
		limited(i2)
		began := time.Now()
		s.press("/calls/", 4, 20*time.Millisecond, limitRun)
		Expect(mostWithin(i2, began.Add(limitKnown), limitWindow)).To(BeNumerically("<=", allowed(perSecond)))
	})

	// Guards against waiting work that is let through together, and callers that are held in vain.
	It("gets no more where it is the only one, and the rest is refused as not run", func() {
		s := newSite()
		i1 := s.app("i1")
		s.start(3)
		limited(i1)
		began := time.Now()
		replies := s.press("/bookings/", 4, 20*time.Millisecond, limitRun)
		Expect(mostWithin(i1, began.Add(limitKnown), limitWindow)).To(BeNumerically("<=", allowed(perSecond)))
		served := 0
		for _, r := range replies {
			if r.status == http.StatusOK {
				served++
				continue
			}
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.body).To(ContainSubstring(`"not_run"`))
		}
		// At least half of what it takes is used.
		Expect(served).To(BeNumerically(">=", int(perSecond*limitRun.Seconds()/2)))
	})

	// Guards against new streams beyond the limit of an engine.
	It("gets no more streams", func() {
		s := newSite()
		s.engine("e1", 5)
		e2 := s.engine("e2", 5)
		s.start(3)
		limited(e2)
		began := time.Now()
		s.press("/drafts/", 4, 20*time.Millisecond, limitRun)
		Expect(mostWithin(e2, began.Add(limitKnown), limitWindow)).To(BeNumerically("<=", allowed(perSecond)))
	})

	// Guards against a limit that is kept after the endpoint has ended it.
	It("gets its share again once it names none", func() {
		s := newSite()
		s.app("i1")
		i2 := s.app("i2")
		s.start(3)
		limited(i2)
		s.press("/calls/", 2, 20*time.Millisecond, time.Second)
		i2.Say("Server-Limit", "")
		s.press("/calls/", 2, 20*time.Millisecond, 3*time.Second)
		before := len(i2.Arrivals())
		replies := s.press("/calls/", 2, 20*time.Millisecond, 2*time.Second)
		Expect(len(i2.Arrivals()) - before).To(BeNumerically(">", len(replies)/4))
	})
})
