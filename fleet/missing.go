package fleet

import "time"

// An entry may be missing although its endpoint lives, as after an outage of the store. Such an
// endpoint stays in use, behind the others, until its entry is back, until it is known to be
// gone, or until it says at a health check that it leaves.

// Gone is an endpoint that was dropped.
type Gone struct {
	ID string
	// Missing is the time for which its entry was missing.
	Missing time.Duration
}

// DropMissing drops the endpoints whose entries are missing.
func (f *Fleet) DropMissing() []Gone {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gone []Gone
	now := f.now()
	for e := range f.unconfirmed {
		if e.missingSince != 0 {
			gone = append(gone, Gone{ID: e.ID, Missing: now - e.missingSince})
			f.dropLocked(e)
		}
	}
	return gone
}

// Missing returns how many endpoints in use have no entry.
func (f *Fleet) Missing() int {
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

// Unvouched returns the endpoints of a service in a data centre whose entries are missing and
// that have not said since at a health check whether they go on, for a check now.
func (f *Fleet) Unvouched(service, dataCentre string) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unvouched []Instance
	now := f.now()
	for e := range f.unconfirmed {
		missing := e.missingSince != 0 && !e.confirmedAlive && e.Service == service && e.DataCentre == dataCentre
		if missing && f.takesCheckLocked(e, now) {
			unvouched = append(unvouched, e.Instance)
		}
	}
	return unvouched
}

// Vouch records that an endpoint said at its health check that it goes on.
func (f *Fleet) Vouch(key EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.byKey[key]; e != nil {
		e.confirmedAlive = true
	}
}
