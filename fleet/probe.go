package fleet

// ProbeTargets returns up to n endpoints of a service, chosen at random, to which the caller sends a
// probe now: it is already counted against their request limits.
func (f *Fleet) ProbeTargets(service string, n int) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.services[service]
	now := f.now()
	var targets []Instance
	for _, i := range f.random.Perm(len(all)) {
		if len(targets) == n {
			break
		}
		if e := all[i]; !e.isEvacuated && f.takeHealthCheckLocked(e, now) {
			targets = append(targets, e.Instance)
		}
	}
	return targets
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
