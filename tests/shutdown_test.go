package tests

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/settings"
)

const vm2DrainLimitMS = 1500

// smallEngineSpec returns withBookingService with engines whose KV cache holds few generations at
// once, so that requests queue, and with a short drain limit at vm2.
func smallEngineSpec() rig.Spec {
	spec := withBookingService()
	for i := range spec.Engines {
		spec.Engines[i].Args = []string{"--kv-capacity", "1000"}
	}
	spec.EditGateway = func(g *settings.Gateway) {
		if g.VM.ID == "vm2" {
			g.DrainLimitMS = vm2DrainLimitMS
		}
	}
	return spec
}

var _ = Describe("The shutdown of a gateway", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() { r = startRig(smallEngineSpec()) })

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// A gateway receives SIGTERM while it streams long responses, has others in its queue and waits
	// for a booking; callers that still use its address send more. A gateway that exits at once
	// would cut off all of them.
	It("cuts off no request, queued ones included", func(ctx SpecContext) {
		const streams, length = 14, 200
		gateway := r.VMs[0]
		var started atomic.Int64
		var results []<-chan response
		for i := range streams {
			q := generationRequest(gateway.CallerAddress, fmt.Sprint("draft ", i), length)
			q.onToken = func(index int) bool {
				if index == 0 {
					started.Add(1)
				}
				return true
			}
			results = append(results, sendAsync(ctx, q))
		}
		setFaults(ctx, admin.ServiceFaults{SlowMS: 1500}, r.Services...)
		key := uuid.NewString()
		booked := sendAsync(ctx, bookingRequest(gateway.CallerAddress, key, 1))
		Eventually(started.Load).Should(BeNumerically(">", 0))

		gateway.Gateway.Terminate()
		time.Sleep(300 * time.Millisecond)
		lateRequest := sendAsync(ctx, generationRequest(gateway.CallerAddress, "late", 5))
		Expect(int(started.Load())).To(BeNumerically("<", streams), "nothing was queued")

		expectComplete(<-lateRequest, 5)
		for _, result := range results {
			expectComplete(<-result, length)
		}
		Expect((<-booked).status).To(Equal(http.StatusOK))
		Expect(runsWithKey(ctx, key, r.Services...)).To(HaveLen(1))
		Expect(gateway.Gateway.Wait(ctx)).To(BeZero())
	}, SpecTimeout(90*time.Second))

	// An operator signals twice, or the drain limit expires. Streams then end early; without a
	// typed error callers would take the closed connection for a network fault and not know when to
	// retry.
	It("ends streams with typed errors at the second signal and at the limit", func(ctx SpecContext) {
		for i, v := range r.VMs {
			const length = 700
			q := generationRequest(v.CallerAddress, "long draft", length)
			begun := make(chan struct{})
			q.onToken = func(index int) bool {
				if index == 5 {
					close(begun)
				}
				return true
			}
			result := sendAsync(ctx, q)
			Eventually(begun).Should(BeClosed())
			v.Gateway.Terminate()
			if i == 0 {
				time.Sleep(200 * time.Millisecond)
				v.Gateway.Terminate()
			}
			s := <-result
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Reason).To(Equal(crocusreel.ReasonShuttingDown))
			Expect(s.refusal.Outcome).NotTo(Equal(crocusreel.OutcomeNotRun))
			Expect(s.refusal.RetryAfterMS).To(BeNumerically(">", 0))
			expectContiguous(s, 0)
			Expect(v.Gateway.Wait(ctx)).To(BeZero())

			other := r.VMs[1-i]
			rest := send(ctx, resumeRequest(other.CallerAddress, s.handle, len(s.texts)))
			Expect(rest.done).To(BeTrue(), "%+v", rest)
			expectContiguous(rest, len(s.texts))
			Expect(len(s.texts) + len(rest.texts)).To(Equal(length))
			restore(ctx, r)
		}
	}, SpecTimeout(90*time.Second))

	// Every gateway is restarted in turn while callers keep sending through the Go client, which
	// queries addresses as any caller does. No call may fail.
	It("is not noticed by callers when all gateways are restarted in turn", func(ctx SpecContext) {
		c, err := client.New(client.Options{Seeds: r.CallerAddresses(), Key: rig.DefaultKey})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		loadCtx, stop := context.WithCancel(ctx)
		problems := make(chan error, 1000)
		var answers atomic.Int64
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				for loadCtx.Err() == nil {
					prompt := fmt.Sprintf("note %d [[len=20]]", i)
					if _, err := c.Complete(ctx, client.Request{Model: "m", Prompt: prompt}); err != nil {
						problems <- err
					}
					answers.Add(1)
				}
			})
		}
		for _, v := range r.VMs {
			v.Gateway.Terminate()
			Expect(v.Gateway.Wait(ctx)).To(BeZero())
			Expect(v.Gateway.Start()).To(Succeed())
			Expect(r.WaitHealthy(ctx, v.CallerAddress)).To(Succeed())
		}
		stop()
		wg.Wait()
		close(problems)
		for err := range problems {
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(answers.Load()).To(BeNumerically(">", 20))
	}, SpecTimeout(90*time.Second))
})
