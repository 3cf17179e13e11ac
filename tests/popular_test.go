package tests

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

var _ = Describe("An identical request from many callers", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() { r = startRig(withBookingService()) })

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	lookup := func(i int) request {
		return request{gateway: r.VMs[i%2].CallerAddress, method: http.MethodGet, path: "/services/beds/free"}
	}

	// Many callers send the same prompt, and the engine that runs several of them dies for another
	// reason. If each of them counted against the prompt, it would be refused for minutes as a
	// request that kills engines.
	It("is answered after the death of an engine that ran many of them", func(ctx SpecContext) {
		var results []<-chan response
		for i := range 12 {
			results = append(results, sendAsync(ctx, generationRequest(r.VMs[i%2].CallerAddress, "popular", 300)))
		}
		var engine *rig.Endpoint
		Eventually(func() int {
			engine = slices.MaxFunc(r.Engines, func(a, b *rig.Endpoint) int { return len(runsOf(ctx, a)) - len(runsOf(ctx, b)) })
			return len(runsOf(ctx, engine))
		}).Should(BeNumerically(">=", 4))
		engine.Kill()
		for _, result := range results {
			<-result
		}
		restoreEndpoint(ctx, r, engine)
		for _, v := range r.VMs {
			Eventually(func() bool { return send(ctx, generationRequest(v.CallerAddress, "popular", 300)).done }).
				WithTimeout(10 * time.Second).Should(BeTrue())
		}
	}, SpecTimeout(time.Minute))

	// Many callers send the same lookup, and the service dies while several of these calls run. If
	// each of them counted against the call, no caller would get a response for minutes after the
	// service is back.
	It("is answered after the death of a service that ran many of them", func(ctx SpecContext) {
		setFaults(ctx, admin.ServiceFaults{SlowMS: 1000}, r.Services...)
		var results []<-chan response
		for i := range 12 {
			results = append(results, sendAsync(ctx, lookup(i)))
		}
		time.Sleep(500 * time.Millisecond)
		r.Services[0].Kill()
		for _, result := range results {
			Expect((<-result).status).NotTo(Equal(http.StatusOK))
		}
		restoreEndpoint(ctx, r, r.Services[0])
		setFaults(ctx, admin.ServiceFaults{}, r.Services...)
		for i := range r.VMs {
			Eventually(func() int { return send(ctx, lookup(i)).status }).
				WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		}
	}, SpecTimeout(time.Minute))

	// The service is alive but all its responses are lost for a while, and callers retry. Once
	// responses get through again, callers must get them without delay (10 s at most).
	It("is answered after an outage in which all answers were lost", func(ctx SpecContext) {
		setFaults(ctx, admin.ServiceFaults{LoseAnswers: 1}, r.Services...)
		for i := range 20 {
			Expect(send(ctx, lookup(i)).status).NotTo(Equal(http.StatusOK), fmt.Sprint(i))
		}
		setFaults(ctx, admin.ServiceFaults{}, r.Services...)
		for i := range r.VMs {
			Eventually(func() int { return send(ctx, lookup(i)).status }).
				WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		}
	}, SpecTimeout(time.Minute))

	// A call kills the service that runs it, and its caller retries it. Here only this call runs at
	// each death, so the bound must hold.
	It("is still refused at the bound if the call itself causes the deaths", func(ctx SpecContext) {
		counter := new(supervisor)
		service := r.Services[0]
		for i := range 8 {
			setFaults(ctx, admin.ServiceFaults{SlowMS: 300}, service)
			q := lookup(0)
			q.path = "/services/beds/deadly"
			result := sendAsync(ctx, q)
			select {
			case <-result:
				// The call was refused before it reached the service.
				continue
			case <-time.After(150 * time.Millisecond):
			}
			service.Kill()
			counter.deaths++
			Expect((<-result).status).NotTo(Equal(http.StatusOK), fmt.Sprint(i))
			restoreEndpoint(ctx, r, service)
		}
		Expect(counter.count()).To(Equal(strikeLimit))
	}, SpecTimeout(time.Minute))
})
