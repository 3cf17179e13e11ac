package admission_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/admission"
)

const (
	now        = time.Hour
	longTokens = 3752
)

func long() admission.Work {
	return admission.Work{
		Rank: 5, Tokens: longTokens, Workspace: "ws", StartWithin: 1100 * time.Millisecond, MaxWait: 5400 * time.Millisecond, MaxRetry: 13 * time.Second,
	}
}

// busy returns a model that has seen n long runs end within the last 2.5 s.
func busy(n int) *admission.Model {
	m := &admission.Model{}
	for i := range n {
		m.RecordEnd(now-2500*time.Millisecond+time.Duration(i)*2500*time.Millisecond/time.Duration(n), 5, longTokens)
	}
	return m
}

func waiting(rank, requests int) []admission.Backlog {
	return []admission.Backlog{{Rank: rank, Requests: requests, Tokens: requests * longTokens}}
}

// Guards against a prediction from too few runs, as on a node that has just started.
func TestNoPredictionWithThinEvidence(t *testing.T) {
	g := NewWithT(t)
	m := busy(7)
	g.Expect(m.Predict(now, long(), waiting(5, 100), 0).Refuse(long())).To(BeFalse())
	m = busy(8)
	g.Expect(m.Predict(now, long(), waiting(5, 100), 0).Refuse(long())).To(BeTrue())
	g.Expect(m.Predict(now+4*time.Second, long(), waiting(5, 100), 0).Refuse(long())).To(BeFalse())
}

// Guards against a refusal while the queues of all nodes are empty or the backlog fits the free capacity.
func TestNoRefusalWhileThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	m := busy(8)
	g.Expect(m.Predict(now, long(), nil, 0).Refuse(long())).To(BeFalse())
	g.Expect(m.Predict(now, long(), waiting(5, 100), 101*longTokens).Refuse(long())).To(BeFalse())
}

// Guards against less urgent or late work counting as ahead of work that can be on time.
func TestOnlyWorkServedBeforeCountsAsAhead(t *testing.T) {
	g := NewWithT(t)
	m := busy(12)
	for _, rank := range []int{6, 5 + admission.LateRank} {
		p := m.Predict(now, long(), waiting(rank, 100), 0)
		g.Expect(p.Wait).To(BeNumerically("~", 250*time.Millisecond, 10*time.Millisecond))
		g.Expect(p.Refuse(long())).To(BeFalse())
	}
	g.Expect(m.Predict(now, long(), waiting(4, 3), 0).Wait).To(BeNumerically("~", time.Second, 10*time.Millisecond))
}

// Guards against counting the rate of more urgent work as capacity for less urgent work.
func TestRateOfMoreUrgentWorkIsNotAvailable(t *testing.T) {
	g := NewWithT(t)
	m := busy(12)
	for range 12 {
		m.RecordEnd(now-time.Second, 2, longTokens)
	}
	urgent := long()
	urgent.Rank = 2
	g.Expect(m.Predict(now, urgent, nil, 0).Rate).To(BeNumerically("~", 2*m.Predict(now, long(), nil, 0).Rate, 1))
}

// Guards against counting a node twice, an old report, and an unknown backlog that counts as zero rate.
func TestReportsReplaceAndExpire(t *testing.T) {
	g := NewWithT(t)
	m := busy(8)
	alone := m.Predict(now, long(), waiting(5, 10), 0).Wait
	report := []admission.Backlog{{Rank: 5, Requests: 10, Tokens: 10 * longTokens, CompletedPerSecond: 8 * longTokens / 3.0}}
	for range 3 {
		g.Expect(m.SetRemote(now, "other", report)).To(Succeed())
	}
	p := m.Predict(now, long(), waiting(5, 10), 0)
	g.Expect(p.Requests).To(Equal(20))
	g.Expect(p.Wait).To(BeNumerically("~", alone, alone/10))
	g.Expect(m.SetRemote(now, "other", nil)).To(Succeed())
	g.Expect(m.Predict(now, long(), waiting(5, 10), 0).Wait).To(Equal(alone))
	g.Expect(m.SetRemote(now-6*time.Second, "other", report)).To(Succeed())
	g.Expect(m.Predict(now, long(), waiting(5, 10), 0).Requests).To(Equal(10))
}

// Guards against impossible values of a faulty node that replace its last valid report.
func TestImpossibleReportsAreDropped(t *testing.T) {
	g := NewWithT(t)
	m := busy(8)
	g.Expect(m.SetRemote(now, "other", waiting(5, 3))).To(Succeed())
	for _, b := range []admission.Backlog{
		{Rank: -1},
		{Requests: 1 << 30},
		{Tokens: 1},
		{PromisedTokens: -1},
		{CompletedPerSecond: math.NaN()},
		{CompletedPerSecond: -1},
		{CompletedPerSecond: math.Inf(1)},
	} {
		g.Expect(m.SetRemote(now, "other", []admission.Backlog{b})).NotTo(Succeed())
	}
	g.Expect(m.Predict(now, long(), nil, 0).Requests).To(Equal(3))
}

// Guards against a clock that runs backwards, which must not clear or inflate the rate.
func TestClockRunsBackwards(t *testing.T) {
	g := NewWithT(t)
	m := busy(12)
	before := m.Predict(now, long(), nil, 0).Rate
	g.Expect(m.Predict(now-time.Minute, long(), nil, 0).Rate).To(Equal(before))
	g.Expect(m.Predict(now, long(), nil, 0).Rate).To(Equal(before))
}

// Guards against promising the same capacity to several callers, and against promises that never expire.
func TestPromisesFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	m, last := busy(12), time.Duration(0)
	for i := range 6 {
		p := m.Predict(now, long(), waiting(5, 24), 0)
		after, counted := m.Promise(now, long(), p, 0)
		g.Expect(counted).To(BeTrue())
		g.Expect(p.Promised).To(Equal(i * longTokens))
		g.Expect(after - last).To(BeNumerically(">=", 240*time.Millisecond))
		last = after
	}
	g.Expect(m.Predict(now+last+time.Second, long(), waiting(5, 24), 0).Promised).To(BeZero())
}

// Guards against one workspace that takes all promised capacity, and against a time that callers do not wait.
func TestPromisesAreBounded(t *testing.T) {
	g := NewWithT(t)
	m, counted := busy(12), 0
	for i := range 100 {
		w := long()
		p := m.Predict(now, w, waiting(5, 4), 0)
		after, ok := m.Promise(now, w, p, float64(i)/100)
		g.Expect(after).To(BeNumerically("<=", w.MaxRetry))
		if ok {
			counted++
		}
	}
	// A quarter of the 40 runs that end in 10 s.
	g.Expect(counted).To(Equal(10))
	other := long()
	other.Workspace = "other"
	_, ok := m.Promise(now, other, m.Predict(now, other, waiting(5, 4), 0), 0)
	g.Expect(ok).To(BeTrue())
}
