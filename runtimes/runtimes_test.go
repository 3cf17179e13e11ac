package runtimes_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/runtimes"
)

var kind = runtimes.Kind{Service: "pool", Route: "letters"}

// clock is a clock that stands still unless it is moved.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func newTracker() (*clock, *runtimes.Tracker) {
	c := &clock{now: time.Hour}
	return c, runtimes.NewTracker(c.read)
}

// run plays a run with a number of events.
func (c *clock) run(t *runtimes.Tracker, first, gap time.Duration, events int) {
	r := t.Begin(kind)
	c.now += first
	for range events {
		r.Event()
		c.now += gap
	}
	r.End(true)
}

const (
	events = 24
	first  = 300 * time.Millisecond
	gap    = 40 * time.Millisecond
)

var floor = runtimes.Pace{First: 2 * time.Second, Gap: 48 * time.Millisecond}

// Guards against a bound without evidence, at a node that has just started.
func TestNothingIsKnownOfFewRuns(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 4 {
		c.run(all, first, gap, events)
		_, known := all.LongestStream(kind, events, floor)
		g.Expect(known).To(BeFalse())
		_, known = all.LongestRun(kind, 0)
		g.Expect(known).To(BeFalse())
	}
	c.run(all, first, gap, events)
	_, known := all.LongestStream(kind, events, floor)
	g.Expect(known).To(BeTrue())
	c.now += 61 * time.Second
	_, known = all.LongestStream(kind, events, floor)
	g.Expect(known).To(BeFalse())
}

// Guards against a stream that is cut off since its engine is slower than the others, and slow for a moment.
func TestSlowEngineIsWithinTheBound(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 8 {
		c.run(all, first, gap, events)
	}
	longest, _ := all.LongestStream(kind, events, floor)
	g.Expect(longest).To(BeNumerically(">=", floor.First+time.Duration(4*float64(events-1)*float64(gap))))
	whole, _ := all.LongestRun(kind, 0)
	g.Expect(whole).To(BeNumerically(">=", 4*(first+(events-1)*gap)))
	g.Expect(whole).To(BeNumerically("<", 6*(first+events*gap)))
}

// Guards against a bound below what the targets of the route allow.
func TestBoundIsNotBelowItsFloor(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 8 {
		c.run(all, time.Millisecond, time.Millisecond, events)
	}
	longest, _ := all.LongestStream(kind, events, floor)
	g.Expect(longest).To(Equal(floor.First + events*floor.Gap))
	whole, _ := all.LongestRun(kind, time.Second)
	g.Expect(whole).To(Equal(time.Second))
}

// Guards against runs that are cut off because the times of their kind have just changed.
func TestRunsInFlightCount(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 8 {
		c.run(all, first, gap, events)
	}
	before, _ := all.LongestStream(kind, events, floor)
	slow := all.Begin(kind)
	c.now += 2500 * time.Millisecond
	longest, _ := all.LongestStream(kind, events, floor)
	g.Expect(longest).To(Equal(before - floor.First + 5*time.Second))
	whole, _ := all.LongestRun(kind, 0)
	g.Expect(whole).To(BeNumerically(">=", 5*time.Second))
	for range 10 {
		slow.Event()
		c.now += 400 * time.Millisecond
	}
	longest, _ = all.LongestStream(kind, events, floor)
	g.Expect(longest).To(BeNumerically(">=", events*800*time.Millisecond))
	slow.End(false)
	whole, _ = all.LongestRun(kind, 0)
	g.Expect(whole).To(BeNumerically(">=", 13*time.Second))
}

// Guards against a size without bounds whose time overflows and looks short.
func TestHugeSizeIsNotShort(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 8 {
		c.run(all, first, gap, events)
	}
	longest, _ := all.LongestStream(kind, math.MaxInt, floor)
	g.Expect(longest).To(BeNumerically(">", time.Hour))
}

// Guards against memory that grows with the names of routes.
func TestUnusedKindsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c, all := newTracker()
	for range 8 {
		c.run(all, first, gap, events)
	}
	c.now += 2 * time.Minute
	all.Begin(runtimes.Kind{Service: "pool", Route: "other"}).End(true)
	_, known := all.LongestRun(kind, 0)
	g.Expect(known).To(BeFalse())
}
