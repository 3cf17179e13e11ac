package fleet_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/enginerate"
	"github.com/crocusreel/crocusreel/fleet"
)

// mixedSpeeds returns the speeds of a deployment with three kinds of engines.
func mixedSpeeds(engine int, _ time.Duration) float64 { return []float64{0.6, 1.0, 1.6}[engine%3] }

// trouble configures a model before it runs.
type trouble func(*rateModel)

// compareRates runs the load of 48 engines with 23.2 long and 26.1 short arrivals per second without and
// with placement by rates, and prints both results.
func compareRates(nodes int, speed func(int, time.Duration) float64, t trouble) (before, after modelResult, changes []fleet.RatesChange) {
	GinkgoHelper()
	for _, without := range [][]fleet.Mechanism{{fleet.EngineRates}, nil} {
		m := newRateModel(48, nodes, speed, without...)
		m.counted = m.now + 15*time.Second
		t(m)
		before, after, changes = after, m.run(60*time.Second, 23.2, 26.1), m.changes
		AddReportEntry("result", after.String())
		GinkgoWriter.Println("without", without, after, m.changes)
	}
	return before, after, changes
}

var _ = Describe("placement on engines of different speeds", func() {
	// Guards against long streams on slow engines, where prefill and stutter make them pause.
	DescribeTable("keeps long streams where their pause target holds", func(nodes int, departures bool) {
		before, after, changes := compareRates(nodes, mixedSpeeds, func(m *rateModel) { m.stutters, m.departures = true, departures })
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Different).To(BeTrue())
		Expect(after.paused * 3).To(BeNumerically("<", before.paused))
		Expect(after.paused).To(BeNumerically("<", after.long*3/100))
		Expect(after.lateLong).To(BeNumerically("<=", before.lateLong))
		Expect(after.lateShort).To(BeNumerically("<=", before.lateShort+after.short/100))
	},
		Entry("10 nodes", 10, false),
		Entry("10 nodes, engines leave and are replaced", 10, true),
		Entry("80 nodes, engines leave and are replaced", 80, true),
	)

	// Guards against a change of placement on engines of equal speed: stutter and new engines must not
	// look like different speeds.
	It("places as without the mechanism on equal engines that stutter, leave and are replaced", func() {
		before, after, changes := compareRates(10, func(int, time.Duration) float64 { return 1 }, func(m *rateModel) { m.stutters, m.departures = true, true })
		Expect(changes).To(BeEmpty())
		Expect(after).To(Equal(before))
	})

	// Guards against more work on engines that have become slow, and against a reaction later than the
	// disturbance.
	It("follows a third of the engines that are four times slower for 6 s", func() {
		slow := func(engine int, at time.Duration) float64 {
			if since := at - time.Hour; engine%3 == 0 && since >= 30*time.Second && since < 36*time.Second {
				return 0.25
			}
			return 1
		}
		before, after, changes := compareRates(10, slow, func(*rateModel) {})
		Expect(changes).NotTo(BeEmpty())
		Expect(after.paused).To(BeNumerically("<=", before.paused))
		Expect(after.lateLong + after.lateShort).To(BeNumerically("<=", before.lateLong+before.lateShort))
	})
})

