// Package tests runs the whole system as real processes on loopback, behind fault-injecting
// proxies. Its checks compare what callers and endpoints observed and don't rely on what the system
// reports about itself.
package tests

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

const (
	// startTimeout bounds the start of a whole system and waitTimeout any single wait. Both are
	// generous because the machine may be busy; a passing test returns earlier.
	startTimeout = 60 * time.Second
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binDir is the directory that holds the binaries under test.
var binDir string

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	SetDefaultEventuallyPollingInterval(pollInterval)
	RunSpecs(t, "faults")
}

var _ = BeforeSuite(func(ctx SpecContext) {
	dir, err := os.MkdirTemp("", "crocusreel-tests-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binDir = filepath.Join(dir, "bin")
	Expect(rig.Build(ctx, "..", binDir)).To(Succeed())
}, NodeTimeout(5*time.Minute))

// startRig starts a system and stops it at the end of the spec or of the ordered container. The
// logs are kept if the environment variable KEEP_LOGS names a directory.
func startRig(spec rig.Spec) *rig.Rig {
	GinkgoHelper()
	spec.Dir, spec.Bin = logDir(), binDir
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	r, err := rig.Start(ctx, spec)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

func logDir() string {
	GinkgoHelper()
	keep := os.Getenv("KEEP_LOGS")
	dir, err := os.MkdirTemp(keep, "rig-")
	Expect(err).NotTo(HaveOccurred())
	if keep == "" {
		DeferCleanup(os.RemoveAll, dir)
	}
	return dir
}

// runsWithKey returns the runs that the endpoints started under an idempotency key.
func runsWithKey(ctx context.Context, key string, endpoints ...*rig.Endpoint) []admin.Run {
	GinkgoHelper()
	var found []admin.Run
	for _, e := range endpoints {
		for _, run := range runsOf(ctx, e) {
			if run.IdempotencyKey == key {
				found = append(found, run)
			}
		}
	}
	return found
}

func runsOf(ctx context.Context, e *rig.Endpoint) []admin.Run {
	GinkgoHelper()
	runs, err := e.Admin.Runs(ctx)
	Expect(err).NotTo(HaveOccurred())
	return runs
}

// setFaults replaces the faults injected into engines or services.
func setFaults(ctx context.Context, f any, endpoints ...*rig.Endpoint) {
	GinkgoHelper()
	for _, e := range endpoints {
		Expect(e.Admin.SetFaults(ctx, f)).To(Succeed())
	}
}

func setPlatformFaults(ctx context.Context, r *rig.Rig, f admin.PlatformFaults) {
	GinkgoHelper()
	Expect(r.Platform.Admin.SetFaults(ctx, f)).To(Succeed())
}

// endpointNamed returns the engine or plain service with the given name and fails the spec if there
// is none.
func endpointNamed(r *rig.Rig, name string) *rig.Endpoint {
	GinkgoHelper()
	for _, e := range append(r.Engines, r.Services...) {
		if e.Name == name {
			return e
		}
	}
	Fail("no engine or service named " + name)
	return nil
}
