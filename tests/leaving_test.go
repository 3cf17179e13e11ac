package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// leavingBound is the time after which a leaving endpoint must not start new work. It covers one
// read of the configuration by the reader of each data centre (every 0.2 s here), the propagation
// among controllers and to gateways, and requests that were placed before that; each of these takes
// well under a second.
const leavingBound = 3 * time.Second

// runLoad sends requests through all gateways until the context ends, from three workers per
// gateway, each of which has one request in flight.
func runLoad(ctx context.Context, r *rig.Rig, newRequest func(v *rig.VM, i int) request) *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	for _, v := range r.VMs {
		for worker := range 3 {
			wg.Go(func() {
				for i := worker; ctx.Err() == nil; i += 3 {
					send(ctx, newRequest(v, i))
				}
			})
		}
	}
	return wg
}

// startsAfter counts the runs that an endpoint started after the given time.
func startsAfter(ctx context.Context, e *rig.Endpoint, moment time.Time) int {
	GinkgoHelper()
	n := 0
	for _, run := range runsOf(ctx, e) {
		if run.StartedAt.After(moment) {
			n++
		}
	}
	return n
}

var _ = Describe("An endpoint that is leaving", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() {
		spec := withBookingService()
		spec.Services = append(spec.Services, rig.ServiceSpec{Name: "beds2", DataCentre: "dc2", Prefix: "/beds"})
		r = startRig(spec)
	})

	// An operator drains an engine and a service by an edit. New work that is still sent to them is
	// lost when they stop; work that already runs there may finish.
	It("gets no new work later than the bound after the edit; running work completes", func(ctx SpecContext) {
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		wg := runLoad(loadCtx, r, func(v *rig.VM, i int) request {
			if i%2 == 0 {
				return bookingRequest(v.CallerAddress, fmt.Sprint(v.ID, "-leave-", i), 1)
			}
			return generationRequest(v.CallerAddress, fmt.Sprint("note ", i), 5)
		})
		const length = 300
		engine, service := r.Engines[0], r.Services[0]
		long := startStreamAt(ctx, r, engine, length)
		Eventually(func() int { return startsAfter(ctx, service, time.Time{}) }).Should(BeNumerically(">", 3))

		doc := r.Document()
		for _, e := range []*rig.Endpoint{engine, service} {
			entry := fmt.Sprintf("name = %q\n", e.Name)
			doc.Base = strings.Replace(doc.Base, entry, entry+"leaving = true\n", 1)
		}
		_, err := r.Apply(ctx, r.VMs[1], 1, doc)
		Expect(err).NotTo(HaveOccurred())
		accepted := time.Now()
		time.Sleep(leavingBound + 2*time.Second)
		Expect(startsAfter(ctx, engine, accepted.Add(leavingBound))).To(BeZero())
		Expect(startsAfter(ctx, service, accepted.Add(leavingBound))).To(BeZero())
		Expect(startsAfter(ctx, r.Engines[1], accepted.Add(leavingBound))).To(BeNumerically(">", 0))
		Expect(startsAfter(ctx, r.Services[1], accepted.Add(leavingBound))).To(BeNumerically(">", 0))
		stop()
		wg.Wait()
		expectComplete(<-long, length)
		Expect(r.Apply(ctx, r.VMs[1], 2, r.Document())).To(BeEquivalentTo(3))
		restore(ctx, r)
	}, SpecTimeout(time.Minute))

	// The platform reclaims an engine at short notice, and only the engine announces this, in its
	// load reports. New work that is placed there would be lost with it.
	It("gets no new work later than the bound after its own notice", func(ctx SpecContext) {
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		wg := runLoad(loadCtx, r, func(v *rig.VM, i int) request {
			return generationRequest(v.CallerAddress, fmt.Sprint("note ", i), 5)
		})
		engine := r.Engines[1]
		begun := time.Now()
		Eventually(func() int { return startsAfter(ctx, engine, begun) }).Should(BeNumerically(">", 3))
		setFaults(ctx, admin.EngineFaults{ReclaimInMS: 6000}, engine)
		noticed := time.Now()
		time.Sleep(leavingBound + 2*time.Second)
		Expect(startsAfter(ctx, engine, noticed.Add(leavingBound))).To(BeZero())
		Expect(startsAfter(ctx, r.Engines[0], noticed.Add(leavingBound))).To(BeNumerically(">", 0))
		stop()
		wg.Wait()
	}, SpecTimeout(time.Minute))
})

