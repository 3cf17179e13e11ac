// Package metrics publishes the counters of a process through expvar.
package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
)

// Counters of all processes. Each map has one entry for each reason.
var (
	refusals = newMap("refusals")
	retries  = newMap("retries")
	events   = newMap("events")
	gauges   = newMap("gauges")
)

// registerOnce guards against a second registration of a name, at which expvar
// stops the process.
var registerOnce sync.Mutex

func newMap(name string) *expvar.Map {
	registerOnce.Lock()
	defer registerOnce.Unlock()
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}

// Refused counts a refusal by its reason.
func Refused(reason crocusreel.Reason) { refusals.Add(string(reason), 1) }

// Retried counts a retry by its reason.
func Retried(reason crocusreel.Reason) { retries.Add(string(reason), 1) }

// Count adds one to the named event counter.
func Count(event string) { events.Add(event, 1) }

// CountN adds n to the named event counter.
func CountN(event string, n int64) { events.Add(event, n) }

// Gauge sets a named gauge.
func Gauge(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	gauges.Set(name, v)
}

// GaugeFunc publishes a gauge that is computed when it is read.
func GaugeFunc(name string, f func() any) { gauges.Set(name, expvar.Func(f)) }

// histogramBounds are the upper bounds of latency buckets, in milliseconds: a factor of
// two apart, from a call within a data centre to the longest generation.
var histogramBounds = []int64{5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 40000}

var latencies = newMap("latencies")

// Observe adds a duration to the named latency histogram. Each bucket counts the
// durations up to its bound.
func Observe(name string, d time.Duration) {
	ms := d.Milliseconds()
	label := "inf"
	for _, bound := range histogramBounds {
		if ms <= bound {
			label = strconv.FormatInt(bound, 10)
			break
		}
	}
	latencies.Add(name+"_le_"+label, 1)
}
