package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

// propagationBound is the time within which all nodes must apply an evacuation order or its
// withdrawal.
const propagationBound = time.Second

// setEvacuation writes the order to evacuate a data centre, or deletes it if active is false.
func (s *site) setEvacuation(dataCentre string, active bool) {
	GinkgoHelper()
	s.write(platform.Write{
		Table: platform.TableOperator, Key: "evacuate/" + dataCentre, Value: []byte("{}"), Delete: !active,
	})
}

// startAppIn starts and registers a plain endpoint in a data centre.
func (s *site) startAppIn(id, dataCentre string) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(worker.Options{ID: id})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	s.registerIn(id, "app", w.Address(), dataCentre)
	return w
}

// startEngineIn starts and registers an engine in a data centre; its streams have the given number
// of events, one every 10 ms.
func (s *site) startEngineIn(id, dataCentre string, events int) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(worker.Options{ID: id, Events: events, EventInterval: 10 * time.Millisecond, KVStore: s.memory})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	s.registerIn(id, "pool", w.Address(), dataCentre)
	return w
}

func (s *site) registerIn(id, service, address, dataCentre string) {
	GinkgoHelper()
	data, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": dataCentre, "version": "v1", "batch_size": 24, "phase": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	})
	Expect(err).NotTo(HaveOccurred())
	s.write(platform.Write{Table: platform.TableEndpoints, Key: id, Value: data})
}

// countRunsAt returns a function that sends calls through all nodes and returns how many of them
// ran at the endpoint.
func (s *site) countRunsAt(w *worker.Worker) func() int {
	return func() int {
		before := len(w.Runs())
		for _, n := range s.nodes {
			for range 8 {
				s.send(n, "/calls/x", "key")
			}
		}
		return len(w.Runs()) - before
	}
}

var _ = Describe("the evacuation of a data centre", func() {
	// Guards against work that is sent to endpoints which the operator is about to remove.
	It("takes effect at all nodes within a second, and so does its withdrawal", func() {
		s := newSite()
		s.dataCentres = []string{"dc1", "dc2", "dc2"}
		s.startAppIn("i1", "dc1")
		i2 := s.startAppIn("i2", "dc2")
		s.start(3)
		Eventually(s.countRunsAt(i2)).Should(BeNumerically(">", 0))
		for range 3 {
			s.setEvacuation("dc2", true)
			time.Sleep(propagationBound)
			Expect(s.countRunsAt(i2)()).To(BeZero())
			s.setEvacuation("dc2", false)
			time.Sleep(propagationBound)
			Expect(s.countRunsAt(i2)()).To(BeNumerically(">", 0))
		}
		// An order that is withdrawn and given again in quick succession stays in force.
		s.setEvacuation("dc2", true)
		s.setEvacuation("dc2", false)
		s.setEvacuation("dc2", true)
		time.Sleep(propagationBound)
		Expect(s.countRunsAt(i2)()).To(BeZero())
	})

	// Guards against nodes that do not know the order because they start, or read the store, too late.
	It("is known to nodes that start while they cannot reach the store", func() {
		s := newSite()
		s.linked = true
		s.dataCentres = []string{"dc1", "dc2", "dc2"}
		s.startAppIn("i1", "dc1")
		i2 := s.startAppIn("i2", "dc2")
		s.start(3)
		s.setEvacuation("dc2", true)
		time.Sleep(propagationBound)
		for i := range s.nodes {
			s.storeLink(i).Cut()
		}
		Expect(s.countRunsAt(i2)()).To(BeZero())
		s.nodes[2].Kill()
		Expect(s.nodes[2].Start()).To(Succeed())
		Eventually(s.nodes[2].ready, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
		Expect(s.countRunsAt(i2)()).To(BeZero())
	})

	// Guards against callers that wait for endpoints in a data centre that the operator has closed.
	It("causes immediate refusals of work whose endpoints are all there", func() {
		s := newSite()
		i1 := s.startAppIn("i1", "dc1")
		s.start(1)
		Expect(s.send(s.nodes[0], "/calls/x", "key").status).To(Equal(http.StatusOK))
		ran := len(i1.Runs())
		s.setEvacuation("dc1", true)
		time.Sleep(propagationBound)
		began := time.Now()
		r := s.send(s.nodes[0], "/bookings/x", "key")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body).To(ContainSubstring(`"evacuated"`))
		Expect(r.body).To(ContainSubstring(`"not_run"`))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(i1.Runs()).To(HaveLen(ran))
		s.setEvacuation("dc1", false)
		time.Sleep(propagationBound)
		Expect(s.send(s.nodes[0], "/bookings/x", "key").status).To(Equal(http.StatusOK))
	})

	// Guards against streams that are aborted because their data centre gets no new work.
	It("lets running streams finish there and sends new ones elsewhere", func() {
		s := newSite()
		s.dataCentres = []string{"dc2"}
		s.startEngineIn("e2", "dc2", 300)
		s.start(1)
		answers := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answers <- s.send(s.nodes[0], "/drafts/x", "key")
		}()
		time.Sleep(500 * time.Millisecond)
		e1 := s.startEngineIn("e1", "dc1", 20)
		s.setEvacuation("dc2", true)
		time.Sleep(propagationBound)
		Expect(s.send(s.nodes[0], "/drafts/y", "key").status).To(Equal(http.StatusOK))
		Expect(e1.Runs()).To(HaveLen(1))
		var got reply
		Eventually(answers, 10*time.Second).Should(Receive(&got))
		Expect(got.complete).To(BeTrue())
		Expect(strings.Count(got.body, "id:")).To(Equal(300))
	})

	// Guards against malformed rows that hide or undo a real order.
	It("takes effect despite a thousand malformed rows", func() {
		s := newSite()
		s.dataCentres = []string{"dc1", "dc2"}
		s.startAppIn("i1", "dc1")
		i2 := s.startAppIn("i2", "dc2")
		for i := range 1000 {
			s.write(platform.Write{Table: platform.TableOperator, Key: fmt.Sprintf("evacuate/a%d", i), Value: []byte("\xff")})
		}
		s.write(platform.Write{Table: platform.TableOperator, Key: "evacuate/", Value: []byte("{}")})
		s.start(2)
		Expect(s.countRunsAt(i2)()).To(BeNumerically(">", 0))
		s.write(platform.Write{Table: platform.TableOperator, Key: "evacuate/dc2", Value: []byte("no object")})
		time.Sleep(propagationBound)
		Expect(s.countRunsAt(i2)()).To(BeZero())
	})
})
