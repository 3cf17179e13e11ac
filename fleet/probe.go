package fleet

import "slices"

// ProbeTargets returns up to n endpoints of a service, chosen at random, to which the caller sends a
// probe now: it is already counted against their request limits. Cold endpoints are chosen only if
// there are no others.
func (f *Fleet) ProbeTargets(service string, n int) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.services[service]
	now := f.now()
	var targets []Instance
	order := f.random.Perm(len(all))
	for _, cold := range []bool{false, true} {
		for _, i := range order {
			if len(targets) == n || cold && len(targets) > 0 {
				return targets
			}
			e := all[i]
			if !e.isEvacuated && cold == (now < e.warmingUntil) && f.takeHealthCheckLocked(e, now) {
				targets = append(targets, e.Instance)
			}
		}
	}
	return targets
}

// OtherEndpoints returns up to n endpoints of any service, chosen at random, that differ from the
// given one and are not known to be leaving.
func (f *Fleet) OtherEndpoints(than Instance, n int) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []Instance
	for _, e := range f.byID { // in random order
		if len(others) == n {
			break
		}
		if e.ID != than.ID && !e.isLeaving && e.missingSince == 0 {
			others = append(others, e.Instance)
		}
	}
	return others
}

// HasOther reports whether the service has an endpoint that is not known to be leaving and is not in
// except, a list of IDs.
func (f *Fleet) HasOther(service string, except []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.services[service] {
		if !e.isLeaving && !slices.Contains(except, e.ID) {
			return true
		}
	}
	return false
}

// Count returns the number of endpoints of a service that are not known to be leaving.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, e := range f.services[service] {
		if !e.isLeaving {
			count++
		}
	}
	return count
}
