package fleet

import (
	"math"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/pace"
)

// An endpoint in need names the number of requests a second that it takes from all nodes together.
// Each node sends it requests in slots of its own only (package pace): first sendings, repeats,
// waiting work and runs that go on there alike. What one node is told the others hear by
// datagrams; a node that hears nobody goes by the nodes that it knew lately.

// Roster is the nodes that share a rate. It does not change.
type Roster struct {
	// Names are those of all nodes, this one included, as they are known to each other.
	Names []string
}

// limit is what an endpoint last said of the requests that it takes.
type limit struct {
	named     bool
	perSecond float64
}

func (l limit) notice() notice.Notice { return notice.Notice{Limited: l.named, Limit: l.perSecond} }

// rate is the number of requests a second that all nodes together send.
func (l limit) rate() float64 { return pace.LimitRate(l.perSecond) }

// setLimitLocked takes a limit, or its end, that an endpoint named at the given time, unless a later
// answer is known.
func (f *Fleet) setLimitLocked(key EndpointKey, n *noticed, said limit, at time.Duration) bool {
	if at < n.limitAt {
		return false
	}
	before := n.limit
	n.limit, n.limitAt = said, at
	n.everLimited = n.everLimited || said.named
	e := f.byKey[key]
	if e == nil || before == said {
		return true
	}
	if said.named {
		f.refuseUnservableLocked()
	} else {
		f.dispatchLocked(e.Service)
	}
	return true
}

// limited tells whether the endpoint has named a limit that holds.
func (e *Endpoint) limited() bool { return e.noticed != nil && e.noticed.limit.named }

// limitTurnLocked returns when this node may send the next request to an endpoint that has named
// a limit: now while its slot lasts. Known is false if it may not send any, as it does not know
// who else does.
func (f *Fleet) limitTurnLocked(e *Endpoint, now time.Duration) (at time.Duration, known bool) {
	roster := f.Roster()
	if roster == nil {
		return 0, false
	}
	n := e.noticed
	if n.roster != roster {
		n.rank, n.roster = pace.Rank(f.Name, roster.Names, uint32(e.key)), roster
	}
	slots := pace.Slots{Rank: n.rank, Nodes: len(roster.Names), PerSecond: n.limit.rate()}
	return now + slots.Until(f.WallClock(), now, n.turnUsedAt), true
}

// takesLimitedLocked tells whether this node may send a request to the endpoint now, as far as
// its limit allows. If not, it has waiting work looked at again when that changes.
func (f *Fleet) takesLimitedLocked(e *Endpoint, now time.Duration) bool {
	if !e.limited() {
		return true
	}
	at, known := f.limitTurnLocked(e, now)
	if known && at > now {
		f.scheduleTickLocked(now, at-now)
	}
	return known && at <= now
}

// useTurnLocked records that a request goes to the endpoint.
func (f *Fleet) useTurnLocked(e *Endpoint, now time.Duration) {
	if !e.limited() {
		return
	}
	e.noticed.turnUsedAt = now
	metrics.Count("limit_turns_used")
}

// opensLocked returns when the endpoint takes a request of this node, and how many it takes a second
// from then on: without end if it has named no limit.
func (f *Fleet) opensLocked(e *Endpoint, now time.Duration) (at time.Duration, perSecond float64) {
	if e.noticed == nil {
		return now, math.Inf(1)
	}
	at, perSecond = max(now, e.noticed.pausedUntil), math.Inf(1)
	if !e.limited() {
		return at, perSecond
	}
	turn, known := f.limitTurnLocked(e, at)
	if !known {
		return now + limitUnknownRetry, leastLimit
	}
	return turn, e.noticed.limit.rate() / float64(len(f.Roster().Names))
}

// limitUnknownRetry is when callers may come back to a node that does not know how many others
// there are: it hears of them within a second.
const limitUnknownRetry = time.Second

// longestBeyond bounds what callers are told: other endpoints may register meanwhile.
const longestBeyond = 10 * time.Second

// leastLimit is the rate, in requests a second, that is taken for a node that sends none yet.
const leastLimit = 0.25

func refuseBeyond(w *Work, retry time.Duration) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonEndpointLimit, crocusreel.OutcomeNotRun, retry,
		"no endpoint of service %q takes a request of this node for %v", w.Service.Name, retry.Round(time.Millisecond))
}

// beyondLocked returns the refusal of work that can only go to endpoints that have named a limit or
// asked for a pause, and whose turn comes after its patience, behind so many others; nil for other
// work.
func (f *Fleet) beyondLocked(w *Work, ahead int, patience time.Duration) *crocusreel.Refusal {
	now := f.now()
	rate, found := 0.0, false
	var soonest time.Duration
	for _, e := range f.services[w.Service.Name] {
		if !f.mayServeLocked(e, w) {
			continue
		}
		at, perSecond := f.opensLocked(e, now)
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
	if wait <= patience {
		return nil
	}
	return refuseBeyond(w, min(max(wait, minRetryAfter), longestBeyond))
}
