package relay_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/relay"
)

// The simulated load: an engine with three to ten long generations is reclaimed. The figures are
// those of the users' deployments: 18,432 bytes a token over a link of 2,700 Mbit/s, prompts of
// 3,000 tokens on average and answers of up to 2,200, a notice of 1.54 to 2.1 s, and 100 new tokens
// a second for each run. A quarter of the runs find a target in another data centre only, where a
// copy takes twice as long. Copies queue on the link in the order in which they are requested.
const (
	// stallLimit is the pause from which a caller's answer counts as stalled.
	stallLimit = 180 * time.Millisecond
	// resumeTime is the latency of the request to the target.
	resumeTime     = 20 * time.Millisecond
	tokensPerSec   = 100
	departureCount = 500
	farShare       = 0.25
	farFactor      = 2
	// prefillTokensPerSec is the number of prompt tokens that an engine prefills in a second.
	prefillTokensPerSec = 7500
	// reportDelay is the latency of the message that a run has moved.
	reportDelay = 15 * time.Millisecond
)

// run is a run on a leaving engine. far is set if it finds a target in another data centre only.
type run struct {
	relay.EngineRun
	far bool
}

// departure is one leaving engine.
type departure struct {
	runs   []run
	notice time.Duration
}

func randomDepartures(seed uint64) []departure {
	random := rand.New(rand.NewPCG(seed, 0))
	var all []departure
	for range departureCount {
		d := departure{notice: 1540*time.Millisecond + time.Duration(random.IntN(560))*time.Millisecond}
		for i := range 3 + random.IntN(8) {
			events := 1 + random.IntN(500)
			d.runs = append(d.runs, run{
				EngineRun: relay.EngineRun{ID: fmt.Sprintf("r%d", i), Tokens: 1000 + random.IntN(4000) + 4*events, Events: events},
				far:       random.Float64() < farShare,
			})
		}
		all = append(all, d)
	}
	return all
}

// ordered returns the runs in the order in which the code moves them.
func (d departure) ordered() []run {
	var plain []relay.EngineRun
	byID := make(map[string]run)
	for _, r := range d.runs {
		plain = append(plain, r.EngineRun)
		byID[r.ID] = r
	}
	var all []run
	for _, r := range relay.MigrationOrder(plain, spec) {
		all = append(all, byID[r.ID])
	}
	return all
}

// outcome counts the streams of all departures by how they ended.
type outcome struct{ smooth, stalled, lost int }

func (o *outcome) add(stopped, pause, notice time.Duration) {
	switch {
	case stopped > notice:
		o.lost++
	case pause+resumeTime > stallLimit:
		o.stalled++
	default:
		o.smooth++
	}
}

// link models an engine's link, which transfers one copy after another.
type link struct{ free time.Duration }

// copy returns when a copy ends that is requested at the given time.
func (l *link) copy(at time.Duration, tokens int, far bool) time.Duration {
	took := spec.CopyTime(tokens)
	if far {
		took *= farFactor
	}
	l.free = max(l.free, at) + took
	return l.free
}

// policy simulates one departure.
type policy func(d departure) outcome

func noMoves(d departure) outcome { return outcome{lost: len(d.runs)} }

// inTurn is the implemented policy: a run is copied, and the next one starts when that is reported
// or its wait times out. When the engine exits, each run is resumed from its copy, where the last
// tokens are recomputed.
func inTurn(delay time.Duration) policy {
	return func(d departure) (o outcome) {
		l := &link{}
		at := time.Duration(0)
		for _, r := range d.ordered() {
			copied := l.copy(at, r.Tokens, r.far)
			recomputed := float64(newTokens(relay.RefreshInterval)) / prefillTokensPerSec
			o.add(copied, time.Duration(recomputed*float64(time.Second)), d.notice)
			maxWait := time.Duration(relay.TurnSlackFactor * float64(relay.MoveTime(r.Tokens, spec)))
			at = min(copied+delay, at+maxWait)
		}
		return o
	}
}

func newTokens(d time.Duration) int { return int(d.Seconds() * tokensPerSec) }

// step is the next copy that a run requests from the link.
type step struct {
	run run
	at  time.Duration
	// first is set for the copy of the whole memory.
	first bool
	// since is when the memory was last copied.
	since time.Duration
}

// stopAndCopy starts each run's move at its given time, and stops the run once a small copy took
// less than 40 ms, or 0.25 s before the engine exits.
func stopAndCopy(starts func(d departure) []time.Duration) policy {
	return func(d departure) (o outcome) {
		var steps []step
		at := starts(d)
		for i, r := range d.ordered() {
			steps = append(steps, step{run: r, at: at[i], first: true})
		}
		l := &link{}
		for len(steps) > 0 {
			slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
			s := steps[0]
			steps = steps[1:]
			tokens := s.run.Tokens
			if !s.first {
				tokens = newTokens(s.at - s.since)
			}
			end := l.copy(s.at, tokens, s.run.far)
			quick := !s.first && end-s.at < 40*time.Millisecond
			if !quick && end < d.notice-250*time.Millisecond {
				steps = append(steps, step{run: s.run, at: end, since: s.at})
				continue
			}
			stopped := l.copy(end, newTokens(end-s.at), s.run.far)
			o.add(stopped, stopped-end, d.notice)
		}
		return o
	}
}

func atOnce(d departure) []time.Duration { return make([]time.Duration, len(d.runs)) }

// spaced allots each run the time of its copy and a margin.
func spaced(d departure) []time.Duration {
	var starts []time.Duration
	at := time.Duration(0)
	for _, r := range d.ordered() {
		starts = append(starts, at)
		at += spec.CopyTime(r.Tokens)*115/100 + relay.MoveOverhead
	}
	return starts
}

func simulate(all []departure, p policy) outcome {
	var sum outcome
	for _, d := range all {
		o := p(d)
		sum.smooth += o.smooth
		sum.stalled += o.stalled
		sum.lost += o.lost
	}
	return sum
}

var _ = Describe("moves in turn, on a model of the link", func() {
	// Two seeds, so that the comparison does not depend on one.
	for _, seed := range []uint64{1, 2} {
		It(fmt.Sprintf("let more streams continue smoothly than the alternatives, seed %d", seed), func() {
			all := randomDepartures(seed)
			inTurnResult, spacedResult, atOnceResult := simulate(all, inTurn(reportDelay)), simulate(all, stopAndCopy(spaced)), simulate(all, stopAndCopy(atOnce))
			none, best := simulate(all, noMoves), simulate(all, inTurn(0))
			AddReportEntry("smooth, stalled, lost", fmt.Sprintf("in turn %v, spaced %v, at once %v, no moves %v, without report delay %v",
				inTurnResult, spacedResult, atOnceResult, none, best))
			Expect(none.smooth).To(BeZero())
			Expect(inTurnResult.smooth).To(BeNumerically(">", spacedResult.smooth))
			Expect(inTurnResult.smooth).To(BeNumerically(">", atOnceResult.smooth))
			Expect(inTurnResult.lost).To(BeNumerically("<", spacedResult.lost))
			Expect(inTurnResult.smooth).To(BeNumerically(">=", best.smooth*9/10))
		})
	}
})
