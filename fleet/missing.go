package fleet

import "time"

// The entry of a live endpoint may be missing, for example after an outage of the store. Such an
// endpoint stays in use, with lower preference than the others, until its entry is back, until it
// is known to be gone, or until it reports at a health check that it is leaving.

// Gone describes an endpoint that DropMissing has removed.
type Gone struct {
	ID string
	// Missing is how long its entry had been missing.
	Missing time.Duration
}

// DropMissing removes the endpoints whose entries are missing, and returns them.
func (f *Fleet) DropMissing() []Gone {
	f.mu.Lock()
	defer f.mu.Unlock()
	var dropped []Gone
	now := f.now()
	for e := range f.doubted {
		if e.missingAt != 0 {
			dropped = append(dropped, Gone{ID: e.ID, Missing: now - e.missingAt})
			f.dropLocked(e)
		}
	}
	return dropped
}

// Missing returns the number of endpoints in use whose entries are missing.
func (f *Fleet) Missing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := 0
	for e := range f.doubted {
		if e.missingAt != 0 {
			missing++
		}
	}
	return missing
}

// Unvouched returns the endpoints of a service in a data centre whose entries are missing and that
// have not confirmed since then, at a health check, that they remain in service. The caller sends
// each of them a health check now: it is already counted against the endpoint's request limit.
func (f *Fleet) Unvouched(service, dataCentre string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unconfirmed []Instance
	now := f.now()
	for e := range f.doubted {
		missing := e.missingAt != 0 && !e.vouched && e.Service == service && e.DataCentre == dataCentre
		if missing && f.takeHealthCheckLocked(e, now) {
			unconfirmed = append(unconfirmed, e.Instance)
		}
	}
	return unconfirmed
}

// Vouch records that an endpoint reported at its health check that it remains in service.
func (f *Fleet) Vouch(key EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.byKey[key]; e != nil {
		e.vouched = true
	}
}
