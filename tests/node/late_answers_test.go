package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// lateEvery is the number of refusals, and of other answers, of which one is followed by a late answer.
const lateEvery = 5

// answeringLate returns the options of a worker that refuses each tenth request and sends the late answer after
// each lateEvery-th refusal and each lateEvery-th other answer.
func answeringLate(id string, late worker.LateAnswer, bearID bool) worker.Options {
	var requests, refusals, answers atomic.Int64
	return worker.Options{
		ID: id, WorkTime: 20 * time.Millisecond, RefusalsBearID: bearID,
		FaultOf: func(*worker.Run) worker.Fault {
			if requests.Add(1)%10 == 0 {
				return worker.Shed
			}
			return worker.None
		},
		LateOf: func(_ *worker.Run, refused bool) worker.LateAnswer {
			count := &answers
			if refused {
				count = &refusals
			}
			if count.Add(1)%lateEvery != 0 {
				return worker.NoLate
			}
			return late
		},
	}
}

// lateFindings are the requests that met a fault.
type lateFindings struct {
	// twice must run once and ran more often, falselyNotRun were answered as not run and ran, and mixed got an
	// answer of success that is not their own.
	twice, falselyNotRun, mixed []string
}

// examineLate compares the runs of requests that must run once with what the callers got.
func examineLate(sent []silenceRequest, runs map[string]int) (f lateFindings, answered int) {
	for _, r := range sent {
		what := fmt.Sprintf("%s %s at node %d, status %d, %d runs", r.id, r.path, r.node, r.status, runs[r.id])
		if r.once() && runs[r.id] > 1 {
			f.twice = append(f.twice, what)
		}
		if r.once() && runs[r.id] > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			f.falselyNotRun = append(f.falselyNotRun, what)
		}
		if r.status == http.StatusOK {
			answered++
			if !strings.Contains(r.body, r.id) {
				f.mixed = append(f.mixed, what)
			}
		}
	}
	return f, answered
}

// playLate sends calls through two nodes to the endpoints.
func playLate(endpoints ...worker.Options) (f lateFindings, answered, sent int) {
	GinkgoHelper()
	s := newSite()
	var workers []*worker.Worker
	for _, o := range endpoints {
		workers = append(workers, s.startPlainWorker(o))
		s.register(o.ID, "app", s.addresses[o.ID], "ready")
	}
	s.start(2)
	loads := []silenceLoad{{"/bookings/1", 2500 * time.Millisecond}, {"/calls/1", 2500 * time.Millisecond}}
	requests := s.sendLoads(s.nodes, loads, 10*time.Millisecond, 2500*time.Millisecond)
	runs := make(map[string]int)
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.ID]++
		}
	}
	f, answered = examineLate(requests, runs)
	return f, answered, len(requests)
}

var _ = Describe("an endpoint that sends answers late on its kept connections", func() {
	kinds := map[worker.LateAnswer]string{
		worker.LateRefusal: "a refusal without an ID", worker.LateBadRequest: "a 400 without an ID",
		worker.LateMisdirected: "a 421 without an ID", worker.LateHealth: "an answer to a health check",
		worker.LateSuccess: "a success without an ID", worker.LateForeign: "another request's answer",
		worker.LateOwnRefusal: "a refusal with its ID", worker.LateReset: "a reset",
	}
	for _, late := range worker.LateAnswers {
		// Guards against a late answer that is taken for that of the next request: a request that ran counts as
		// not run, and runs again or is refused, or its caller gets another answer.
		It("is not believed: "+kinds[late], func() {
			f, _, _ := playLate(answeringLate("late-1", late, false), answeringLate("late-2", late, true), answeringLate("sound", worker.NoLate, false))
			Expect(f).To(BeZero())
		})
	}

	// minAnswered is the share of requests that are answered when each tenth is refused once.
	const minAnswered = 0.98

	// Guards against refusals that no longer count, whose requests end with an unknown outcome.
	DescribeTable("is believed when it refuses", func(bearID bool) {
		f, answered, sent := playLate(answeringLate("a", worker.NoLate, bearID), answeringLate("b", worker.NoLate, bearID))
		Expect(f).To(BeZero())
		Expect(float64(answered)).To(BeNumerically(">=", minAnswered*float64(sent)))
	}, Entry("without IDs", false), Entry("with IDs", true))
})
