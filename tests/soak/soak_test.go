// Package soak runs a mixed load of callers against the whole system while processes are killed and
// frozen, links are cut and the platform is disturbed at random, and then compares the results of
// the callers with the runs at the endpoints.
package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
)

// Environment variables that configure a run, and their defaults.
const (
	envSeed     = "SEED"
	envRequests = "REQUESTS"

	defaultSeed     = 1
	defaultRequests = 1000

	// serviceLatencyMS is long enough for faults to hit calls while they run.
	serviceLatencyMS = "150"
)

// restoreLimit bounds the time in which the system must serve again once all faults are removed.
const restoreLimit = time.Minute

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

func intFromEnv(name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred(), name)
	return n
}

// systemSpec returns two data centres with two VMs, two engines and one service each. One of the
// services deduplicates repeated calls.
func systemSpec() rig.Spec {
	s := rig.Spec{
		Links: true,
		Services: []rig.ServiceSpec{
			{Name: "beds1", DataCentre: "dc1", Prefix: "/beds", Args: []string{"--latency-ms", serviceLatencyMS}},
			{Name: "beds2", DataCentre: "dc2", Prefix: "/beds", Args: []string{"--latency-ms", serviceLatencyMS, "--drops-repeats"}},
		},
	}
	for i := range 4 {
		dc := fmt.Sprint("dc", i%2+1)
		s.VMs = append(s.VMs, rig.VMSpec{ID: fmt.Sprint("vm", i+1), DataCentre: dc})
		s.Engines = append(s.Engines, rig.EngineSpec{
			Name: fmt.Sprint("e", i+1), DataCentre: dc, Models: []string{"m"}, Args: []string{"--time-scale", "4"},
		})
	}
	return s
}

var _ = Describe("A mixed load under random faults", func() {
	// Faults hit any part at any moment, several at once or in succession. Callers may be refused
	// or get an unknown outcome, but never a false outcome, another request's text or a second run
	// of non-idempotent work.
	It("violates no guarantee", func(ctx SpecContext) {
		seed, requests := intFromEnv(envSeed, defaultSeed), intFromEnv(envRequests, defaultRequests)
		dir, err := os.MkdirTemp(os.Getenv("KEEP_LOGS"), "soak-")
		Expect(err).NotTo(HaveOccurred())
		if os.Getenv("KEEP_LOGS") == "" {
			DeferCleanup(os.RemoveAll, dir)
		}
		s := systemSpec()
		s.Dir, s.Bin = dir, filepath.Join(dir, "bin")
		Expect(rig.Build(ctx, "../..", s.Bin)).To(Succeed())
		r, err := rig.Start(ctx, s)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Close)

		chaosCtx, stopChaos := context.WithCancel(ctx)
		defer stopChaos()
		c := newChaos(chaosCtx, r, uint64(seed))
		results := load(ctx, r, uint64(seed), requests)
		stopChaos()
		c.wait()
		restoreCtx, cancel := context.WithTimeout(ctx, restoreLimit)
		defer cancel()
		Expect(c.restore(restoreCtx)).To(Succeed())
		Expect(waitUntilServing(restoreCtx, r)).To(Succeed())

		violations := findViolations(ctx, r, results)
		AddReportEntry("summary", summary(seed, results, c, violations))
		fmt.Println(summary(seed, results, c, violations))
		Expect(violations).To(BeEmpty())
	}, NodeTimeout(time.Hour))
})
