package node_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

const (
	// brittleLimit is the number of requests that a brittle endpoint of the specs can turn away in a
	// second.
	brittleLimit = 4
	// brittleNotice is how long endpoints say that they are brittle before they can fall over.
	brittleNotice = 3 * time.Second
)

// startBrittleApps starts plain endpoints with a few slots and a short queue.
func (s *site) startBrittleApps(count int) []*worker.Worker {
	GinkgoHelper()
	var apps []*worker.Worker
	for i := range count {
		id := fmt.Sprintf("brittle-%d", i)
		w := s.startPlainWorker(worker.Options{ID: id, Slots: 4, QueueLength: 1, WorkTime: 40 * time.Millisecond})
		entry := newEntry("app", s.addresses[id], "ready")
		entry["batch_size"] = 4
		s.writeEntry(id, entry)
		apps = append(apps, w)
	}
	return apps
}

// expectFewFalls checks the bound on falls in one period: 2 and a tenth of the endpoints.
func expectFewFalls(apps []*worker.Worker) {
	GinkgoHelper()
	falls := 0
	for _, w := range apps {
		falls += w.Falls()
	}
	AddReportEntry("falls", falls)
	Expect(falls).To(BeNumerically("<=", 2+len(apps)/10))
}

var _ = Describe("brittle endpoints", func() {
	// Guards against endpoints that fall over because all nodes together have them turn away more
	// requests than they bear.
	DescribeTable("do not fall over under more load than they have room for",
		func(nodes, callers int, path string) {
			s := newSite()
			apps := s.startBrittleApps(4)
			s.start(nodes)
			for _, w := range apps {
				w.SetNotice("Server-Brittle", fmt.Sprint(brittleLimit))
			}
			s.generateLoad(path, callers, 40*time.Millisecond, brittleNotice)
			for _, w := range apps {
				w.SetBrittle(brittleLimit)
			}
			s.generateLoad(path, callers, 40*time.Millisecond, 5*time.Second)
			expectFewFalls(apps)
			Expect(runsAt(apps)).To(BeNumerically(">", 500))
		},
		Entry("one node, idempotent calls", 1, 30, "/calls/"),
		Entry("three nodes, idempotent calls", 3, 12, "/calls/"),
		Entry("three nodes, non-idempotent calls", 3, 12, "/bookings/"),
		Entry("nine nodes, non-idempotent calls", 9, 4, "/bookings/"),
	)

	// Guards against a node that knows nothing of the brittleness because it has just started.
	It("do not fall over while nodes restart", func() {
		s := newSite()
		apps := s.startBrittleApps(4)
		s.start(3)
		for _, w := range apps {
			w.SetNotice("Server-Brittle", fmt.Sprint(brittleLimit))
		}
		s.generateLoad("/bookings/", 12, 40*time.Millisecond, brittleNotice)
		for _, w := range apps {
			w.SetBrittle(brittleLimit)
		}
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			for i := range 4 {
				time.Sleep(time.Second)
				n := s.nodes[i%len(s.nodes)]
				n.Kill()
				Expect(n.Start()).To(Succeed())
			}
		}()
		s.generateLoad("/bookings/", 12, 40*time.Millisecond, 5*time.Second)
		<-done
		expectFewFalls(apps)
	})
})

// runsAt counts the runs that the workers started.
func runsAt(workers []*worker.Worker) (runs int) {
	for _, w := range workers {
		runs += len(w.Runs())
	}
	return runs
}
