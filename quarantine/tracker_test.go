package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/quarantine"
)

type parts = []quarantine.Part

// Parts of prompts in these specs.
const (
	common quarantine.Part = iota + 1
	rare
	deadly
	otherDeadly
)

// fixture drives one tracker with a clock of its own.
type fixture struct {
	*quarantine.Tracker
	now       time.Duration
	endpoints uint32
	events    []quarantine.Event
}

func newFixture() *fixture {
	b := &fixture{now: time.Hour}
	b.Tracker = quarantine.New(func() time.Duration { return b.now })
	b.OnEvent = func(e quarantine.Event) { b.events = append(b.events, e) }
	return b
}

// crash reports the death of another engine beside a run with the parts, a second later.
func (b *fixture) crash(parts parts) {
	b.now += time.Second
	b.endpoints++
	b.RecordCrash(b.endpoints, parts)
}

// survive reports, a millisecond later, that a run with the parts has gone on past its first event.
func (b *fixture) survive(parts parts) {
	b.now += time.Millisecond
	b.RecordSurvival(parts)
}

func (b *fixture) stateOf(parts parts) quarantine.State { return b.Assess(parts, false).State }

var _ = Describe("the verdict on a part", func() {
	var b *fixture
	BeforeEach(func() { b = newFixture() })

	It("is a suspicion after one crash and a quarantine after three", func() {
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Clear))
		b.crash(parts{deadly})
		b.crash(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
		b.crash(parts{deadly})
		got := b.Assess(parts{common, deadly}, false)
		Expect(got.State).To(Equal(quarantine.Quarantined))
		Expect(got.Crashes).To(Equal(3))
		Expect(got.RetryAfter).To(BeNumerically("~", 2*time.Minute, time.Second))
		Expect(b.stateOf(parts{common})).To(Equal(quarantine.Clear))
	})

	// Guards against a death that is counted once for each run that the engine took with it.
	It("counts a death once however many runs report it", func() {
		for range 5 {
			b.RecordCrash(1, parts{deadly})
			b.RecordCrash(1, parts{deadly, rare})
		}
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
	})

	// Guards against a verdict on parts that all requests have, because they were in each of the runs
	// that died.
	It("leaves out parts that runs survive", func() {
		for range 3 {
			b.crash(parts{common, deadly})
			b.survive(parts{common})
		}
		Expect(b.stateOf(parts{common})).To(Equal(quarantine.Clear))
		Expect(b.stateOf(parts{common, deadly})).To(Equal(quarantine.Quarantined))
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
	})

	It("holds parts that always come together as a set, and tells them apart by runs with some of them", func() {
		for range 3 {
			b.crash(parts{rare, deadly})
		}
		Expect(b.stateOf(parts{rare, deadly})).To(Equal(quarantine.Quarantined))
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Suspect))
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
		b.survive(parts{rare})
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Clear))
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
	})

	// Guards against a rare sound part that is blamed for the crashes of a deadly one.
	It("goes to the part that explains the most crashes", func() {
		b.crash(parts{rare, deadly})
		for n := range 2 {
			b.crash(parts{quarantine.Part(100 + n), deadly})
		}
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Clear))
	})

	It("is drawn for two deadly parts apart from each other", func() {
		for range 3 {
			b.crash(parts{common, deadly})
			b.crash(parts{common, otherDeadly})
			b.survive(parts{common})
		}
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
		Expect(b.stateOf(parts{otherDeadly})).To(Equal(quarantine.Quarantined))
		Expect(b.Verdicts()).To(HaveLen(2))
	})

	// Guards against a part that is blamed because it ran on all engines of a rack that failed.
	It("is not drawn from engines that die at the same moment", func() {
		for endpoint := range uint32(8) {
			b.RecordCrash(endpoint, parts{rare})
			b.now += time.Millisecond
		}
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Suspect))
		b.survive(parts{rare})
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Clear))
	})

	// Guards against common parts that are refused since engines die one after the other of something
	// else.
	It("is not drawn on a part that runs survive between the crashes", func() {
		for range 50 {
			b.survive(parts{common})
			b.crash(parts{common})
			Expect(b.stateOf(parts{common})).To(Equal(quarantine.Clear))
		}
	})

	// Guards against a suspicion that outlasts a survival, because another one was reported just before.
	It("is withdrawn by each survival", func() {
		b.crash(parts{rare})
		b.survive(parts{rare})
		for range 3 {
			b.now += 300 * time.Millisecond
			b.endpoints++
			b.RecordCrash(b.endpoints, parts{rare})
		}
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Suspect))
		b.survive(parts{rare})
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Clear))
	})

	It("is drawn on a part that begins to crash engines after runs have survived it", func() {
		b.survive(parts{deadly})
		b.crash(parts{deadly})
		b.crash(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Clear))
		b.crash(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
		b.crash(parts{deadly})
		b.crash(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
	})

	// Guards against a quarantine that ends by time alone: the next request would crash an engine.
	It("lasts while requests with the part come, and ends some time after the last one", func() {
		for range 3 {
			b.crash(parts{deadly})
		}
		for range 48 {
			b.now += 20 * time.Minute
			Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
			Expect(b.Expire()).To(BeEmpty())
		}
		b.now += 31 * time.Minute
		Expect(b.Expire()).To(ConsistOf("3"))
		Expect(b.Verdicts()).To(BeEmpty())
	})

	// Guards against evidence that is forgotten between requests that come seldom: each would crash an engine.
	It("is drawn on a part whose requests come half an hour apart", func() {
		for range 2 {
			b.crash(parts{deadly})
			b.now += 29 * time.Minute
			Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
		}
		b.crash(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
	})

	It("lets one request through as a probe, more and more seldom", func() {
		b.MayProbe = func() bool { return true }
		for range 3 {
			b.crash(parts{deadly})
		}
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
		for _, wait := range []time.Duration{2 * time.Minute, 4 * time.Minute, 8 * time.Minute} {
			b.now += wait - 2*time.Second
			Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
			b.now += 2 * time.Second
			probe := b.Assess(parts{deadly}, false)
			Expect(probe.Probe).To(BeTrue(), "%v", wait)
			Expect(b.Assess(parts{deadly}, true).State).To(Equal(quarantine.Suspect))
			Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
			b.crash(parts{deadly})
		}
		b.now += 16 * time.Minute
		Expect(b.Assess(parts{deadly}, false).Probe).To(BeTrue())
		b.survive(parts{deadly})
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Clear))
	})

	It("is reported once for each change", func() {
		for range 3 {
			b.crash(parts{common, deadly})
			b.survive(parts{common})
		}
		b.now += time.Second
		b.Release("3")
		var changes []quarantine.Change
		for _, e := range b.events {
			changes = append(changes, e.Change)
		}
		Expect(changes).To(Equal([]quarantine.Change{quarantine.Suspected, quarantine.Cleared, quarantine.MadeQuarantined, quarantine.Released}))
	})

	It("keeps its memory bounded", func() {
		for n := range quarantine.Part(1000) {
			for range 3 {
				b.crash(parts{n})
			}
		}
		Expect(len(b.Verdicts())).To(BeNumerically("<=", 256))
		Expect(len(b.Report().Verdicts)).To(BeNumerically("<=", 4))
		Expect(len(b.Report().Crashes)).To(BeNumerically("<=", 4))
	})
})

