package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel"
)

func key(workspace string) LengthKey {
	return LengthKey{Workspace: workspace, Class: crocusreel.ClassGeneration, Model: "m"}
}

// recordRandomHistory draws a history of running, completed and cut-off answers and records it in
// e.
func recordRandomHistory(t *rapid.T, e *Estimator, k LengthKey) {
	n := rapid.IntRange(0, 600).Draw(t, "answers")
	e.BeginListing()
	for _, produced := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 40).Draw(t, "running") {
		e.AddRunning(k, produced)
	}
	e.EndListing()
	seed := rapid.Uint64().Draw(t, "seed")
	r := rand.New(rand.NewPCG(seed, 0))
	for range n {
		length := int(math.Exp(r.NormFloat64()*1.5 + 5))
		if r.IntN(5) == 0 {
			e.ObserveCensored(k, length)
			continue
		}
		e.Observe(k, length)
	}
}

func TestSurvivalIsADistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator()
		recordRandomHistory(t, e, key("w"))
		s := e.Survival(key("w"))
		before := 1.0
		for n := 0.0; n < 100000; n = n*1.3 + 1 {
			p := s.ProbExceeds(n)
			if !(p >= 0 && p <= before) {
				t.Fatalf("survival at %v tokens is %v, want between 0 and %v", n, p, before)
			}
			before = p
		}
	})
}

func TestRemainingProbabilityDecreasesWithTheHorizon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator()
		recordRandomHistory(t, e, key("w"))
		s := e.Survival(key("w"))
		produced := float64(rapid.IntRange(0, 20000).Draw(t, "produced"))
		before := 1.0
		for _, h := range horizon {
			p := s.ProbRemainingExceeds(produced, h)
			if !(p >= 0 && p <= before+1e-9) {
				t.Fatalf("probability of more than the tokens produced (%v) plus %v is %v, want between 0 and %v", produced, h, p, before)
			}
			before = p
		}
	})
}

// Guards against a survival above 1: rounding lets counts and their total drift apart over a long
// history. The variance is then negative and its root NaN, so that no comparison refuses a request.
// In a trial, engines were filled to more than twice their memory, with hundreds of preemptions for
// their callers.
func TestDemandProbabilitiesStayValidAfterALongHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEstimator()
	r := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		e.Observe(key("w"), int(math.Exp(r.NormFloat64()*0.6+6.4)))
		d := PredictDemand(e.Survival(key("w")), 100, r.IntN(2000), 0)
		for i := range d.prob {
			g.Expect(d.prob[i]).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", 1)))
		}
	}
}

func TestEstimateLearnsAndFollowsAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEstimator()
	for range 400 {
		e.Observe(key("w"), 100)
	}
	g.Expect(e.Survival(key("w")).Mean()).To(gomega.BeNumerically("~", 100, 25))
	for range 3 * lengthDecayAnswers {
		e.Observe(key("w"), 2000)
	}
	g.Expect(e.Survival(key("w")).Mean()).To(gomega.BeNumerically("~", 1900, 300))
}

func TestNewWorkspaceUsesThePriorOfItsModel(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEstimator()
	cold := e.Survival(key("cold")).Mean()
	for range 400 {
		e.Observe(key("warm"), 2000)
	}
	g.Expect(e.Survival(key("cold")).Mean()).To(gomega.BeNumerically(">", 3*cold))
}

// Guards against an estimate that leaves out the long answers that callers give up on. It would
// hold only the short ones, and engines would be filled with answers that outgrow them.
func TestCutOffAnswersDoNotBiasTheEstimate(t *testing.T) {
	g := gomega.NewWithT(t)
	all, cut := NewEstimator(), NewEstimator()
	r := rand.New(rand.NewPCG(2, 2))
	for range 4000 {
		length := int(math.Exp(r.NormFloat64()*0.8 + 6))
		cutoff := 200 + r.IntN(1000)
		all.Observe(key("w"), length)
		if length > cutoff {
			cut.ObserveCensored(key("w"), cutoff)
		} else {
			cut.Observe(key("w"), length)
		}
	}
	truth := all.Survival(key("w")).Mean()
	g.Expect(cut.Survival(key("w")).Mean()).To(gomega.BeNumerically("~", truth, 0.25*truth))
}

// Guards against an estimate made only from the answers that end first. Many answers start at once
// in a new pool, and the short ones end first; engines would be filled as if all were short.
func TestRunningAnswersPreventABiasTowardsShortOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEstimator()
	for range 10 {
		e.Observe(key("w"), 50)
	}
	naive := e.Survival(key("w")).ProbExceeds(500)
	e.BeginListing()
	for range 90 {
		e.AddRunning(key("w"), 450)
	}
	e.EndListing()
	g.Expect(e.Survival(key("w")).ProbExceeds(400)).To(gomega.BeNumerically(">", 0.7))
	e.BeginListing()
	e.EndListing()
	g.Expect(e.Survival(key("w")).ProbExceeds(500)).To(gomega.BeNumerically("~", naive, 1e-3))
}

func TestEstimatorIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEstimator()
	for i := range maxLengthKeys + 100 {
		e.Observe(key(fmt.Sprint(i)), 100)
	}
	g.Expect(e.Len()).To(gomega.Equal(maxLengthKeys))
	g.Expect(e.keys).To(gomega.HaveKey(key(fmt.Sprint(maxLengthKeys+99))), "the newest key is kept")
	g.Expect(e.keys).NotTo(gomega.HaveKey(key("0")), "the oldest key is evicted")
}