// startStreamAt starts a stream that runs at the given engine and returns once the response headers
// name that engine. It makes up to 50 tries and fails the spec if none is placed there.
func startStreamAt(ctx context.Context, r *rig.Rig, engine *rig.Endpoint, length int) <-chan response {
	GinkgoHelper()
	for range 50 {
		at := make(chan string, 1)
		q := generationRequest(r.VMs[0].CallerAddress, "long", length)
		q.onStart = func(name string) { at <- name }
		result := sendAsync(ctx, q)
		var name string
		Eventually(at).Should(Receive(&name))
		if name == engine.Name {
			return result
		}
	}
	Fail("no generation was placed at " + engine.Name)
	return nil
}

// fetchAddresses queries a gateway for the caller addresses and the lifetime of that response. Both
// are zero if the query fails.
func fetchAddresses(ctx context.Context, gateway string) (addresses []string, lifetime time.Duration) {
	s := send(ctx, request{gateway: gateway, method: http.MethodGet, path: "/v1/addresses"})
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLMS     int64    `json:"ttl_ms"`
	}
	if s.status != http.StatusOK || json.Unmarshal(s.body, &answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.TTLMS) * time.Millisecond
}

// watchLeaving polls the address responses of all gateways and sends generations to the leaving
// gateway until its process ends. It returns the latest expiry of a response that listed the
// leaving gateway, the time of the first generation that it failed, and the number of responses in
// which it listed itself.
func watchLeaving(ctx context.Context, r *rig.Rig, leaving *rig.VM) (expiry, refused time.Time, ownAnswers int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range r.VMs {
		wg.Go(func() {
			for leaving.Gateway.Running() {
				asked := time.Now()
				addresses, lifetime := fetchAddresses(ctx, v.CallerAddress)
				mu.Lock()
				if slices.Contains(addresses, leaving.CallerAddress) {
					if end := asked.Add(lifetime); end.After(expiry) {
						expiry = end
					}
					if v == leaving {
						ownAnswers++
					}
				}
				mu.Unlock()
				time.Sleep(pollInterval)
			}
		})
	}
	for leaving.Gateway.Running() {
		if s := send(ctx, generationRequest(leaving.CallerAddress, "note", 1)); !s.done && refused.IsZero() {
			refused = time.Now()
		}
	}
	wg.Wait()
	return expiry, refused, ownAnswers
}

var _ = DescribeTable("A leaving gateway is not listed in new address responses and serves until the old ones have expired",
	// Callers cache an address response for its lifetime and then connect directly. If a leaving
	// gateway is still listed in new responses, or closes before old responses have expired, their
	// connections are refused.
	func(ctx SpecContext, before func(r *rig.Rig)) {
		r := startRig(twoDataCentres())
		leaving := r.VMs[0]
		for _, v := range r.VMs {
			Eventually(func() []string {
				addresses, _ := fetchAddresses(ctx, v.CallerAddress)
				return addresses
			}).Should(ConsistOf(r.CallerAddresses()), v.ID)
		}
		before(r)
		leaving.Gateway.Terminate()
		Eventually(func() []string {
			addresses, _ := fetchAddresses(ctx, leaving.CallerAddress)
			return addresses
		}).Should(Equal([]string{r.VMs[1].CallerAddress}))
		expiry, refused, own := watchLeaving(ctx, r, leaving)
		Expect(own).To(BeZero(), "the leaving gateway listed itself")
		Expect(refused).To(BeTemporally(">", expiry))
		Expect(leaving.Gateway.Wait(ctx)).To(BeZero())
	},
	Entry("without other faults", SpecTimeout(time.Minute), func(*rig.Rig) {}),
	Entry("when its controller has just died", SpecTimeout(time.Minute), func(r *rig.Rig) { r.VMs[0].Controller.Kill() }),
	Entry("when its controller is frozen", SpecTimeout(time.Minute), func(r *rig.Rig) { r.VMs[0].Controller.Freeze() }),
)
