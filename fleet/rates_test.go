package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
)

// mixedSpeeds returns the speeds of a deployment with three kinds of engines.
func mixedSpeeds(engine int, _ time.Duration) float64 { return []float64{0.6, 1.0, 1.6}[engine%3] }

var _ = Describe("placement on engines of different speeds", func() {
	// compare runs a load without and with placement by rates.
	compare := func(speed func(int, time.Duration) float64, prepare func(*rateModel), period time.Duration) (before, after modelResult, changes []fleet.RatesChange) {
		for _, without := range [][]fleet.Mechanism{{fleet.EngineRates}, nil} {
			m := newRateModel(48, 10, speed, without...)
			m.counted = m.now + 15*time.Second
			prepare(m)
			before, after, changes = after, m.run(period, 23.2, 26.1), m.changes
			GinkgoWriter.Println(after, m.changes)
		}
		return before, after, changes
	}

	// Guards against long streams on slow engines, where prefill and stutter make them pause.
	It("keeps long streams where their pause target holds", func() {
		before, after, changes := compare(mixedSpeeds, func(m *rateModel) { m.stutters, m.departures = true, true }, 75*time.Second)
		Expect(changes).NotTo(BeEmpty())
		Expect(after.paused * 5).To(BeNumerically("<", before.paused))
		Expect(after.lateShort).To(BeNumerically("<=", before.lateShort+after.short/100))
	})
})
