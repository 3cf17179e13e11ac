package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
