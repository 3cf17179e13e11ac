package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

const (
	// budgetRatio and budgetSlack are the retry budget of the nodes in these specs.
	budgetRatio = 0.2
	budgetSlack = 50
)

// budgetLoad is the window of the retry budget, the time for which endpoints accept calls and then refuse
// them, and the number of calls per second over all nodes.
type budgetLoad struct {
	window, quiet, refusals time.Duration
	calls                   int
}

var (
	shortWindow = budgetLoad{window: 4 * time.Second, quiet: time.Second, refusals: 8 * time.Second, calls: 60}
	// fullWindow has the window of the platform, with calls at the rate of a small deployment.
	fullWindow = budgetLoad{window: 10 * time.Second, quiet: 11 * time.Second, refusals: 11 * time.Second, calls: 25}
)

// budgetRun is a run of nodes whose endpoints refuse all calls for a while.
type budgetRun struct {
	*site
	budgetLoad
	workers []*worker.Worker
	started time.Time
	// accepting is set while endpoints accept calls in the time of the refusals.
	accepting atomic.Bool

	mu   sync.Mutex
	sent map[string]time.Time
}

// newBudgetRun starts nodes, and endpoints that refuse all calls for the time that the load
// names.
func newBudgetRun(nodes int, load budgetLoad) *budgetRun {
	GinkgoHelper()
	r := &budgetRun{site: newSite(), budgetLoad: load, sent: make(map[string]time.Time)}
	r.extraSettings = fmt.Sprintf("bounds.retry_window_s=%d\nbounds.retry_budget_ratio=%g\n", int(load.window.Seconds()), budgetRatio)
	refuse := func(*worker.Run) worker.Fault {
		r.mu.Lock()
		defer r.mu.Unlock()
		if since := time.Since(r.started); !r.accepting.Load() && !r.started.IsZero() && since > load.quiet && since < load.quiet+load.refusals {
			return worker.Shed
		}
		return worker.None
	}
	for i := range 4 {
		id := fmt.Sprintf("app-%d", i)
		w := r.startPlainWorker(worker.Options{ID: id, FaultOf: refuse})
		r.register(id, "app", r.addresses[id], "ready")
		r.workers = append(r.workers, w)
	}
	r.start(nodes)
	return r
}

// load sends calls to all nodes in turn until the refusals have ended, while disturb runs.
func (r *budgetRun) load(disturb func()) {
	GinkgoHelper()
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() {
		defer GinkgoRecover()
		disturb()
	})
	tick := time.NewTicker(time.Second / time.Duration(r.calls))
	defer tick.Stop()
	for i := 0; time.Since(r.started) < r.quiet+r.refusals+r.window/2; i++ {
		<-tick.C
		running.Go(func() {
			at := time.Now()
			reply := r.send(r.nodes[i%len(r.nodes)], "/calls/1", "key")
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sent[reply.id] = at
		})
	}
	running.Wait()
}

// worstWindow returns the repeats and the allowed repeats of the window that uses most of its budget.
// Requests count in the window, the one before or half a window before, whichever has most.
func (r *budgetRun) worstWindow() (repeats int, allowed float64) {
	var requests, again []time.Time
	for _, at := range r.sent {
		requests = append(requests, at)
	}
	var all []worker.Arrival
	for _, w := range r.workers {
		all = append(all, w.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b worker.Arrival) int { return a.At.Compare(b.At) })
	known := make(map[string]bool)
	for _, a := range all {
		if known[a.ID] {
			again = append(again, a.At)
		}
		known[a.ID] = true
	}
	worst := 0.0
	for _, from := range again {
		count := func(times []time.Time, offset time.Duration) int {
			return countBetween(times, from.Add(offset), from.Add(offset+r.window))
		}
		n := count(again, 0)
		limit := budgetRatio*float64(max(count(requests, 0), count(requests, -r.window), count(requests, -r.window/2))) + budgetSlack
		if float64(n)/limit > worst {
			worst, repeats, allowed = float64(n)/limit, n, limit
		}
	}
	AddReportEntry("worst window", fmt.Sprintf("%d repeats, %.1f allowed", repeats, allowed))
	return repeats, allowed
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// restart kills the nodes with the given indexes and starts them again.
func (r *budgetRun) restart(indexes ...int) {
	for _, i := range indexes {
		r.nodes[i].Kill()
	}
	for _, i := range indexes {
		Expect(r.nodes[i].Start()).To(Succeed())
	}
}

var _ = Describe("the retry budget of all nodes", func() {
	after := func(d time.Duration, do func()) {
		time.Sleep(d)
		do()
	}
	// Guards against retries beyond the budget of all nodes when nodes restart while endpoints refuse:
	// each incarnation then had a new share of the budget.
	DescribeTable("is not exceeded while endpoints refuse and", func(nodes int, disturb func(*budgetRun)) {
		r := newBudgetRun(nodes, shortWindow)
		r.load(func() { disturb(r) })
		repeats, allowed := r.worstWindow()
		Expect(float64(repeats)).To(BeNumerically("<=", allowed))
	},
		Entry("no node restarts", 3, func(*budgetRun) {}),
		Entry("two of three nodes are killed twice", 3, func(r *budgetRun) {
			for range 2 {
				after(1500*time.Millisecond, func() { r.restart(1, 2) })
			}
		}),
		Entry("all nodes are killed at once, three times", 3, func(r *budgetRun) {
			for range 3 {
				after(1500*time.Millisecond, func() { r.restart(0, 1, 2) })
			}
		}),
		Entry("four of seven nodes are killed five times", 7, func(r *budgetRun) {
			for i := range 5 {
				after(time.Second, func() { r.restart(i, i+1, (i+2)%7, (i+3)%7) })
			}
		}),
		Entry("nodes are stopped in turn", 3, func(r *budgetRun) {
			time.Sleep(shortWindow.quiet)
			for i := range 3 {
				r.nodes[i].Terminate()
				_, err := r.nodes[i].Wait(GinkgoT().Context())
				Expect(err).NotTo(HaveOccurred())
				Expect(r.nodes[i].Start()).To(Succeed())
			}
		}),
		Entry("nodes are killed while the store is away", 3, func(r *budgetRun) {
			time.Sleep(1500 * time.Millisecond)
			Expect(r.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{Unreachable: true})).To(Succeed())
			r.restart(0, 1)
			time.Sleep(1500 * time.Millisecond)
			Expect(r.faults.SetFaults(GinkgoT().Context(), admin.PlatformFaults{})).To(Succeed())
			after(500*time.Millisecond, func() { r.restart(1, 2) })
		}),
	)

	// Guards against a budget that callers cannot use: of what is allowed, nodes retried a share only.
	DescribeTable("is usable while endpoints refuse and", func(share float64, disturb func(*budgetRun)) {
		r := newBudgetRun(3, fullWindow)
		r.load(func() { disturb(r) })
		repeats, allowed := r.worstWindow()
		Expect(float64(repeats)).To(BeNumerically(">=", share*allowed))
		Expect(float64(repeats)).To(BeNumerically("<=", allowed))
		Eventually(func() int { return r.send(r.nodes[0], "/calls/1", "key").status }).Should(Equal(http.StatusOK))
	},
		Entry("no node restarts", 0.9, func(*budgetRun) {}),
		Entry("one of three nodes is killed", 0.8, func(r *budgetRun) {
			after(fullWindow.quiet+500*time.Millisecond, func() { r.restart(1) })
		}),
	)
})
