package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const service = Key(7)

// Guards against counting the use of a node twice when its reports repeat, arrive after a partition or run backwards.
func TestReportsReplaceEarlierOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Charge(0, service, 1, 1000)
	for range 50 {
		l.SetRemote(0, "b", []Use{{service, 1, 5000}})
	}
	g.Expect(l.Received(0, service, 1)).To(gomega.BeNumerically("~", 6000, 1))
	l.SetRemote(0, "b", []Use{{service, 1, 200}})
	g.Expect(l.Received(0, service, 1)).To(gomega.BeNumerically("~", 1200, 1))
	l.SetRemote(0, "b", []Use{{service, 2, 300}})
	g.Expect(l.Received(0, service, 1)).To(gomega.BeNumerically("~", 1000, 1))
	g.Expect(l.Received(0, service, 2)).To(gomega.BeNumerically("~", 300, 1))
}

// Guards against the use of a dead node, or of one that reports nothing, being kept forever or dropped at once.
func TestUseOfASilentNodeDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.SetRemote(0, "dead", []Use{{service, 1, 100_000}})
	l.SetRemote(DecayTime, "dead", nil)
	g.Expect(l.Received(DecayTime, service, 1)).To(gomega.BeNumerically("~", 100_000/math.E, 1))
	l.Prune(20 * DecayTime)
	g.Expect(l.Workspaces(20*DecayTime, service)).To(gomega.BeEmpty())
	g.Expect(l.remote).To(gomega.BeEmpty())
	g.Expect(l.totals).To(gomega.BeEmpty())
	g.Expect(l.entries).To(gomega.BeZero())
}

// Guards against impossible values in reports and against a clock that jumps back.
func TestImpossibleValuesKeepTheLastEstimate(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.SetRemote(time.Second, "b", []Use{{service, 1, 5000}})
	for _, tokens := range []float64{math.NaN(), math.Inf(1), -1, math.MaxUint32} {
		l.SetRemote(time.Second, "b", []Use{{service, 1, tokens}})
		l.Charge(time.Second, service, 1, tokens)
	}
	g.Expect(l.Dropped).To(gomega.Equal(8))
	g.Expect(l.Received(time.Second, service, 1)).To(gomega.BeNumerically("~", 5000, 1))
	g.Expect(l.Received(0, service, 1)).To(gomega.BeNumerically("~", 5000, 1))
}

// Guards against a report that makes a datagram exceed its size, and against unbounded state.
func TestReportsAndStateAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for workspace := range Key(100) {
		l.Charge(0, service, workspace, 100+float64(workspace))
	}
	own := l.Own(0)
	g.Expect(own).To(gomega.HaveLen(MaxReported))
	g.Expect(own[0].Workspace).To(gomega.Equal(Key(99)))
	for node := range 1000 {
		var uses []Use
		for i := range Key(100) {
			uses = append(uses, Use{service, Key(node)*100 + i, 1000})
		}
		l.SetRemote(0, string(rune(node)), uses)
	}
	g.Expect(l.entries).To(gomega.BeNumerically("<=", maxRemoteEntries))
}

// Guards against shares that alternate between active and inactive near the limit, and against shares for a workspace that is alone.
func TestActivationHasHysteresis(t *testing.T) {
	g := gomega.NewWithT(t)
	var a Activation
	two, one := map[Key]bool{1: true, 2: true}, map[Key]bool{1: true}
	flood, even := map[Key]float64{1: 90, 2: 10, 3: 10, 4: 10}, map[Key]float64{1: 10, 2: 10, 3: 10, 4: 10}
	g.Expect(a.Update(0, flood, one)).To(gomega.BeFalse())
	g.Expect(a.Update(0, even, two)).To(gomega.BeFalse())
	g.Expect(a.Update(0, flood, two)).To(gomega.BeTrue())
	changes := 0
	for i := range 100 {
		received := flood
		if i%2 == 0 {
			received = even
		}
		if a.Update(time.Duration(i)*100*time.Millisecond, received, two) {
			changes++
		}
	}
	g.Expect(changes).To(gomega.BeZero())
	g.Expect(a.Update(11*time.Second, even, one)).To(gomega.BeFalse())
	g.Expect(a.Update(13*time.Second, even, one)).To(gomega.BeTrue())
	g.Expect(a.Active).To(gomega.BeFalse())
	g.Expect(a.Update(14*time.Second, map[Key]float64{1: 90, 2: 10}, two)).To(gomega.BeTrue())
}
