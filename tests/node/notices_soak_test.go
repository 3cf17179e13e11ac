package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// noticeSoakDuration is the time during which faults are injected and endpoints change their
	// notices.
	noticeSoakDuration = 9 * time.Second
	// leavingBound is the users' bound on the time from a node's first answer in which an endpoint
	// announces that it leaves until the node sends it no further requests.
	leavingBound = 2 * time.Second
	// limitGracePeriod is the time from when an endpoint begins to report a limit until the bound on
	// limits applies to it.
	limitGracePeriod = 3 * time.Second
	// The users' bound on pauses: from pauseNoticeDelay after a refusal until the end of the pause
	// that it asks for, the node sends the endpoint at most maxPauseRequests requests.
	pauseNoticeDelay = 500 * time.Millisecond
	maxPauseRequests = 2
)

// disturbance is a period during which a node was killed or frozen.
type disturbance struct{ from, to time.Time }

// sentRequest is a request from its caller's point of view: at is when it was sent, done when the
// answer was complete or had failed.
type sentRequest struct {
	node     int
	at, done time.Time
	status   int
}

// noticeSoak is the state of one random run of endpoints that announce limits, pauses and that they
// leave.
type noticeSoak struct {
	*site
	random  *rand.Rand
	workers map[string]*worker.Worker

	// mu guards the fields below while callers run.
	mu sync.Mutex
	// requests are those of callers, by ID.
	requests map[string]sentRequest
	// disturbances holds the periods during which each node was killed or frozen, by its index.
	disturbances map[int][]disturbance
	// limitSince holds when each worker began to report its limit, by its ID.
	limitSince map[string]time.Time
	// limits holds the limit in requests per second that each worker reports, by its ID.
	limits map[string]float64
}

var _ = Describe("a random run of endpoints that announce limits, pauses and leaving", func() {
	for _, seed := range soakSeeds() {
		// Guards against requests that violate an endpoint's notices while nodes are killed or frozen,
		// the store is unreachable or drops its history, and entries are removed and written again.
		It(fmt.Sprintf("complies with their notices with seed %d", seed), func() {
			s := &noticeSoak{
				site: newSite(), random: rand.New(rand.NewPCG(uint64(seed), 7)), workers: make(map[string]*worker.Worker),
				requests: make(map[string]sentRequest), disturbances: make(map[int][]disturbance),
				limitSince: make(map[string]time.Time), limits: make(map[string]float64),
			}
			for i := range 4 {
				s.workers[fmt.Sprintf("app-%d", i)] = s.startApp(fmt.Sprintf("app-%d", i))
			}
			for i := range 3 {
				id := fmt.Sprintf("engine-%d", i)
				s.workers[id] = s.startEngine(id, 40)
			}
			s.start(3)
			stop := make(chan struct{})
			var load sync.WaitGroup
			for i := range callerCount {
				load.Go(func() { s.call(i, stop) })
			}
			s.runRandomActions()
			close(stop)
			load.Wait()
			for id, w := range s.workers {
				s.checkLeaving(id, w)
				s.checkPauses(id, w)
				s.checkLimit(id, w)
			}
			for _, w := range s.workers {
				w.Pause("")
				w.SetNotice("Server-Limit", "")
			}
			// The longest pause, 2.5 s, is over after this; a limit ends with the next answer.
			time.Sleep(3 * time.Second)
			for _, n := range s.nodes {
				Eventually(func() int { return s.send(n, "/calls/end", "key").status }, 5*time.Second).Should(Equal(http.StatusOK))
			}
		})
	}
})

// call sends requests of all kinds to random nodes until stop is closed.
func (s *noticeSoak) call(caller int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(caller), 3))
	paths := []string{"/calls/1", "/bookings/1", "/drafts/1"}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
		}
		node := random.IntN(len(s.nodes))
		at := time.Now()
		r := s.send(s.nodes[node], paths[random.IntN(len(paths))], "key")
		s.mu.Lock()
		s.requests[r.id] = sentRequest{node: node, at: at, done: time.Now(), status: r.status}
		s.mu.Unlock()
	}
}

