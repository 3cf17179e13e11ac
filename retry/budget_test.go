package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against more retries than the budget allows, when an endpoint dies and every request in
// flight is retried. In any order of attempts and retries, the retries stay within the burst plus
// the ratio times the first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, burst = 0.1, 10.0
		b := NewBudget(ratio, burst)
		firsts, retries := 0, 0
		for _, first := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if first {
				b.RecordAttempt()
				firsts++
			} else if b.AllowRetry() {
				retries++
			}
		}
		if float64(retries) > burst+ratio*float64(firsts)+1e-6 {
			t.Fatalf("%d retries for %d first attempts", retries, firsts)
		}
	})
}

func TestBackoffStaysUnderItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for attempt := 1; attempt < 100; attempt++ {
		w := Backoff(attempt, 10*time.Millisecond, time.Second)
		g.Expect(w).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", time.Second)))
	}
}

// Guards against a budget that is full again after each change of its ratio in the configuration.
func TestANewRatioDoesNotRefillABudget(t *testing.T) {
	g := gomega.NewWithT(t)
	budgets := NewBudgets(10)
	retries := 0
	for reload := range 20 {
		for budgets.Get("workspace", 0.1+float64(reload%2)/10).AllowRetry() {
			retries++
		}
	}
	g.Expect(retries).To(gomega.Equal(10))
	budgets.Get("workspace", 1).RecordAttempt()
	g.Expect(budgets.Get("workspace", 0.1).AllowRetry()).To(gomega.BeTrue())
}
