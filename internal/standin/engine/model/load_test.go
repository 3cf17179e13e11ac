package model_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
)

const (
	// stallThreshold is the longest time between two tokens of an answer that is not a stall; any
	// time beyond it counts as stall time.
	stallThreshold = 250 * time.Millisecond
	answerCount    = 2000
	seed           = 1
)

// statistics summarizes a run as callers see it, in model time.
type statistics struct {
	preemptions   float64       // per 1,000 answers
	stall         time.Duration // mean per answer
	p50, p99      time.Duration // time between tokens
	firstTokenP99 time.Duration // time to first token, 99th percentile
	tokensPerSec  float64
}

// arrival is one request of a trace.
type arrival struct {
	at  time.Duration
	seq model.Sequence
}

// trace draws Poisson arrivals with lognormal prompt and output lengths.
func trace(perSecond float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	draw := func(median, sigma float64) int { return 1 + int(median*math.Exp(sigma*random.NormFloat64())) }
	var at time.Duration
	list := make([]arrival, answerCount)
	for i := range list {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		list[i] = arrival{at, model.Sequence{
			ID: fmt.Sprint(i), PromptTokens: min(draw(150, 0.7), 4000), OutputTokens: min(draw(180, 0.9), 4000),
		}}
	}
	return list
}

// replay runs a trace in model time until the engine is idle.
func replay(p model.Params, list []arrival) statistics {
	e := model.New(p)
	var now time.Duration
	var gaps, firsts []time.Duration
	var stall time.Duration
	last := map[string]time.Duration{}
	tokens := 0
	for i := 0; i < len(list) || !e.Idle(); {
		if e.Idle() {
			now = max(now, list[i].at)
		}
		for ; i < len(list) && list[i].at <= now; i++ {
			_ = e.Add(list[i].seq)
			last[list[i].seq.ID] = list[i].at
		}
		step := e.Step()
		now += step.Duration
		for _, token := range step.Tokens {
			gap := now - last[token.ID]
			last[token.ID] = now
			tokens++
			if token.Index == 0 {
				firsts = append(firsts, gap)
				continue
			}
			gaps = append(gaps, gap)
			stall += max(0, gap-stallThreshold)
		}
	}
	slices.Sort(gaps)
	slices.Sort(firsts)
	return statistics{
		preemptions:   float64(e.Usage().Preemptions) * 1000 / answerCount,
		stall:         stall / answerCount,
		p50:           gaps[len(gaps)/2],
		p99:           gaps[len(gaps)*99/100],
		firstTokenP99: firsts[len(firsts)*99/100],
		tokensPerSec:  float64(tokens) / now.Seconds(),
	}
}

// Guards against a model in which higher load does not cost preemptions, stalls and slower
// tokens. With -v it logs the table of docs/decisions/0003-engine-model.md, which is in model
// time and therefore the same in each run.
func TestMemoryRunsOutUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, capacity := range []int{8000, 30000} {
		p := model.DefaultParams()
		p.KVBlocks = capacity / p.BlockTokens
		saturated := replay(p, trace(1000))
		mean := 0.0
		for _, a := range trace(1) {
			mean += float64(a.seq.OutputTokens) / answerCount
		}
		var rows []statistics
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			f := replay(p, trace(load*saturated.tokensPerSec/mean))
			rows = append(rows, f)
			t.Logf("| %d | %.2f | %.1f | %d | %d | %d | %d | %.0f |", capacity, load, f.preemptions,
				f.stall.Milliseconds(), f.p50.Milliseconds(), f.p99.Milliseconds(), f.firstTokenP99.Milliseconds(), f.tokensPerSec)
		}
		light, heavy := rows[0], rows[len(rows)-1]
		g.Expect(heavy.preemptions).To(gomega.BeNumerically(">", 10*light.preemptions))
		g.Expect(heavy.stall).To(gomega.BeNumerically(">", light.stall))
		g.Expect(heavy.p50).To(gomega.BeNumerically(">", light.p50))
	}
}
