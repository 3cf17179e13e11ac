package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// newCutSite starts three nodes, of which the first reaches no endpoint and knows it.
func newCutSite() *reachSite {
	GinkgoHelper()
	s := newReachSite(3)
	s.cutOff(s.nodes[0], rig.CutReset)
	s.awaitLoss("app")
	s.awaitLoss("pool")
	return s
}

// awaitLoss sends calls to the first node until it knows that it reaches no endpoint of the service.
func (s *reachSite) awaitLoss(service string) {
	GinkgoHelper()
	Eventually(func() bool {
		s.send(s.nodes[0], "/calls/1", "key")
		return s.reachLogged("endpoints out of reach", service)()
	}, contactBound, 10*time.Millisecond).Should(BeTrue(), service)
}

// reachLogged returns whether the first node has logged the event for the service.
func (s *reachSite) reachLogged(event, service string) func() bool {
	return func() bool {
		for line := range strings.Lines(readFile(s.dir, s.nodes[0].ip+".log")) {
			if strings.Contains(line, event) && strings.Contains(line, "service="+service+" ") {
				return true
			}
		}
		return false
	}
}

// newRequest returns a request for the node with a new ID and the given deadline.
func (s *site) newRequest(ctx context.Context, n *nodeProcess, path string, deadline time.Duration) (req *http.Request, id string) {
	GinkgoHelper()
	id = fmt.Sprintf("direct-%d", s.requestCount.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, callerPort, path), strings.NewReader("the body"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("Crocusreel-Attempt-Id", id)
	req.Header.Set("Crocusreel-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	req.Header.Set("Crocusreel-Token-Usage", "1000,400")
	req.Header.Set("Authorization", "Bearer key")
	return req, id
}

// runOf returns the run of the request, and the worker that ran it.
func runOf(id string, workers ...*worker.Worker) (run worker.Run, at *worker.Worker) {
	for _, w := range workers {
		for _, r := range w.Runs() {
			if r.ID == id {
				run, at = r, w
			}
		}
	}
	return run, at
}

// loggedElsewhere returns whether a node other than the first one has logged the text.
func (s *reachSite) loggedElsewhere(text string) func() bool {
	return func() bool {
		return strings.Contains(readFile(s.dir, s.nodes[1].ip+".log")+readFile(s.dir, s.nodes[2].ip+".log"), text)
	}
}

var _ = Describe("a request that another node serves", func() {
	// Guards against requests and answers that are changed on the way, and against more time for an
	// endpoint than the caller has.
	It("arrives unchanged, with the workspace and the time that is left", func() {
		s := newCutSite()
		req, id := s.newRequest(context.Background(), s.nodes[0], "/bookings/7?x=1", 1500*time.Millisecond)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		run, at := runOf(id, s.apps...)
		Expect(at).NotTo(BeNil())
		Expect(run.Target).To(Equal("/bookings/7?x=1"))
		Expect(string(run.Body)).To(Equal("the body"))
		Expect(run.Header.Get("Crocusreel-Tenant")).To(Equal("ws"))
		Expect(run.Header).NotTo(HaveKey("Authorization"))
		left, err := strconv.Atoi(run.Header.Get("Crocusreel-Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 1000), BeNumerically("<=", 1500)))
		Expect(resp.Header.Get("Crocusreel-Response-Seal")).NotTo(BeEmpty())
	})

	// Guards against work that goes on at an endpoint although its caller has left.
	It("ends at the endpoint when the caller leaves", func() {
		s := newCutSite()
		slow := s.startEngine("slow", 1000)
		for i := range 3 {
			s.register(fmt.Sprintf("engine-%d", i), "pool", s.addresses[fmt.Sprintf("engine-%d", i)], "draining")
		}
		time.Sleep(time.Second)
		ctx, leave := context.WithCancel(context.Background())
		req, id := s.newRequest(ctx, s.nodes[0], "/drafts/1", 10*time.Second)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		leave()
		Eventually(slow.ClosedByCaller, 500*time.Millisecond, 10*time.Millisecond).Should(ContainElement(id))
	})

	// Guards against callers that wait beyond their time, and against a 503 for work that may have run.
	It("is answered at its deadline if the endpoint is silent", func() {
		s := &reachSite{site: newSite()}
		s.perProcess = true
		w := s.startPlainWorker(worker.Options{ID: "silent", FaultOf: func(r *worker.Run) worker.Fault {
			if strings.HasPrefix(r.ID, "direct") {
				return worker.Hang
			}
			return worker.None
		}})
		s.register("silent", "app", s.addresses["silent"], "ready")
		s.start(2)
		s.expectCall(s.nodes[1])
		s.cutOff(s.nodes[0], rig.CutReset)
		s.awaitLoss("app")
		req, id := s.newRequest(context.Background(), s.nodes[0], "/bookings/1", time.Second)
		sent := time.Now()
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(time.Since(sent)).To(BeNumerically("<", 1500*time.Millisecond))
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		_, at := runOf(id, w)
		Expect(at).NotTo(BeNil())
	})

	// Guards against an answer that looks complete, or a 503, although the node that served the request
	// was killed, and against callers that are not served after that.
	It("is not complete if the node that serves it is killed, and the next one is served", func() {
		s := newCutSite()
		for _, n := range s.nodes[1:] {
			done := make(chan reply)
			go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
			Eventually(func() int { return s.openStreams() }, time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
			n.Kill()
			r := <-done
			if !r.complete {
				Expect(r.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway, 0))
			}
			Expect(n.Start()).To(Succeed())
			s.expectCall(s.nodes[0])
			s.expectCall(n)
		}
	})

	// Guards against streams that are cut because the node that serves them is stopped.
	It("is completed by a node that leaves", func() {
		s := newCutSite()
		var replies []chan reply
		for range 6 {
			done := make(chan reply, 1)
			replies = append(replies, done)
			go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
		}
		Eventually(func() int { return s.openStreams() }, time.Second, 5*time.Millisecond).Should(BeNumerically(">", 3))
		s.nodes[1].Terminate()
		for _, done := range replies {
			r := <-done
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.body).To(Equal(expectedEvents(r.id, 20)))
		}
		for range 20 {
			Expect(s.send(s.nodes[0], "/calls/1", "key").status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a node that goes on using other nodes after its cut.
	It("is no longer forwarded soon after the cut has ended", func() {
		s := newCutSite()
		s.cutOff(s.nodes[0], rig.NoCut)
		Eventually(s.reachLogged("endpoints within reach again", "app"), time.Second).Should(BeTrue())
		Eventually(s.reachLogged("endpoints within reach again", "pool"), time.Second).Should(BeTrue())
		for range 20 {
			r := s.send(s.nodes[0], "/calls/1", "key")
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(s.loggedElsewhere(r.id)()).To(BeFalse())
		}
	})
})

// openStreams returns the number of streams at the engines that have begun and not ended.
func (s *reachSite) openStreams() int {
	open := 0
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if time.Since(run.StartedAt) < 150*time.Millisecond {
				open++
			}
		}
	}
	return open
}
