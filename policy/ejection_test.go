package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against an engine that answers its polls but hardly decodes: it looks idle and attracts
// work, and its callers get their tokens very slowly.
func TestSlowEndpointIsEjectedAndReadmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	var pool []*Endpoint
	for i := range 4 {
		e := healthy(fmt.Sprint(i), 1000)
		e.Rate, e.RateSamples = 100, minRateSamples
		pool = append(pool, e)
	}
	pool[2].Rate = 10
	var j Ejector
	g.Expect(j.Update(pool, 0)).To(gomega.Equal(1))
	g.Expect(pool[2].Eligible(&Request{})).To(gomega.BeFalse())
	g.Expect(j.Update(pool, ejectionDuration)).To(gomega.BeZero())
	g.Expect(pool[2].Eligible(&Request{})).To(gomega.BeTrue())
}

func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "endpoints")
		var pool []*Endpoint
		for i := range n {
			e := healthy(fmt.Sprint(i), 1000)
			e.Rate = rapid.Float64Range(0, 100).Draw(t, "rate")
			e.RateSamples = rapid.IntRange(0, 2*minRateSamples).Draw(t, "samples")
			pool = append(pool, e)
		}
		var j Ejector
		for step := range 5 {
			j.Update(pool, time.Duration(step)*time.Second)
			out := 0
			for _, e := range pool {
				if e.Ejected {
					out++
				}
			}
			if float64(out) > maxEjectedShare*float64(n) {
				t.Fatalf("%d of %d endpoints are ejected, want at most a third", out, n)
			}
		}
	})
}

func TestRampIsGradual(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Ramp(0)).To(gomega.BeNumerically("==", rampInitialShare))
	g.Expect(Ramp(rampDuration / 2)).To(gomega.BeNumerically("~", (1+rampInitialShare)/2, 1e-9))
	g.Expect(Ramp(rampDuration)).To(gomega.BeNumerically("==", 1))
}
