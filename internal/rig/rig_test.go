package rig_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Several suites run in parallel, each with links that are cut and healed. If the rig of another
// process takes the port of a link while it is cut, the link cannot be healed, and a run of random
// faults fails with "address already in use" although the system is correct.
func TestRigsOfOtherProcessesDoNotTakeThePortsOfCutLinks(t *testing.T) {
	g := NewWithT(t)
	listen, err := rig.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	target, err := rig.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	link, err := rig.NewLink("l", listen, target)
	g.Expect(err).NotTo(HaveOccurred())
	link.Cut()
	_, port, err := net.SplitHostPort(listen)
	g.Expect(err).NotTo(HaveOccurred())
	other, err := net.Listen("tcp", net.JoinHostPort(rig.LoopbackIPOf(os.Getpid()+1), port))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = other.Close() }()
	g.Expect(link.Heal()).To(Succeed())
	link.Cut()
}

// buildTimeout is the timeout for building the programs, as in the suites that use rigs.
const buildTimeout = 5 * time.Minute

// Tests that kill, freeze or disconnect stand-ins prove nothing if these faults do not take effect.
func TestStandinsDieFreezeAndRestart(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	// The build has its own timeout: it is not under test, and takes minutes on a busy machine.
	buildCtx, cancelBuild := context.WithTimeout(t.Context(), buildTimeout)
	defer cancelBuild()
	g.Expect(rig.Build(buildCtx, "../..", bin)).To(Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := rig.Start(ctx, rig.Spec{
		Dir: dir, Bin: bin, Links: true, NoConfig: true,
		Engines:  []rig.EngineSpec{{Name: "e1", DataCentre: "dc1", Models: []string{"m"}}},
		Services: []rig.ServiceSpec{{Name: "s1", DataCentre: "dc1", Prefix: "/beds"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	for _, e := range []*rig.Endpoint{r.Engines[0], r.Services[0]} {
		g.Expect(r.WaitHealthy(ctx, e.Address)).To(Succeed())
		e.Kill()
		g.Expect(e.Running()).To(BeFalse())
		g.Expect(e.Restart()).To(Succeed())
		g.Expect(r.WaitHealthy(ctx, e.Address)).To(Succeed())

		e.Freeze()
		g.Expect(waitHealthyBriefly(ctx, r, e.Address)).NotTo(Succeed())
		e.Thaw()
		g.Expect(r.WaitHealthy(ctx, e.Address)).To(Succeed())

		g.Expect(e.Link.Stall(rig.Downstream)).To(Succeed())
		g.Expect(waitHealthyBriefly(ctx, r, e.Address)).NotTo(Succeed())
		g.Expect(e.Link.Heal()).To(Succeed())
		g.Expect(r.WaitHealthy(ctx, e.Address)).To(Succeed())
	}
	g.Expect(r.Platform.Admin.SetFaults(ctx, admin.PlatformFaults{Down: true})).To(Succeed())
}

func waitHealthyBriefly(ctx context.Context, r *rig.Rig, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	return r.WaitHealthy(ctx, address)
}