var _ = Describe("nodes that tell each other of parts", func() {
	var a, b *fixture
	BeforeEach(func() { a, b = newFixture(), newFixture() })
	exchange := func() {
		a.Merge("b", b.Report())
		b.Merge("a", a.Report())
		a.Merge("b", b.Report())
	}
	pass := func(d time.Duration) {
		a.now += d
		b.now += d
	}

	It("reach the verdict together", func() {
		a.RecordCrash(1, parts{common, deadly})
		pass(time.Second)
		b.RecordCrash(2, parts{common, deadly})
		exchange()
		b.survive(parts{common})
		pass(time.Second)
		a.RecordCrash(3, parts{common, deadly})
		exchange()
		for _, n := range []*fixture{a, b} {
			Expect(n.stateOf(parts{common, deadly})).To(Equal(quarantine.Quarantined))
			Expect(n.stateOf(parts{common})).To(Equal(quarantine.Clear))
		}
	})

	// Guards against a death that two nodes report and that counts twice.
	It("count a death that both have seen once", func() {
		for endpoint := range uint32(2) {
			a.RecordCrash(endpoint, parts{deadly})
			b.RecordCrash(endpoint, parts{deadly})
			exchange()
			pass(time.Second)
		}
		Expect(a.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
	})

	// Guards against a part that is suspected at a node which never ran it, while another node runs it
	// all the time.
	It("clear a part that only one of them has run before", func() {
		a.survive(parts{common})
		pass(time.Minute)
		b.RecordCrash(1, parts{common, deadly})
		Expect(b.stateOf(parts{common})).To(Equal(quarantine.Suspect))
		exchange()
		Expect(b.stateOf(parts{common})).To(Equal(quarantine.Clear))
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
	})

	// Guards against a part that all requests have and that is suspected at a node which has not run it,
	// until the others tell of it: with many nodes that takes seconds.
	It("do not suspect what the node that reports a crash has run before", func() {
		a.survive(parts{common})
		pass(time.Minute)
		a.RecordCrash(1, parts{common, deadly})
		b.Merge("a", a.Report())
		Expect(b.stateOf(parts{common})).To(Equal(quarantine.Clear))
		Expect(b.stateOf(parts{deadly})).To(Equal(quarantine.Suspect))
	})

	// Guards against a quarantine that has ended and comes back from a node that was cut off meanwhile.
	It("agree on the survival after a cut", func() {
		for range 3 {
			pass(time.Second)
			a.endpoints++
			a.RecordCrash(a.endpoints, parts{deadly})
		}
		exchange()
		pass(time.Minute)
		a.survive(parts{deadly})
		pass(time.Minute)
		exchange()
		exchange()
		Expect(a.Verdicts()).To(BeEmpty())
		Expect(b.Verdicts()).To(BeEmpty())
	})

	// Guards against ages that grow with each exchange, so that a quarantine would never expire or never
	// be probed.
	It("do not make a quarantine younger by telling each other", func() {
		for range 3 {
			pass(time.Second)
			a.endpoints++
			a.RecordCrash(a.endpoints, parts{deadly})
		}
		for range 1000 {
			report := a.Report()
			pass(100 * time.Millisecond)
			b.Merge("a", report)
			report = b.Report()
			pass(100 * time.Millisecond)
			a.Merge("b", report)
		}
		pass(28 * time.Minute)
		Expect(a.Expire()).To(HaveLen(1))
		Expect(b.Expire()).To(HaveLen(1))
	})

	// Guards against verdicts that are never told, or that end at a node which gets no request with the part
	// although others refuse such requests all the time, because a report holds only some of them.
	It("keep each of many quarantines while one of them refuses requests", func() {
		for n := range quarantine.Part(10) {
			for range 3 {
				pass(time.Second)
				a.endpoints++
				a.RecordCrash(a.endpoints, parts{100 + n})
			}
		}
		for range 30 {
			for n := range quarantine.Part(10) {
				Expect(a.stateOf(parts{100 + n})).To(Equal(quarantine.Quarantined))
			}
			for range 5 {
				exchange()
			}
			Expect(b.Verdicts()).To(HaveLen(10))
			pass(10 * time.Minute)
			Expect(b.Expire()).To(BeEmpty())
		}
	})

	It("pass the quarantine on to a node that starts", func() {
		for range 3 {
			a.crash(parts{rare, deadly})
		}
		b.Merge("a", quarantine.Report{Verdicts: a.Verdicts()})
		Expect(b.stateOf(parts{rare, deadly})).To(Equal(quarantine.Quarantined))
		Expect(b.stateOf(parts{rare})).To(Equal(quarantine.Suspect))
		b.survive(parts{rare})
		exchange()
		for _, n := range []*fixture{a, b} {
			Expect(n.stateOf(parts{rare})).To(Equal(quarantine.Clear))
			Expect(n.stateOf(parts{deadly})).To(Equal(quarantine.Quarantined))
		}
	})
})
