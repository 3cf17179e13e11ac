package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/retry"
)

// Guards against more retries in a window than the ratio allows, when all requests are retried at
// once after an outage. Endpoints count over a sliding window; a budget that accumulates over quiet
// minutes would be spent within a second. Counts expire by whole slices: retries are checked over
// the window without its oldest slice, first attempts over the window and the slice before it.
func TestRetriesAreLimitedInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		now := time.Hour
		set := &retry.Windows{
			Ratio: 0.2, Slack: 20, Length: length,
			Now: func() time.Duration { return now }, Nodes: func() int { return 2 },
		}
		w := set.Get("service")
		var firsts, retries []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				w.RecordAttempt()
				firsts = append(firsts, now)
			} else if w.AllowRetry() {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent := countWithin(retries, end-length+time.Second, end)
			earned := countWithin(firsts, end-length-time.Second, end)
			if float64(spent) > 0.2*float64(earned)+20/2 {
				t.Fatalf("%d retries for %d first attempts in the window up to %s", spent, earned, end)
			}
		}
	})
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

// Guards against nodes that each use the whole slack, which is shared, and together exceed it.
func TestSlackIsSharedByAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	spent := func(nodes int) int {
		set := &retry.Windows{
			Slack: 70, Length: 10 * time.Second,
			Now: func() time.Duration { return time.Hour }, Nodes: func() int { return nodes },
		}
		n := 0
		for set.Get("service").AllowRetry() {
			n++
		}
		return n
	}
	g.Expect(spent(1)).To(gomega.BeNumerically("<=", 70))
	g.Expect(7 * spent(7)).To(gomega.BeNumerically("<=", 70))
	g.Expect(spent(7)).To(gomega.BeNumerically(">", 0))
}
