package tests

import (
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/platform"
)

var _ = Describe("A data centre", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() { r = startRig(withBookingService()) })

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// All links between two data centres, and from one of them to the platform, break, while
	// callers still reach it. Generations continue on the engines that it reaches; bookings can't
	// be recorded and must be refused with a truthful outcome. After the links heal, nothing that
	// was refused may run.
	It("that is cut off goes on with generations and refuses bookings truthfully", func(ctx SpecContext) {
		cut := r.VMs[1]
		for _, v := range r.VMs {
			v.GatewayPeerLink.Cut()
			v.ControllerPeerLink.Cut()
		}
		cut.GatewayPlatformLink.Cut()
		cut.ControllerPlatformLink.Cut()
		r.Engines[0].Link.Cut()

		Eventually(func() bool { return send(ctx, generationRequest(cut.CallerAddress, "cut off", 20)).done }).Should(BeTrue())
		expectComplete(send(ctx, generationRequest(cut.CallerAddress, "cut off", 20)), 20)
		key := uuid.NewString()
		s := send(ctx, bookingRequest(cut.CallerAddress, key, 1))
		Expect(s.refusal).NotTo(BeNil(), "%+v", s)
		Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		restore(ctx, r)
		Consistently(func() int { return len(runsWithKey(ctx, key, r.Services...)) }).
			WithTimeout(time.Second).Should(BeZero())
		for _, v := range r.VMs {
			expectComplete(send(ctx, generationRequest(v.CallerAddress, "healed", 20)), 20)
		}
	}, SpecTimeout(time.Minute))

	// The platform's list of VMs is stale: it names one that no longer exists and lacks one that is
	// alive. Callers that are directed to the missing one would wait for a timeout, and the
	// unlisted one would serve nobody.
	It("is served by the VMs that are alive, even if the list is stale", func(ctx SpecContext) {
		ghost, err := rig.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Platform.Admin.SetVMs(ctx, []platform.VM{
			{ID: "ghost", DataCentre: "dc1", Region: "r1", PeerAddress: ghost},
			{ID: "vm1", DataCentre: "dc1", Region: "r1", PeerAddress: r.VMs[0].ControllerPeerAddress},
		})).To(Succeed())
		time.Sleep(2500 * time.Millisecond) // the platform stand-in shows a new list of VMs after 2 s
		for _, v := range r.VMs {
			v.Controller.Kill()
			v.Gateway.Kill()
			Expect(v.Controller.Start()).To(Succeed())
			Expect(v.Gateway.Start()).To(Succeed())
		}
		for _, v := range r.VMs {
			Eventually(func() []string {
				addresses, _ := fetchAddresses(ctx, v.CallerAddress)
				return addresses
			}).Should(ConsistOf(r.CallerAddresses()), v.ID)
			expectComplete(send(ctx, generationRequest(v.CallerAddress, "stale list", 5)), 5)
		}
		Expect(r.PublishVMs(ctx)).To(Succeed())
	}, SpecTimeout(time.Minute))
})
