package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// expectedEvents returns the body of a complete stream with the given ID and number of events.
func expectedEvents(id string, count int) string {
	var b strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, id)
	}
	return b.String()
}

// expectCall waits up to 3 s until the node serves a call.
func (s *site) expectCall(n *nodeProcess) {
	GinkgoHelper()
	Eventually(func() int { return s.send(n, "/calls/1", "key").status }, 3*time.Second).Should(Equal(http.StatusOK))
}

var _ = Describe("nodes on the platform", func() {
	It("serve calls and streams, and name each other to callers", func() {
		s := newSite()
		s.startApp("i1")
		s.startEngine("e1", 30)
		s.start(3)
		for _, n := range s.nodes {
			s.expectCall(n)
			r := s.send(n, "/drafts/1", "key")
			Expect(r.complete).To(BeTrue())
			Expect(r.body).To(Equal(expectedEvents(r.id, 30)))
			Expect(s.send(n, "/calls/1", "wrong").status).To(Equal(http.StatusUnauthorized))
			Expect(s.send(n, "/nowhere/1", "key").status).To(Equal(http.StatusNotFound))
		}
	})

	// Guards against callers that are sent to a node whose machine has lost power.
	It("leave out one that was killed, and take it back", func() {
		s := newSite()
		s.startApp("i1")
		s.start(3)
		s.nodes[1].Kill()
		for _, n := range []*nodeProcess{s.nodes[0], s.nodes[2]} {
			Eventually(n.addresses, 2*time.Second, 50*time.Millisecond).Should(HaveLen(2))
			s.expectCall(n)
		}
		Expect(s.nodes[1].Start()).To(Succeed())
		s.awaitAllNodes()
		s.expectCall(s.nodes[1])
	})

	// Guards against a slow cold start after all machines lost power at once: only the store is left
	// to start from.
	It("serve again soon after all were killed at once", func() {
		s := newSite()
		s.startApp("i1")
		s.start(3)
		for _, n := range s.nodes {
			n.Kill()
		}
		began := time.Now()
		for _, n := range s.nodes {
			Expect(n.Start()).To(Succeed())
		}
		for _, n := range s.nodes {
			s.expectCall(n)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})

	// Guards against streams that are cut when their node shuts down: their callers must get all
	// events, while new callers are sent elsewhere at once.
	It("finish running streams when they are told to stop", func() {
		s := newSite()
		s.startApp("i1")
		s.startEngine("e1", 250)
		s.start(2)
		done := make(chan reply, 1)
		go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
		time.Sleep(300 * time.Millisecond)
		s.nodes[0].Terminate()
		Eventually(s.nodes[0].ready, 500*time.Millisecond).Should(BeFalse())
		Eventually(s.nodes[1].addresses, time.Second).Should(HaveLen(1))
		var r reply
		Eventually(done, 6*time.Second).Should(Receive(&r))
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(expectedEvents(r.id, 250)))
		Eventually(s.nodes[0].Running, 8*time.Second).Should(BeFalse())
	})

	// Guards against streams that are lost when their engine is reclaimed.
	It("migrate a stream to another engine when its engine leaves", func() {
		s := newSite()
		first := s.startEngine("e1", 150)
		s.start(2)
		done := make(chan reply, 1)
		go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
		Eventually(first.Runs, 2*time.Second).Should(HaveLen(1))
		second := s.startEngine("e2", 150)
		time.Sleep(200 * time.Millisecond)
		s.register("e1", "pool", first.Address(), "draining")
		Eventually(s.memory.Copies, 2*time.Second).Should(Equal(1))
		first.Stop()
		var r reply
		Eventually(done, 6*time.Second).Should(Receive(&r))
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(expectedEvents(r.id, 150)))
		Expect(second.Runs()).To(HaveLen(1))
	})

	// Guards against streams that are lost when their engine is reclaimed during an outage of the
	// store, so that no entry announces that the engine leaves.
	It("migrate a stream to another engine while the store is unreachable", func() {
		s := newSite()
		first, second := s.startEngine("e1", 500), s.startEngine("e2", 500)
		s.start(2)
		done := make(chan reply, 1)
		go func() { done <- s.send(s.nodes[1], "/drafts/1", "key") }()
		Eventually(func() int { return len(first.Runs()) + len(second.Runs()) }, 2*time.Second).Should(Equal(1))
		Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{Unreachable: true})).To(Succeed())
		time.Sleep(1500 * time.Millisecond)
		source, target := first, second
		if len(second.Runs()) == 1 {
			source, target = second, first
		}
		source.SetLeaving()
		Eventually(s.memory.Copies, 2*time.Second).Should(Equal(1))
		source.Stop()
		Eventually(target.Runs, 2*time.Second).Should(HaveLen(1))
		var r reply
		Eventually(done, 10*time.Second).Should(Receive(&r))
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(expectedEvents(r.id, 500)))
	})

	// Guards against retries beyond the budget that all nodes share: a node that has lost contact with
	// the others and with the ledger uses no more than its share, since they may be running behind a
	// network partition.
	It("retry no more than their share after they have lost each other", func() {
		const calls, slack, ratio = 100, 50.0, 0.2
		s := newSite()
		failing := s.startPlainWorker(worker.Options{ID: "i1", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		s.register("i1", "app", s.addresses["i1"], "ready")
		other := s.startPlainWorker(worker.Options{ID: "i2", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		s.register("i2", "app", s.addresses["i2"], "ready")
		s.start(3)
		s.nodes[1].Kill()
		s.nodes[2].Kill()
		Eventually(s.nodes[0].addresses, 7*time.Second).Should(HaveLen(1))
		Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{Unreachable: true})).To(Succeed())
		for range calls {
			s.send(s.nodes[0], "/calls/1", "key")
		}
		repeats := len(failing.Runs()) + len(other.Runs()) - calls
		Expect(float64(repeats)).To(BeNumerically("<=", ratio*calls+slack/3))
	})

	// Guards against nodes that each retry as if they were alone, because no node hears another.
	It("retry no more than all may make together after they have lost each other", func() {
		const calls, slack, ratio = 100, 50.0, 0.2
		s := newSite()
		failing := s.startPlainWorker(worker.Options{ID: "i1", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		s.register("i1", "app", s.addresses["i1"], "ready")
		other := s.startPlainWorker(worker.Options{ID: "i2", FaultOf: func(*worker.Run) worker.Fault { return worker.Fail }})
		s.register("i2", "app", s.addresses["i2"], "ready")
		s.start(3)
		time.Sleep(12 * time.Second) // Each node knows the store for longer than a window.
		began := time.Now()
		for i, n := range s.nodes {
			for j, silent := range s.nodes {
				if j != i {
					silent.Freeze()
				}
			}
			n.Thaw()
			for range calls {
				s.send(n, "/calls/1", "key")
			}
		}
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), "the calls lie within a window")
		repeats := len(failing.Runs()) + len(other.Runs()) - 3*calls
		Expect(float64(repeats)).To(BeNumerically("<=", ratio*3*calls+slack))
		Expect(repeats).To(BeNumerically(">", slack/2))
	})

	// Guards against a request that waits in the socket of a frozen node and runs when the node thaws,
	// with a key that was revoked meanwhile but is still in the node's memory.
	It("run nothing for a key that was revoked while they were frozen", func() {
		s := newSite()
		s.keys = []string{"key", "old"}
		s.configure()
		app := s.startApp("i1")
		s.start(2)
		frozen := s.nodes[1]
		Expect(s.send(frozen, "/calls/1", "old").status).To(Equal(http.StatusOK))
		frozen.Freeze()
		s.keys = []string{"key"}
		s.configure()
		time.Sleep(5100 * time.Millisecond)
		done := make(chan reply, 1)
		go func() { done <- s.send(frozen, "/calls/1", "old") }()
		time.Sleep(100 * time.Millisecond)
		ran := len(app.Runs())
		frozen.Thaw()
		var r reply
		Eventually(done, 5*time.Second).Should(Receive(&r))
		Expect(r.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable))
		Expect(app.Runs()).To(HaveLen(ran))
		s.expectCall(frozen)
	})

	// Guards against keys that are served after the revocation bound when no node can reach the store.
	// Until then calls are served, afterwards refused with 503 so that callers retry, and served again
	// once the store is back.
	It("serve through a short outage of the store, refuse in a long one, and recover", func() {
		s := newSite()
		s.startApp("i1")
		s.start(2)
		Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{Unreachable: true})).To(Succeed())
		for range 10 {
			Expect(s.send(s.nodes[0], "/calls/1", "key").status).To(Equal(http.StatusOK))
			time.Sleep(150 * time.Millisecond)
		}
		Eventually(func() int { return s.send(s.nodes[0], "/calls/1", "key").status }, 5*time.Second).
			Should(Equal(http.StatusServiceUnavailable))
		Expect(s.send(s.nodes[0], "/calls/1", "unknown").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{})).To(Succeed())
		s.expectCall(s.nodes[0])
		s.expectCall(s.nodes[1])
	})

	// Guards against a change that is missed because the store drops its history when it is made:
	// readers must list the tables again.
	It("see changes made while the store's history is dropped", func() {
		s := newSite()
		s.startApp("i1")
		s.start(2)
		s.keys = []string{"new"}
		s.configure()
		Expect(s.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{DropHistory: true})).To(Succeed())
		for _, n := range s.nodes {
			Eventually(func() int { return s.send(n, "/calls/1", "new").status }, 2*time.Second).Should(Equal(http.StatusOK))
			Expect(s.send(n, "/calls/1", "key").status).To(Equal(http.StatusUnauthorized))
		}
	})

	It("exit with a message that names the invalid setting", func() {
		s := newSite()
		n := s.newNode("127.0.99.1", "dc1", "")
		broken := strings.Replace(readFile(s.dir, n.ip+".conf"), "bounds.grace_s=8", "bounds.grace_s=soon", 1)
		writeFile(s.dir, n.ip+".conf", broken)
		Expect(n.Start()).To(Succeed())
		Eventually(n.Running, 3*time.Second).Should(BeFalse())
		Expect(readFile(s.dir, n.ip+".log")).To(ContainSubstring("bounds.grace_s"))
	})
})
