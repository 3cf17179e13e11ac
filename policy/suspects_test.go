package policy

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const strikeTTL = StrikeTTL

func TestStrikesAddUpAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSuspects(strikeTTL)
	s.Record(Strike{Fingerprint: 7, Death: 1, At: 0})
	s.Record(Strike{Fingerprint: 7, Death: 2, At: time.Minute})
	g.Expect(s.Count(7, time.Minute)).To(gomega.Equal(2))
	g.Expect(s.TimeUntilBelow(7, 1, time.Minute)).To(gomega.Equal(strikeTTL))
	g.Expect(s.TimeUntilBelow(7, 2, time.Minute)).To(gomega.Equal(strikeTTL - time.Minute))
	g.Expect(s.TimeUntilBelow(7, 3, time.Minute)).To(gomega.BeZero())
	g.Expect(s.Count(7, time.Minute+strikeTTL+1)).To(gomega.BeZero())
}

func TestFinishedRequestIsCleared(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSuspects(strikeTTL)
	s.Record(Strike{Fingerprint: 7, Death: 1})
	s.Clear(7, time.Second)
	g.Expect(s.Count(7, 0)).To(gomega.BeZero())
	// A gateway that received the strike earlier still sends it.
	s.Merge(Strike{Fingerprint: 7, Death: 1, At: 0}, 2*time.Second)
	g.Expect(s.Count(7, 2*time.Second)).To(gomega.BeZero())
	s.Merge(Strike{Fingerprint: 7, Death: 2, At: 3 * time.Second}, 3*time.Second)
	g.Expect(s.Count(7, 3*time.Second)).To(gomega.Equal(1))
}

// Guards against losing strikes while two gateways both act as the scheduler and each sees only
// some deaths of a request. Each death must count exactly once: otherwise the request kills one
// more engine, with all other answers in progress there.
func TestStrikesOfAnotherSchedulerAreTakenOver(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSuspects(strikeTTL)
	s.Record(Strike{Fingerprint: 7, Death: 1, At: time.Minute})
	s.Merge(Strike{Fingerprint: 7, Death: 1, At: time.Minute}, time.Minute)
	s.Merge(Strike{Fingerprint: 7, Death: 2, At: time.Minute}, time.Minute)
	s.Merge(Strike{Fingerprint: 8, Death: 3, At: 0}, strikeTTL+time.Second)
	g.Expect(s.Count(7, time.Minute)).To(gomega.Equal(2))
	g.Expect(s.Count(8, strikeTTL+time.Second)).To(gomega.BeZero())
	g.Expect(s.AppendStrikes(nil, 10, time.Minute)).To(gomega.HaveLen(2))
}

func TestSuspectsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSuspects(strikeTTL)
	for n := range uint64(maxSuspects + 10) {
		s.Record(Strike{Fingerprint: n + 1, Death: 1, At: time.Duration(n)})
	}
	g.Expect(s.deaths).To(gomega.HaveLen(maxSuspects))
	g.Expect(s.deaths).NotTo(gomega.HaveKey(uint64(1)))
	for n := range uint64(maxDeathsPerFingerprint + 10) {
		s.Record(Strike{Fingerprint: maxSuspects, Death: n})
	}
	g.Expect(s.Count(maxSuspects, 0)).To(gomega.Equal(maxDeathsPerFingerprint))
}

func TestPrefixesExpireAndAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPrefixIndex()
	p.AddAll("a", []uint64{1, 2, 3, 4}, 0)
	names, share := p.Holders([]uint64{1, 2, 9, 10}, time.Second)
	g.Expect(names[:]).To(gomega.ContainElement("a"))
	g.Expect(share).To(gomega.BeNumerically("==", 0.5))
	_, share = p.Holders([]uint64{1, 2}, 2*prefixTTL)
	g.Expect(share).To(gomega.BeZero())
	p.AddIfKnown("b", 2, time.Second)
	p.AddIfKnown("b", 77, time.Second)
	p.Remove("a", 2)
	names, _ = p.Holders([]uint64{1, 2}, time.Second)
	g.Expect(names[:]).To(gomega.ContainElement("b"))
	g.Expect(names[:]).NotTo(gomega.ContainElement("a"))
	_, share = p.Holders([]uint64{77}, time.Second)
	g.Expect(share).To(gomega.BeZero())
	p.RemoveEndpoint("a")
	p.RemoveEndpoint("b")
	_, share = p.Holders([]uint64{1, 2}, time.Second)
	g.Expect(share).To(gomega.BeZero())
	for n := range uint64(maxPrefixes + 100) {
		p.Add("a", n, 0)
	}
	g.Expect(p.Len()).To(gomega.BeNumerically("<=", maxPrefixes))
}

func TestRiskFollowsTheWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(NewRiskController(1, 10).Risk()).To(gomega.BeNumerically("<", NewRiskController(10, 1).Risk()))
	f := NewRiskController(1, 1)
	before := f.Risk()
	f.RecordPreemptions(1)
	g.Expect(f.Risk()).To(gomega.BeNumerically("<", before))
	for range 100000 {
		f.RecordCompletion()
	}
	g.Expect(f.Risk()).To(gomega.BeNumerically("~", maxRiskFactor*baseRisk, 1e-6))
	for range 1000 {
		f.RecordPreemptions(1)
	}
	g.Expect(f.Risk()).To(gomega.BeNumerically("~", baseRisk/maxRiskFactor, 1e-6))
}
