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
	platformFaults(ctx, r, admin.PlatformFaults{})
	for _, e := range r.Engines {
		revive(ctx, r, e)
		faults(ctx, admin.EngineFaults{}, e)
	}
	for _, s := range r.Services {
		revive(ctx, r, s)
		faults(ctx, admin.ServiceFaults{}, s)
	}
	for _, v := range r.VMs {
		for _, l := range []*rig.Link{v.Callers, v.GatewayPeers, v.ControllerPeers, v.GatewayPlatform, v.ControllerPlatform} {
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
			Eventually(ctx, func() bool { return send(ctx, generation(v.CallerAddress, "ready?", 1)).done }).Should(BeTrue())
		}
	}
}

func revive(ctx context.Context, r *rig.Rig, e *rig.Endpoint) {
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