// runRandomActions changes the notices of endpoints and injects faults at random for
// noticeSoakDuration. One endpoint of each service gives no notice, so that there is always one
// that serves.
func (s *noticeSoak) runRandomActions() {
	until := time.Now().Add(noticeSoakDuration)
	for time.Now().Before(until) {
		switch s.random.IntN(4) {
		case 0:
			s.injectFault()
		case 1:
			s.rewriteEntry()
		default:
			s.announceNotice()
		}
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
}

// announceNotice makes a random endpoint announce from now on that it leaves, a pause, or a limit.
// A limit once reported stays the same.
func (s *noticeSoak) announceNotice() {
	id := []string{"app-1", "app-2", "app-3", "engine-1", "engine-2"}[s.random.IntN(5)]
	w := s.workers[id]
	switch s.random.IntN(4) {
	case 0:
		w.SetNotice("Server-Leaving", "1")
	case 1:
		w.Pause([]string{"1", "2.5", ""}[s.random.IntN(3)])
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, names := s.limitSince[id]; names {
			return
		}
		s.limitSince[id], s.limits[id] = time.Now(), 0.5+float64(s.random.IntN(40))/10
		w.SetNotice("Server-Limit", strconv.FormatFloat(s.limits[id], 'g', -1, 64))
	}
}

// rewriteEntry writes the entry of a random plain endpoint again, in half of the cases after
// removing it for up to 200 ms.
func (s *noticeSoak) rewriteEntry() {
	id := fmt.Sprintf("app-%d", s.random.IntN(4))
	if s.random.IntN(2) == 0 {
		s.write(platform.Write{Table: platform.TableEndpoints, Key: id, Delete: true})
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
	s.register(id, "app", s.workers[id].Address(), "ready")
}

// injectFault kills and restarts or freezes and thaws a random node, makes the store unreachable
// for a while, or drops its history.
func (s *noticeSoak) injectFault() {
	ctx := GinkgoT().Context()
	number := s.random.IntN(len(s.nodes))
	n, from := s.nodes[number], time.Now()
	switch s.random.IntN(4) {
	case 0:
		n.Kill()
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
		Expect(n.Start()).To(Succeed())
		s.recordDisturbance(number, from)
	case 1:
		n.Freeze()
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
		n.Thaw()
		s.recordDisturbance(number, from)
	case 2:
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{Unreachable: true})).To(Succeed())
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{})).To(Succeed())
	default:
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{DropHistory: true})).To(Succeed())
	}
}

// recordDisturbance records that the node was killed or frozen from the given time until now.
func (s *noticeSoak) recordDisturbance(node int, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances[node] = append(s.disturbances[node], disturbance{from: from, to: time.Now()})
}

// undisturbed reports whether the node was neither killed nor frozen at any time between from and
// to.
func (s *noticeSoak) undisturbed(node int, from, to time.Time) bool {
	for _, d := range s.disturbances[node] {
		if d.from.Before(to) && d.to.After(from) {
			return false
		}
	}
	return true
}

// firstAnswers returns, by node index, when the node's first answer with status 200 from the worker
// for which matches returns true was complete at the caller.
func (s *noticeSoak) firstAnswers(w *worker.Worker, matches func(worker.Arrival) bool) map[int]time.Time {
	first := make(map[int]time.Time)
	for _, a := range w.Arrivals() {
		r, known := s.requests[a.ID]
		if !known || r.status != http.StatusOK || !matches(a) || a.Pause != "" {
			continue
		}
		if t, seen := first[r.node]; !seen || r.done.Before(t) {
			first[r.node] = r.done
		}
	}
	return first
}

// checkLeaving fails the spec if a request reached a worker although its caller sent it more than
// leavingBound after the node had passed on an answer in which the worker announces that it leaves.
func (s *noticeSoak) checkLeaving(id string, w *worker.Worker) {
	GinkgoHelper()
	firstAnswers := s.firstAnswers(w, func(a worker.Arrival) bool { return a.Notices["Server-Leaving"] != "" })
	for _, a := range w.Arrivals() {
		r := s.requests[a.ID]
		t, known := firstAnswers[r.node]
		if known && r.at.Sub(t) > leavingBound && s.undisturbed(r.node, t, a.At) {
			Fail(fmt.Sprintf("%s got request %s from node %d %v after it had announced that it leaves", id, a.ID, r.node, r.at.Sub(t)))
		}
	}
}

// checkPauses checks for each refusal of a worker the bound on requests during the pause.
func (s *noticeSoak) checkPauses(id string, w *worker.Worker) {
	GinkgoHelper()
	all := w.Arrivals()
	for _, refused := range all {
		seconds, err := strconv.ParseFloat(refused.Pause, 64)
		if err != nil {
			continue
		}
		node, end := s.requests[refused.ID].node, refused.At.Add(time.Duration(seconds*float64(time.Second)))
		n := 0
		for _, a := range all {
			if s.requests[a.ID].node == node && a.At.After(refused.At.Add(pauseNoticeDelay)) && a.At.Before(end) {
				n++
			}
		}
		if s.undisturbed(node, refused.At, end) {
			Expect(n).To(BeNumerically("<=", maxPauseRequests), "requests to %s, which asked node %d for a pause of %s s at %v", id, node, refused.Pause, refused.At)
		}
	}
}

// checkLimit checks the bound on limits for the arrivals at a worker from undisturbed nodes that
// had received the limit at least limitNoticeDelay before.
func (s *noticeSoak) checkLimit(id string, w *worker.Worker) {
	GinkgoHelper()
	since, limited := s.limitSince[id]
	if !limited {
		return
	}
	firstAnswers := s.firstAnswers(w, func(a worker.Arrival) bool { return a.Notices["Server-Limit"] != "" })
	var counted []time.Time
	for _, a := range w.Arrivals() {
		r := s.requests[a.ID]
		t, known := firstAnswers[r.node]
		if known && a.At.Sub(t) >= limitNoticeDelay && a.At.Sub(since) >= limitGracePeriod && s.undisturbed(r.node, t, a.At) {
			counted = append(counted, a.At)
		}
	}
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		Expect(n).To(BeNumerically("<=", maxAllowed(s.limits[id])), "requests to %s within the window, limit %g per second", id, s.limits[id])
	}
}
