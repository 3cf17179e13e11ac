package fleet

import (
	"math"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/pace"
)

// An overloaded endpoint reports the number of requests per second that it accepts from all nodes
// together. Each node sends to it only within its own time slots (package pace); this applies to
// new requests, retries, queued work and resumed runs alike. A limit reported to one node is
// broadcast to the others by datagram. A node that receives no datagrams uses the list of nodes
// that it knew most recently.

// Roster lists the nodes that share a rate. It is immutable.
type Roster struct {
	// Names are the names of all nodes, including this one, as the nodes know each other.
	Names []string
}

// limit is the request limit that an endpoint last reported. If isSet is false, it has none.
type limit struct {
	isSet     bool
	perSecond float64
}

func (l limit) notice() notice.Notice { return notice.Notice{Limited: l.isSet, Limit: l.perSecond} }

// rate returns the number of requests per second that all nodes together send.
func (l limit) rate() float64 { return pace.LimitRate(l.perSecond) }

// setLimitLocked records the limit, or the end of the limit, that an endpoint reported at the given
// time. It returns false, and changes nothing, if a later report is known.
func (f *Fleet) setLimitLocked(key EndpointKey, n *noticeRecord, reported limit, at time.Duration) bool {
	if at < n.limitAt {
		return false
	}
	before := n.limit
	n.limit, n.limitAt = reported, at
	n.everLimited = n.everLimited || reported.isSet
	e := f.byKey[key]
	if e == nil || before == reported {
		return true
	}
	if reported.isSet {
		f.refuseUnservableLocked()
	} else {
		f.dispatchLocked(e.Service)
	}
	return true
}

// limited reports whether the endpoint has a request limit in force.
func (e *Endpoint) limited() bool { return e.noticeRecord != nil && e.noticeRecord.limit.isSet }

// nextSlotLocked returns when this node may send the next request to an endpoint with a limit:
// now, while the current slot of this node lasts. Known is false if the node may not send any
// request because it does not know which other nodes share the limit.
func (f *Fleet) nextSlotLocked(e *Endpoint, now time.Duration) (at time.Duration, known bool) {
	roster := f.Roster()
	if roster == nil {
		return 0, false
	}
	n := e.noticeRecord
	if n.roster != roster {
		n.rank, n.roster = pace.Rank(f.Name, roster.Names, uint32(e.key)), roster
	}
	slots := pace.Slots{Rank: n.rank, Nodes: len(roster.Names), PerSecond: n.limit.rate()}
	return now + slots.Until(f.WallClock(), now, n.lastSentAt), true
}

// limitAllowsLocked reports whether the endpoint's limit allows this node to send it a request
// now. If it has to wait for its next slot, it schedules another dispatch of waiting work for that
// time.
func (f *Fleet) limitAllowsLocked(e *Endpoint, now time.Duration) bool {
	if !e.limited() {
		return true
	}
	at, known := f.nextSlotLocked(e, now)
	if known && at > now {
		f.scheduleTickLocked(now, at-now)
	}
	return known && at <= now
}

// useSlotLocked records that a request is sent to the endpoint, which uses up the current slot.
func (f *Fleet) useSlotLocked(e *Endpoint, now time.Duration) {
	if !e.limited() {
		return
	}
	e.noticeRecord.lastSentAt = now
	metrics.Count("limit_turns_used")
}

// availableFromLocked returns when the endpoint next accepts a request from this node, and how many
// requests per second it accepts from then on; the rate is infinite if the endpoint has no limit.
// If this node does not know which nodes share the limit, it returns unknownRosterRetryDelay from
// now and unknownShareRate.
func (f *Fleet) availableFromLocked(e *Endpoint, now time.Duration) (at time.Duration, perSecond float64) {
	if e.noticeRecord == nil {
		return now, math.Inf(1)
	}
	at, perSecond = max(now, e.noticeRecord.pausedUntil), math.Inf(1)
	if !e.limited() {
		return at, perSecond
	}
	slot, known := f.nextSlotLocked(e, at)
	if !known {
		return now + unknownRosterRetryDelay, unknownShareRate
	}
	return slot, e.noticeRecord.limit.rate() / float64(len(f.Roster().Names))
}

// unknownRosterRetryDelay is the time after which callers may retry at a node that does not know
// how many nodes share a limit. The node learns that from the others within a second.
const unknownRosterRetryDelay = time.Second

// maxLimitRetryDelay is the maximum retry delay that callers are given: other endpoints may
// register meanwhile.
const maxLimitRetryDelay = 10 * time.Second

// unknownShareRate is the rate, in requests per second, that is assumed for a node that may not
// send any requests yet.
const unknownShareRate = 0.25

func refuseLongWait(w *Work, retry time.Duration) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonEndpointLimit, crocusreel.OutcomeNotRun, retry,
		"no endpoint of service %q takes a request of this node for %v", w.Service.Name, retry.Round(time.Millisecond))
}

// refuseLongWaitLocked returns a refusal if the work can go only to endpoints that have a limit or
// are paused, and would have to wait for longer than maxWait behind the given number of requests.
// Otherwise it returns nil.
func (f *Fleet) refuseLongWaitLocked(w *Work, ahead int, maxWait time.Duration) *crocusreel.Refusal {
	now := f.now()
	rate, found := 0.0, false
	var soonest time.Duration
	for _, e := range f.services[w.Service.Name] {
		if !f.mayServeLocked(e, w) {
			continue
		}
		at, perSecond := f.availableFromLocked(e, now)
		if at <= now && !e.limited() {
			return nil
		}
		if !found || at < soonest {
			soonest = at
		}
		found = true
		rate += perSecond
	}
	if !found {
		return nil
	}
	wait := soonest - now + time.Duration(float64(ahead)/rate*float64(time.Second))
	if wait <= maxWait {
		return nil
	}
	return refuseLongWait(w, min(max(wait, minRetryAfter), maxLimitRetryDelay))
}
