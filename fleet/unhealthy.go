package fleet

import (
	"slices"
	"time"
)

// While the store is unavailable, an entry cannot announce that its endpoint is about to leave.
// Health checks are used instead, and what one node learns from a check is broadcast to the others.
// An entry that is written later takes precedence over the health check.

// BusyEndpoints returns the endpoints of a service in a data centre that run work of any node and
// are not known to be leaving. The caller sends each of them a health check now: it is already
// counted against the endpoint's request limit.
func (f *Fleet) BusyEndpoints(service, dataCentre string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var busy []Instance
	now := f.now()
	for _, e := range f.services[service] {
		if e.DataCentre == dataCentre && e.total().Count > 0 && f.takeHealthCheckLocked(e, now) {
			busy = append(busy, e.Instance)
		}
	}
	return busy
}

// TakeProbe reports whether a probe may be sent to the endpoint now, also if it is leaving, and counts the
// probe against the endpoint's request limit. One that is no longer known has no limits.
func (f *Fleet) TakeProbe(id Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[id.ID]
	return e == nil || e.Incarnation() != id || f.takeProbeLocked(e, f.now())
}

// takeHealthCheckLocked reports whether a health check may be sent to the endpoint now, and counts
// the check against the endpoint's request limit, because a check is a request too.
func (f *Fleet) takeHealthCheckLocked(e *Endpoint, now time.Duration) bool {
	return !e.isLeaving && f.takeProbeLocked(e, now)
}

func (f *Fleet) takeProbeLocked(e *Endpoint, now time.Duration) bool {
	if f.pausedLocked(e) || !f.limitAllowsLocked(e, now) || !f.brittleAllowsLocked(e, now) {
		return false
	}
	f.useSlotLocked(e, now)
	e.overload.sentAt = now
	return true
}

// Reinstate returns endpoints to service that reported at a health check at least the given time
// ago that they are leaving, and returns their IDs. It applies only to endpoints whose entries
// exist and do not say that they are leaving.
func (f *Fleet) Reinstate(after time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reinstated []string
	for e := range f.unconfirmed {
		if e.leavingByHealth && e.missingSince == 0 && f.now()-e.leavingSince >= after {
			e.cancelLeaving()
			reinstated = append(reinstated, e.ID)
			f.dispatchLocked(e.Service)
		}
	}
	return reinstated
}

// MarkUnhealthy records that an endpoint reported at its health check that it is leaving. It
// returns false if the endpoint is unknown or already counts as leaving.
func (f *Fleet) MarkUnhealthy(key EndpointKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[key]
	if e == nil || e.isLeaving {
		return false
	}
	e.leavingByHealth = true
	f.unconfirmed[e] = struct{}{}
	e.markLeaving(f.now())
	return true
}

// UnhealthyKeys returns the keys of the endpoints that count as leaving by their health check
// alone, in ascending order.
func (f *Fleet) UnhealthyKeys() []EndpointKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []EndpointKey
	for e := range f.unconfirmed {
		if e.leavingByHealth {
			keys = append(keys, e.key)
		}
	}
	slices.Sort(keys)
	return keys
}
