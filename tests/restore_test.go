package tests

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// restore removes every fault between two specs that share a system: it clears injected faults,
// resumes and restarts processes, heals links, and waits until every gateway answers.
func restore(ctx context.Context, r *rig.Rig) {
	GinkgoHelper()
	setPlatformFaults(ctx, r, admin.PlatformFaults{})
	for _, e := range r.Engines {
		restoreEndpoint(ctx, r, e)
		setFaults(ctx, admin.EngineFaults{}, e)
	}
	for _, s := range r.Services {
		restoreEndpoint(ctx, r, s)
		setFaults(ctx, admin.ServiceFaults{}, s)
	}
	for _, v := range r.VMs {
		for _, l := range []*rig.Link{v.CallerLink, v.GatewayPeerLink, v.ControllerPeerLink, v.GatewayPlatformLink, v.ControllerPlatformLink} {
			if l != nil {
				Expect(l.Heal()).To(Succeed())
			}
		}
		for _, p := range []*rig.Process{v.Controller, v.Gateway} {
			p.Thaw()
			if !p.Running() {
				Expect(p.Start()).To(Succeed())
			}
		}
	}
	for _, v := range r.VMs {
		Expect(r.WaitHealthy(ctx, v.CallerAddress)).To(Succeed())
		if len(r.Engines) > 0 {
			Eventually(ctx, func() bool { return send(ctx, generationRequest(v.CallerAddress, "ready?", 1)).done }).Should(BeTrue())
		}
	}
}

func restoreEndpoint(ctx context.Context, r *rig.Rig, e *rig.Endpoint) {
	GinkgoHelper()
	e.Thaw()
	if !e.Running() {
		Expect(e.Restart()).To(Succeed())
	}
	if e.Link != nil {
		Expect(e.Link.Heal()).To(Succeed())
	}
	Expect(r.WaitHealthy(ctx, e.Address)).To(Succeed())
}
