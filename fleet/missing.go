package fleet

import "time"

// The entry of a live endpoint may be missing, for example after an outage of the store. Such an
// endpoint stays in use, with lower preference than the others, until its entry is back, until it
// is known to be gone, or until it reports at a health check that it is leaving.

// DroppedEndpoint describes an endpoint that DropMissing has removed.
type DroppedEndpoint struct {
	ID string
	// MissingFor is how long its entry had been missing.
	MissingFor time.Duration
}

// DropMissing removes the endpoints whose entries are missing, and returns them.
func (f *Fleet) DropMissing() []DroppedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var dropped []DroppedEndpoint
	now := f.now()
	for e := range f.unconfirmed {
		if e.missingSince != 0 {
			dropped = append(dropped, DroppedEndpoint{ID: e.ID, MissingFor: now - e.missingSince})
			f.dropLocked(e)
		}
	}
	return dropped
}

// MissingCount returns the number of endpoints in use whose entries are missing.
func (f *Fleet) MissingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := 0
	for e := range f.unconfirmed {
		if e.missingSince != 0 {
			missing++
		}
	}
	return missing
}

// UnconfirmedEndpoints returns the endpoints of a service in a data centre whose entries are
// missing and that have not confirmed since then, at a health check, that they remain in service.
// The caller sends each of them a health check now: it is already counted against the endpoint's
// request limit.
func (f *Fleet) UnconfirmedEndpoints(service, dataCentre string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unconfirmed []Instance
	now := f.now()
	for e := range f.unconfirmed {
		missing := e.missingSince != 0 && !e.confirmedHealthy && e.Service == service && e.DataCentre == dataCentre
		if missing && f.takeHealthCheckLocked(e, now) {
			unconfirmed = append(unconfirmed, e.Instance)
		}
	}
	return unconfirmed
}

// ConfirmHealthy records that an endpoint reported at its health check that it remains in service.
func (f *Fleet) ConfirmHealthy(key EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.byKey[key]; e != nil {
		e.confirmedHealthy = true
	}
}
