package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel"
)

// benchmarkPool returns a pool in which every engine runs 24 answers.
func benchmarkPool(engines int) ([]*Endpoint, *Estimator) {
	est := NewEstimator()
	pool := make([]*Endpoint, engines)
	for i := range pool {
		pool[i] = healthy(fmt.Sprint(i), 30000)
		for n := range 24 {
			pool[i].Attach(fmt.Sprint(n), &Answer{Key: key("w"), Prompt: 300, Produced: 10 * n}, nil)
		}
		pool[i].Refresh(est, 0, false)
	}
	return pool, est
}

func benchmarkPick(b *testing.B, p Picker, engines int) {
	pool, est := benchmarkPool(engines)
	r := &Request{Class: crocusreel.ClassGeneration, Prompt: 300, CachedShare: 0.5}
	r.Holders[0] = "7"
	r.Demand = PredictDemand(est.Survival(key("w")), 300, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(pool, r)
	}
}

// BenchmarkDecision measures picking an endpoint for one request.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{257, 1800} {
		b.Run(fmt.Sprintf("reservation/%d", n), func(b *testing.B) {
			benchmarkPick(b, &Reservation{Risk: 0.02, ShortReserve: 0.1, Share: 1}, n)
		})
		b.Run(fmt.Sprintf("reservation-full/%d", n), func(b *testing.B) {
			benchmarkPick(b, &Reservation{Risk: 0, ShortReserve: 0.1, Share: 0.3}, n)
		})
		b.Run(fmt.Sprintf("watermark/%d", n), func(b *testing.B) {
			benchmarkPick(b, &LeastOutstanding{Watermark: 0.9}, n)
		})
	}
}

// BenchmarkDemand measures predicting the demand of one new request.
func BenchmarkDemand(b *testing.B) {
	est := NewEstimator()
	b.ReportAllocs()
	for b.Loop() {
		_ = PredictDemand(est.Survival(key("w")), 300, 100, 0)
	}
}

// BenchmarkRefresh measures refreshing one engine with 24 answers.
func BenchmarkRefresh(b *testing.B) {
	pool, est := benchmarkPool(1)
	b.ReportAllocs()
	for b.Loop() {
		pool[0].Refresh(est, time.Second, false)
	}
}

// BenchmarkObserve measures recording one completed answer.
func BenchmarkObserve(b *testing.B) {
	est := NewEstimator()
	b.ReportAllocs()
	for b.Loop() {
		est.Observe(key("w"), 300)
	}
}
