package tests

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/testcert"
	"github.com/crocusreel/crocusreel/settings"
)

// certificates holds certificates of one authority for every listener of a rig.
type certificates struct {
	authority *testcert.Authority
	// peers, callers and operators are shared by all processes, which run on one IP address.
	peers, callers, operators settings.TLS
}

func newCertificates() *certificates {
	GinkgoHelper()
	authority, err := testcert.NewAuthority("first")
	Expect(err).NotTo(HaveOccurred())
	s := &certificates{
		authority: authority, peers: testcert.Files(GinkgoT().TempDir()),
		callers: testcert.Files(GinkgoT().TempDir()), operators: testcert.Files(GinkgoT().TempDir()),
	}
	for _, files := range []settings.TLS{s.peers, s.callers, s.operators} {
		Expect(authority.Issue(files, rig.LoopbackIP, authority)).To(Succeed())
	}
	return s
}

// serverOnly returns the settings without the authority, so that the listener does not require
// client certificates.
func serverOnly(t settings.TLS) settings.TLS {
	return settings.TLS{CertFile: t.CertFile, KeyFile: t.KeyFile}
}

// clientWithoutCertificate returns a client that trusts the authority and has no certificate of its
// own.
func (s *certificates) clientWithoutCertificate() *http.Client {
	GinkgoHelper()
	pem, err := os.ReadFile(s.callers.CAFile)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(pem)).To(BeTrue())
	return &http.Client{
		Timeout:   waitTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool}},
	}
}

func twoDataCentresWithTLS(s *certificates) rig.Spec {
	spec := twoDataCentres()
	spec.EditGateway = func(g *settings.Gateway) { g.PeerTLS = s.peers }
	spec.EditController = func(c *settings.Controller) { c.PeerTLS = s.peers }
	return spec
}

// expectGatewaysAnswer sends a generation to every gateway. One of them is not the scheduler, so
// permits cross the links between gateways.
func expectGatewaysAnswer(ctx context.Context, r *rig.Rig) {
	GinkgoHelper()
	for _, v := range r.VMs {
		Eventually(func() int {
			return send(ctx, request{gateway: v.CallerAddress, path: "/v1/completions", body: map[string]any{
				"model": "m", "prompt": "[[len=5]]",
			}}).status
		}).Should(Equal(http.StatusOK), v.ID)
	}
}

var _ = Describe("TLS", func() {
	It("between processes carries permits and membership, and admits nobody without a certificate", func(ctx SpecContext) {
		s := newCertificates()
		r := startRig(twoDataCentresWithTLS(s))
		expectGatewaysAnswer(ctx, r)
		for _, address := range []string{r.VMs[0].GatewayPeerAddress, r.VMs[0].ControllerPeerAddress} {
			_, err := s.clientWithoutCertificate().Get("https://" + address + "/healthz")
			Expect(err).To(MatchError(ContainSubstring("certificate required")))
		}
	}, NodeTimeout(2*startTimeout))

	// The authority is replaced while the processes run: first both authorities are trusted, then
	// new certificates are issued, then the old authority is removed. A process that kept the files
	// that it read at start would be cut off from the others.
	It("goes on while the authority is replaced under running processes", func(ctx SpecContext) {
		s := newCertificates()
		r := startRig(twoDataCentresWithTLS(s))
		next, err := testcert.NewAuthority("second")
		Expect(err).NotTo(HaveOccurred())
		// Each step waits until every process has checked the files for changes.
		const reloadWait = 2500 * time.Millisecond
		Expect(s.authority.Issue(s.peers, rig.LoopbackIP, s.authority, next)).To(Succeed())
		time.Sleep(reloadWait)
		Expect(next.Issue(s.peers, rig.LoopbackIP, s.authority, next)).To(Succeed())
		time.Sleep(reloadWait)
		Expect(next.Issue(s.peers, rig.LoopbackIP, next)).To(Succeed())
		time.Sleep(reloadWait)
		expectGatewaysAnswer(ctx, r)
		// A restarted gateway opens all its connections anew.
		r.VMs[1].Gateway.Kill()
		Expect(r.VMs[1].Gateway.Start()).To(Succeed())
		Expect(r.WaitHealthy(ctx, r.VMs[1].CallerAddress)).To(Succeed())
		expectGatewaysAnswer(ctx, r)
	}, NodeTimeout(3*startTimeout))

	It("towards callers and operators works with the command line", func(ctx SpecContext) {
		s := newCertificates()
		spec := twoDataCentres()
		spec.NoConfig = true
		spec.EditGateway = func(g *settings.Gateway) { g.CallerTLS = serverOnly(s.callers) }
		spec.EditController = func(c *settings.Controller) { c.OperatorTLS = serverOnly(s.operators) }
		r := startRig(spec)
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "base.toml"), []byte(r.Document().Base), 0o600)).To(Succeed())
		Eventually(func() error {
			cmd := exec.CommandContext(ctx, filepath.Join(binDir, "crocusreel"), "config", "apply", dir,
				"--operator", r.VMs[0].OperatorAddress, "--ca-file", s.operators.CAFile)
			cmd.Env = append(os.Environ(), "CROCUSREEL_KEY="+rig.OperatorKey)
			return cmd.Run()
		}).Should(Succeed())
		Eventually(func() int {
			res, err := s.clientWithoutCertificate().Get("https://" + r.VMs[1].CallerAddress + "/healthz")
			if err != nil {
				return 0
			}
			_ = res.Body.Close()
			return res.StatusCode
		}).Should(Equal(http.StatusOK))
	}, NodeTimeout(2*startTimeout))
})
