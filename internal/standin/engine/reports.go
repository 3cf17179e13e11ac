package engine

import (
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
)

// report returns the current load. The caller holds the mutex.
func (e *Engine) report() endpoint.LoadReport {
	u := e.model.Usage()
	ids := make([]string, 0, u.Running+u.Waiting)
	for id, g := range e.generations {
		if !g.done {
			ids = append(ids, id)
		}
	}
	return endpoint.LoadReport{
		Endpoint:    e.options.Name,
		KVCapacity:  u.KVCapacity,
		KVUsed:      u.KVUsed,
		Running:     u.Running,
		Waiting:     u.Waiting,
		Preemptions: u.Preemptions,
		Incarnation: e.incarnation,
		Generations: ids,
	}
}

// laggedReport returns the load report that clients see, delayed by ReportLag. The leaving notice
// is not delayed, because it comes from the platform and is not a measurement.
func (e *Engine) laggedReport() endpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r := e.reports.at(now.Add(-e.options.ReportLag))
	if !e.leavingAt.IsZero() {
		r.Leaving = true
		r.LeavingIn = max(0, e.leavingAt.Sub(now))
	}
	return r
}

// reports holds load reports until newer ones are old enough to be visible.
type reports struct {
	entries []reportEntry
}

type reportEntry struct {
	at     time.Time
	report endpoint.LoadReport
}

func (r *reports) add(now time.Time, report endpoint.LoadReport) {
	r.entries = append(r.entries, reportEntry{now, report})
	if len(r.entries) > maxReports {
		r.entries = r.entries[1:]
	}
}

// maxReports is the maximum number of reports kept. At one report per pollInterval it allows a
// lag of 40 s.
const maxReports = 2000

// at returns the newest report that is not newer than t, or the oldest one if all are newer. It
// discards the reports before the returned one.
func (r *reports) at(t time.Time) endpoint.LoadReport {
	for len(r.entries) > 1 && !r.entries[1].at.After(t) {
		r.entries = r.entries[1:]
	}
	return r.entries[0].report
}

// cacheEvents holds the latest cache events.
type cacheEvents struct {
	seq     uint64
	entries []cacheEntry
}

type cacheEntry struct {
	at    time.Time
	event endpoint.CacheEvent
}

const (
	// maxCacheEvents is the maximum number of events kept; a slower client sees a gap.
	maxCacheEvents = 4096
	// maxCacheEventsPerResponse is the maximum number of events in one response.
	maxCacheEventsPerResponse = 1024
)

// add assigns the next sequence number to an event and stores it. A lost event is not stored and
// leaves a gap in the numbers.
func (c *cacheEvents) add(now time.Time, change model.CacheChange, lost bool) {
	c.seq++
	if lost {
		return
	}
	event := endpoint.CacheEvent{Seq: c.seq, Prefix: change.Prefix, Stored: change.Stored}
	c.entries = append(c.entries, cacheEntry{now, event})
	if len(c.entries) > maxCacheEvents {
		c.entries = c.entries[1:]
	}
}

// after returns up to maxCacheEventsPerResponse events with a sequence number above since that
// occurred before t.
func (c *cacheEvents) after(since uint64, t time.Time) []endpoint.CacheEvent {
	events := []endpoint.CacheEvent{}
	for _, entry := range c.entries {
		if entry.event.Seq > since && entry.at.Before(t) && len(events) < maxCacheEventsPerResponse {
			events = append(events, entry.event)
		}
	}
	return events
}
