package tests

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/rig"
)

var _ = Describe("A call that kills each plain service that runs it", func() {
	// A call kills every service that runs it, and its caller retries it through one gateway after
	// the other. If each gateway counted only the deaths that it saw, three gateways would let the
	// call kill nine services, and a service with four workers would be down at the second gateway.
	It("is stopped at the bound wherever it is sent next", func(ctx SpecContext) {
		spec := twoDataCentres()
		spec.VMs = append(spec.VMs, rig.VMSpec{ID: "vm3", DataCentre: "dc1"})
		spec.Base = fmt.Sprintf("[limits]\nstrikes = %d\n", strikeLimit)
		for i := range 10 {
			spec.Services = append(spec.Services, rig.ServiceSpec{
				Name: fmt.Sprint("beds", i), DataCentre: fmt.Sprint("dc", i%2+1), Prefix: "/beds",
			})
		}
		r := startRig(spec)
		for _, v := range r.VMs {
			Eventually(func() []string {
				addresses, _ := fetchAddresses(ctx, v.CallerAddress)
				return addresses
			}).Should(ConsistOf(r.CallerAddresses()), v.ID)
		}
		dead := func() (n int) {
			for _, s := range r.Services {
				if !s.Running() {
					n++
				}
			}
			return n
		}
		lookup := func(i int) response {
			return send(ctx, request{
				gateway: r.VMs[i%len(r.VMs)].CallerAddress, method: http.MethodGet, path: "/services/beds/%5B%5Bcrash%5D%5D",
			})
		}
		for i := range 12 {
			Expect(lookup(i).status).NotTo(Equal(http.StatusOK))
		}
		Expect(dead()).To(Equal(strikeLimit))
		for i := range r.VMs {
			refused := lookup(i)
			Expect(refused.refusal).NotTo(BeNil())
			Expect(refused.refusal.Reason).To(Equal(crocusreel.ReasonSuspectRequest))
			Expect(refused.refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		}
	}, SpecTimeout(time.Minute))
})
