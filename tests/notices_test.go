package tests

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// The bound on an endpoint that announces a request limit: 1.5 times the limit plus five requests
// in any window of four seconds. It applies once every gateway and scheduler has received a
// response that announces the limit, for which limitPropagation allows one second.
const (
	limitPerSecond   = 3.0
	limitWindow      = 4 * time.Second
	limitPropagation = time.Second
	limitMaxStarts   = int(1.5*limitPerSecond*4) + 5

	// drainBound is the time after a response announced that its endpoint is leaving, from which on
	// the endpoint must not start new work.
	drainBound = 2 * time.Second
)

// maxStartsWithinWindow returns the largest number of runs of an endpoint that started within one
// limitWindow, counting only windows that begin with a run after the given time.
func maxStartsWithinWindow(ctx context.Context, e *rig.Endpoint, after time.Time) int {
	GinkgoHelper()
	most := 0
	runs := runsOf(ctx, e)
	for _, first := range runs {
		within := 0
		for _, run := range runs {
			since := run.StartedAt.Sub(first.StartedAt)
			if first.StartedAt.After(after) && since >= 0 && since < limitWindow {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

var _ = Describe("An endpoint that announces its limits in its responses", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() {
		spec := withBookingService()
		spec.Services = append(spec.Services, rig.ServiceSpec{Name: "beds2", DataCentre: "dc2", Prefix: "/beds"})
		r = startRig(spec)
	})

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// Guards against gateways that together exceed the request limit of a service or an engine.
	It("gets no more requests than the bound on its limit", func(ctx SpecContext) {
		limited := admin.Notices{RequestLimit: limitPerSecond}
		engine, service := r.Engines[0], r.Services[0]
		setFaults(ctx, admin.EngineFaults{Notices: limited}, engine)
		setFaults(ctx, admin.ServiceFaults{Notices: limited}, service)
		began := time.Now()
		loadCtx, stop := context.WithTimeout(ctx, limitPropagation+limitWindow+time.Second)
		defer stop()
		runLoad(loadCtx, r, func(v *rig.VM, i int) request {
			if i%2 == 0 {
				return bookingRequest(v.CallerAddress, fmt.Sprint(v.ID, "-limit-", i), 1)
			}
			return generationRequest(v.CallerAddress, fmt.Sprint("note ", i), 5)
		}).Wait()
		for _, e := range []*rig.Endpoint{engine, service} {
			Expect(maxStartsWithinWindow(ctx, e, began.Add(limitPropagation))).To(BeNumerically("<=", limitMaxStarts))
		}
	}, SpecTimeout(time.Minute))

	// Guards against new work for an endpoint that announces that it is about to stop only in its
	// responses, and by no other means.
	It("gets no new work once it announces that it is leaving", func(ctx SpecContext) {
		engine, service := r.Engines[0], r.Services[0]
		setFaults(ctx, admin.EngineFaults{Notices: admin.Notices{Leaving: true}}, engine)
		setFaults(ctx, admin.ServiceFaults{Notices: admin.Notices{Leaving: true}}, service)
		began := time.Now()
		loadCtx, stop := context.WithTimeout(ctx, drainBound+2*time.Second)
		defer stop()
		runLoad(loadCtx, r, func(v *rig.VM, i int) request {
			if i%2 == 0 {
				return bookingRequest(v.CallerAddress, fmt.Sprint(v.ID, "-word-", i), 1)
			}
			return generationRequest(v.CallerAddress, fmt.Sprint("note ", i), 5)
		}).Wait()
		for _, e := range []*rig.Endpoint{engine, service} {
			Expect(startsAfter(ctx, e, began.Add(drainBound))).To(BeZero())
		}
	}, SpecTimeout(time.Minute))
})
