package enginerate_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/enginerate"
)

const (
	start = time.Hour
	batch = 150 * time.Millisecond
)

// observe records gaps of one engine, one per batch, from a time on for a period.
func observe(e *enginerate.Estimator, from, period time.Duration, perToken func(i int) time.Duration) time.Duration {
	now := from
	for i := 0; now < from+period; i++ {
		e.ObserveGap(now, perToken(i), 0)
		now += batch
	}
	return now
}

func steady(step time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return step }
}

// Guards against prefill and stutter that count as a slow engine.
func TestDisturbedGapsDoNotChangeTheStep(t *testing.T) {
	g := NewWithT(t)
	var e enginerate.Estimator
	now := observe(&e, start, 3*time.Second, func(i int) time.Duration {
		return []time.Duration{7, 7, 16, 16, 40, 7, 16}[i%7] * time.Millisecond
	})
	own, ok := e.Own(now)
	g.Expect(ok).To(BeTrue())
	g.Expect(own.Step).To(BeNumerically("~", 7*time.Millisecond, time.Millisecond))
}

// Guards against an engine that keeps its work for longer than a disturbance after it became slow.
func TestFourTimesSlowerIsFollowedWithinTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	var e enginerate.Estimator
	now := observe(&e, start, 10*time.Second, steady(7*time.Millisecond))
	now = observe(&e, now, 2*time.Second, steady(28*time.Millisecond))
	own, _ := e.Own(now)
	g.Expect(own.Step).To(BeNumerically("~", 28*time.Millisecond, time.Millisecond))
}

// Guards against a busy engine that counts as slow because of the number of its runs.
func TestStepIsThatOfAnUnloadedEngine(t *testing.T) {
	g := NewWithT(t)
	var e enginerate.Estimator
	for i := range 10 {
		e.ObserveGap(start+time.Duration(i)*batch, 9400*time.Microsecond, 20)
	}
	own, _ := e.Own(start + 10*batch)
	g.Expect(own.Step).To(BeNumerically("~", 7*time.Millisecond, 10*time.Microsecond))
}

// Guards against invalid reports that replace the last valid estimate.
func TestImpossibleReportsAreRefused(t *testing.T) {
	g := NewWithT(t)
	valid := enginerate.Report{Step: 7 * time.Millisecond, PrefillPerSecond: 14_000, Weight: 10}
	var e enginerate.Estimator
	g.Expect(e.SetRemote("a", valid, start)).To(BeTrue())
	for _, change := range []func(*enginerate.Report){
		func(r *enginerate.Report) { r.Step = -1 },
		func(r *enginerate.Report) { r.Step = 2 * time.Minute },
		func(r *enginerate.Report) { r.PrefillPerSecond = -1 },
		func(r *enginerate.Report) { r.PrefillPerSecond = math.NaN() },
		func(r *enginerate.Report) { r.PrefillPerSecond = math.Inf(1) },
		func(r *enginerate.Report) { r.Weight = 0 },
		func(r *enginerate.Report) { r.Age = -time.Second },
		func(r *enginerate.Report) { r.Step, r.PrefillPerSecond = 0, 0 },
	} {
		r := valid
		change(&r)
		g.Expect(e.SetRemote("a", r, start)).To(BeFalse(), "%+v", r)
	}
	g.Expect(e.ObserveGap(start, 0, 1)).To(BeFalse())
	g.Expect(e.ObserveGap(start, -time.Second, 1)).To(BeFalse())
	g.Expect(e.ObserveFirstEvent(start, -time.Second, 3000, 0)).To(BeFalse())
	table := enginerate.Table{}
	estimate := e.Merge(start)
	table.Update(start, []enginerate.Estimate{estimate})
	g.Expect(table.Rate(start, estimate)).To(Equal(enginerate.Rate{Step: valid.Step, PrefillPerSecond: valid.PrefillPerSecond}))
}

