// Package metrics publishes the counters of a process through expvar.
package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
)

// Maps that every process publishes. Refusals and retries have one entry for each reason, events
// and gauges one for each name.
var (
	refusals = newMap("refusals")
	retries  = newMap("retries")
	events   = newMap("events")
	gauges   = newMap("gauges")
)

// registerMu serializes newMap. Registering a name twice would make expvar terminate the process.
var registerMu sync.Mutex

func newMap(name string) *expvar.Map {
	registerMu.Lock()
	defer registerMu.Unlock()
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}

// CountRefusal increments the refusal counter of a reason.
func CountRefusal(reason crocusreel.Reason) { refusals.Add(string(reason), 1) }

// CountRetry increments the retry counter of a reason.
func CountRetry(reason crocusreel.Reason) { retries.Add(string(reason), 1) }

// Count increments the named event counter by one.
func Count(event string) { events.Add(event, 1) }

// CountN increments the named event counter by n.
func CountN(event string, n int64) { events.Add(event, n) }

// Gauge sets the named gauge to a value.
func Gauge(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	gauges.Set(name, v)
}

// GaugeFunc publishes a gauge whose value f computes on each read.
func GaugeFunc(name string, f func() any) { gauges.Set(name, expvar.Func(f)) }

// histogramBoundsMS are the upper bounds of the latency buckets in milliseconds. They are a factor
// of 2 to 2.5 apart and range from a call within a data centre to the longest generation.
var histogramBoundsMS = []int64{5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 40000}

var latencies = newMap("latencies")

// Observe adds a duration to the named latency histogram. Buckets are not cumulative: a duration is
// counted only in the first bucket whose bound it does not exceed, or in the bucket inf.
func Observe(name string, d time.Duration) {
	ms := d.Milliseconds()
	label := "inf"
	for _, bound := range histogramBoundsMS {
		if ms <= bound {
			label = strconv.FormatInt(bound, 10)
			break
		}
	}
	latencies.Add(name+"_le_"+label, 1)
}
