package runtimes

import (
	"slices"
	"time"
)

const (
	// window is the time for which an observation counts, peakSlots the number of parts in which its
	// highest values are kept.
	window    = time.Minute
	peakSlots = 6
	slotTime  = window / peakSlots
	// recentValues is the number of latest values from which the ordinary one is taken.
	recentValues = 32
	// minValues is the number of values below which the ordinary one is not known.
	minValues = 5
)

const (
	// slowEndpoint is the factor by which an endpoint may be slower than the others of its service,
	// slowMoment that by which any of them may be slower at moments.
	slowEndpoint = 1.6
	slowMoment   = 2.5
	// peakMargin is the factor by which a run may exceed the highest value of its kind.
	peakMargin = 2
)

type observation struct {
	at    time.Duration
	value time.Duration
}

// measure holds the recent values of one duration.
type measure struct {
	// recent is a ring; next is the place of the next value.
	recent []observation
	next   int
	// peaks are the highest values of the latest slots, by slot number modulo peakSlots.
	peaks [peakSlots]observation
}

// add records the duration of a run that was completed.
func (m *measure) add(now, value time.Duration) {
	m.addPeak(now, value)
	o := observation{now, value}
	if len(m.recent) < recentValues {
		m.recent = append(m.recent, o)
		return
	}
	m.recent[m.next] = o
	m.next = (m.next + 1) % recentValues
}

// addPeak records that a run took at least this long.
func (m *measure) addPeak(now, value time.Duration) {
	p := &m.peaks[int(now/slotTime)%peakSlots]
	if p.at/slotTime != now/slotTime || value > p.value {
		*p = observation{now, value}
	}
}

// longest returns the longest time that is to be expected, at least floor. inFlight is the highest value
// of the runs that have not ended. ok is false if too little was observed.
func (m *measure) longest(now, floor, inFlight time.Duration) (longest time.Duration, ok bool) {
	values := make([]time.Duration, 0, recentValues)
	for _, o := range m.recent {
		if now-o.at <= window {
			values = append(values, o.value)
		}
	}
	if len(values) < minValues {
		return 0, false
	}
	slices.Sort(values)
	ordinary := values[len(values)/2]
	peak := inFlight
	for _, p := range m.peaks {
		if now-p.at <= window {
			peak = max(peak, p.value)
		}
	}
	return max(floor, time.Duration(slowEndpoint*slowMoment*float64(ordinary)), peakMargin*peak), true
}