var _ = Describe("measured rates", func() {
	var w *fixture
	// stream runs one stream on the engine with one update every four events of 16 tokens.
	stream := func(gap time.Duration, updates int) *fleet.Placement {
		p := w.mustPlace(generation(3000, 800))
		w.now += 400 * time.Millisecond
		for i := range updates {
			p.SetProduced(16*i + 4)
			w.now += gap
		}
		return p
	}
	BeforeEach(func() { w = newFixture() })

	// Guards against a node whose evidence does not reach the others.
	It("are reported with step, prefill rate, weight and age", func() {
		w.addEngine("e1", "dc1")
		stream(120*time.Millisecond, 8)
		rates := w.OwnRates()
		Expect(rates).To(HaveLen(1))
		Expect(rates[0].Key).To(Equal(fleet.Incarnation{ID: "e1"}.Key()))
		Expect(rates[0].Step).To(BeNumerically("~", 7400*time.Microsecond, 50*time.Microsecond))
		Expect(rates[0].PrefillPerSecond).To(BeNumerically("~", 7500, 1))
		Expect(rates[0].Weight).To(Equal(8))
		Expect(rates[0].Age).To(Equal(120 * time.Millisecond))
	})

	// Guards against a datagram that exceeds its size.
	It("are reported for at most 16 engines", func() {
		for i := range 20 {
			w.addEngine(fmt.Sprint(i), "dc1")
		}
		var runs []*fleet.Placement
		for range 20 {
			runs = append(runs, w.mustPlace(generation(3000, 800)))
		}
		w.now += 400 * time.Millisecond
		for _, p := range runs {
			p.SetProduced(4)
		}
		Expect(w.OwnRates()).To(HaveLen(16))
	})

	// Guards against evidence on an earlier incarnation that counts for the engine that replaced it.
	It("are discarded with the incarnation", func() {
		w.addEngine("e1", "dc1")
		stream(120*time.Millisecond, 8)
		w.Update(fleet.Instance{ID: "e1", StartedAtMS: 5, Service: "pool", DataCentre: "dc1", Slots: 24})
		Expect(w.OwnRates()).To(BeEmpty())
	})

	// Guards against a report of another node that fails on an engine that this node does not know.
	It("ignore reports on unknown incarnations", func() {
		w.SetRemoteRates("node2", []fleet.EndpointRate{{Key: 4711, Report: enginerate.Report{Step: time.Millisecond, Weight: 9}}})
		Expect(w.OwnRates()).To(BeEmpty())
	})

	// Guards against a pause by a move that counts as a slow engine.
	It("do not include the pause of a move", func() {
		w.addEngine("e1", "dc1")
		p := stream(120*time.Millisecond, 8)
		w.addEngine("e2", "dc1")
		target := w.ReserveMoveTarget(p, generation(3000, 800))
		target.EndCopy()
		w.now += 5 * time.Second
		target.SetProduced(16 * 9)
		for _, r := range w.OwnRates() {
			Expect(r.Key).NotTo(Equal(fleet.Incarnation{ID: "e2"}.Key()))
		}
	})

	// Guards against a disabled mechanism that still learns and reports.
	It("are not collected while the mechanism is disabled", func() {
		w.Disabled = fleet.DisabledMechanisms{fleet.EngineRates: true}
		w.addEngine("e1", "dc1")
		stream(120*time.Millisecond, 8)
		Expect(w.OwnRates()).To(BeEmpty())
	})
})

var _ = Describe("choice among engines that differ", func() {
	// differing returns a fleet of engines with the given steps, as another node has measured them. The
	// remote ones are in another data centre.
	differing := func(steps map[string]time.Duration, remote ...string) *fixture {
		w := newFixture()
		var rates []fleet.EndpointRate
		for id, step := range steps {
			dataCentre := "dc1"
			if slices.Contains(remote, id) {
				dataCentre = "dc2"
			}
			w.addEngine(id, dataCentre)
			rates = append(rates, fleet.EndpointRate{
				Key: fleet.Incarnation{ID: id}.Key(), Report: enginerate.Report{Step: step, PrefillPerSecond: 1e5 / step.Seconds() / 1000, Weight: 16},
			})
		}
		for range 20 {
			w.SetRemoteRates("node2", rates)
			w.mustPlace(generation(3000, 800)).Release(fleet.Neutral)
			w.now += 300 * time.Millisecond
		}
		w.SetRemoteRates("node2", rates)
		return w
	}
	long := generation(3000, 800)
	long.Target, long.GapTarget = 1800*time.Millisecond, 45*time.Millisecond
	short := generation(2200, 8)
	short.Target = 1500 * time.Millisecond
	steps := map[string]time.Duration{"slow": 12 * time.Millisecond, "middle": 7 * time.Millisecond, "fast": 4 * time.Millisecond}

	// Guards against long streams on a slow engine while a fast one has capacity, and against refusing
	// them when no other has.
	It("uses an engine that misses the pause target only if no other has capacity", func() {
		w := differing(steps)
		for range 18 {
			Expect(w.placeRunning(long).Instance().ID).NotTo(Equal("slow"))
		}
		Expect(w.placeRunning(long).Instance().ID).To(Equal("slow"))
	})

	// Guards against copies to fast engines of another data centre, which take the link of the leaving engine
	// for twice the time while other runs wait for it.
	It("moves a run to a slow engine of the same data centre, and to a fast one if there is one", func() {
		w := differing(map[string]time.Duration{"source": 4 * time.Millisecond, "slow": 12 * time.Millisecond, "remote": 4 * time.Millisecond}, "remote")
		p := w.placeRunning(long)
		Expect(p.Instance().ID).To(Equal("source"))
		Expect(w.ReserveMoveTarget(p, long).Instance().ID).To(Equal("slow"))

		w = differing(map[string]time.Duration{"source": 4 * time.Millisecond, "slow": 12 * time.Millisecond, "fast": 5 * time.Millisecond})
		p = w.placeRunning(long)
		Expect(p.Instance().ID).To(Equal("source"))
		Expect(w.ReserveMoveTarget(p, long).Instance().ID).To(Equal("fast"))
	})

	// Guards against slow engines that stay unused while short answers slow down the streams on others.
	It("uses a slow engine without streams for short answers", func() {
		w := differing(steps)
		for range 8 {
			w.placeRunning(long)
		}
		Expect(w.mustPlace(short).Instance().ID).To(Equal("slow"))
	})
})
