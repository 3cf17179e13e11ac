package fleet

import (
	"slices"
	"time"
)

// While the store is away, no entry tells that an endpoint is about to leave. Its health
// check does, and what one node learns by it the others are told. An entry that is
// written later goes before it.

// Busy returns the endpoints of a service in a data centre on which anything runs and
// that are not known to leave, for a health check now.
func (f *Fleet) Busy(service, dataCentre string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var busy []Instance
	now := f.now()
	for _, e := range f.services[service] {
		if e.DataCentre == dataCentre && e.total().Count > 0 && f.takesCheckLocked(e, now) {
			busy = append(busy, e.Instance)
		}
	}
	return busy
}

// takesCheckLocked tells whether an endpoint is to be sent a health check now, and counts the
// check against its limit: it is a request, too.
func (f *Fleet) takesCheckLocked(e *Endpoint, now time.Duration) bool {
	if e.isLeaving || f.pausedLocked(e) || !f.takesLimitedLocked(e, now) {
		return false
	}
	f.useTurnLocked(e, now)
	return true
}

// Reinstate takes back that endpoints leave which said so at their health check longer ago
// than the given time, and returns their IDs. Their entries are there and do not say that they
// leave.
func (f *Fleet) Reinstate(after time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stayed []string
	for e := range f.unconfirmed {
		if e.leavingByHealth && e.missingSince == 0 && f.now()-e.leavingSince >= after {
			e.cancelLeaving()
			stayed = append(stayed, e.ID)
			f.dispatchLocked(e.Service)
		}
	}
	return stayed
}

// Unhealthy records that an endpoint said at its health check that it leaves.
func (f *Fleet) Unhealthy(key EndpointKey) bool {
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

// UnhealthyKeys returns the endpoints that count as leaving by their health check alone.
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