// engines returns the estimates of engines with the given steps, observed for a period that ends at
// now.
func engines(now, period time.Duration, steps ...time.Duration) []enginerate.Estimate {
	var all []enginerate.Estimate
	for _, step := range steps {
		var e enginerate.Estimator
		var merged enginerate.Estimate
		for at := now - period; at <= now; at += batch {
			e.ObserveGap(at, step, 0)
			merged = e.Merge(at)
		}
		all = append(all, merged)
	}
	return all
}

// Guards against one faulty report that makes all other engines look fast.
func TestRateFarFromTheMedianIsDropped(t *testing.T) {
	g := NewWithT(t)
	all := engines(start, 3*time.Second, 7*time.Millisecond, 7*time.Millisecond, time.Second, 7*time.Millisecond)
	var table enginerate.Table
	_, impossible := table.Update(start, all)
	g.Expect(impossible).To(Equal(1))
	g.Expect(table.Rate(start, all[2])).To(Equal(table.Median()))
}

// Guards against placement that changes with each short disturbance.
func TestDifferenceMustLastBeforeItCounts(t *testing.T) {
	g := NewWithT(t)
	slow := []time.Duration{7 * time.Millisecond, 7 * time.Millisecond, 12 * time.Millisecond}
	equal := []time.Duration{7 * time.Millisecond, 7 * time.Millisecond, 7 * time.Millisecond}
	var table enginerate.Table
	update := func(at time.Duration, steps []time.Duration) bool {
		changed, _ := table.Update(at, engines(at, 3*time.Second, steps...))
		return changed
	}
	g.Expect(update(start, slow)).To(BeFalse())
	g.Expect(update(start+500*time.Millisecond, equal)).To(BeFalse())
	g.Expect(update(start+time.Second, slow)).To(BeFalse())
	g.Expect(update(start+2*time.Second, slow)).To(BeTrue())
	g.Expect(table.Different).To(BeTrue())
	g.Expect(update(start+3*time.Second, equal)).To(BeFalse())
	g.Expect(update(start+13*time.Second, equal)).To(BeTrue())
	g.Expect(table.Different).To(BeFalse())
}

// Guards against a decision on evidence of a few engines, or on the first moment of a new one.
func TestLittleEvidenceDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	var table enginerate.Table
	table.Update(start, engines(start, 3*time.Second, 7*time.Millisecond, 20*time.Millisecond))
	g.Expect(table.Ratio).To(Equal(1.0))
	table.Update(start, engines(start, 600*time.Millisecond, 7*time.Millisecond, 7*time.Millisecond, 20*time.Millisecond))
	g.Expect(table.Ratio).To(Equal(1.0))
}

// Guards against an old report that outlives its evidence, and against a lost node that counts forever.
func TestReportsExpire(t *testing.T) {
	g := NewWithT(t)
	var e enginerate.Estimator
	e.SetRemote("a", enginerate.Report{Step: 20 * time.Millisecond, Weight: 10, Age: 5 * time.Second}, start)
	g.Expect(e.Merge(start).Known()).To(BeTrue())
	g.Expect(e.Merge(start + 16*time.Second).Known()).To(BeFalse())
}

// Guards against counting the same evidence twice after a partition: a report replaces the node's last.
func TestReportReplacesTheNodesLast(t *testing.T) {
	g := NewWithT(t)
	var e enginerate.Estimator
	for range 10 {
		e.SetRemote("a", enginerate.Report{Step: 20 * time.Millisecond, Weight: 3}, start)
	}
	e.SetRemote("b", enginerate.Report{Step: 7 * time.Millisecond, Weight: 8}, start)
	var table enginerate.Table
	all := []enginerate.Estimate{e.Merge(start)}
	table.Update(start, all)
	g.Expect(table.Step).To(Equal(7 * time.Millisecond))
}

// BenchmarkObserveGap measures what each batch of events costs.
func BenchmarkObserveGap(b *testing.B) {
	var e enginerate.Estimator
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now += batch
		e.ObserveGap(now, 7*time.Millisecond, 5)
	}
}
