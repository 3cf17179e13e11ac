package knowledge

import (
	"maps"
	"slices"
	"sync"
)

// EvacuationTracker tracks the data centres that the operator has evacuated, so that no new work is
// sent to endpoints there. It holds the exact set as of one version of the store. Of two sets, the
// one with the later version is therefore correct, regardless of which node it comes from. Its
// methods are safe for concurrent use.
type EvacuationTracker struct {
	// IsKnown reports whether a data centre belongs to the deployment. At most
	// maxUnknownEvacuations orders are kept for names for which it returns false. It must be set
	// before use and is called with the lock held.
	IsKnown func(dataCentre string) bool

	mu      sync.Mutex
	version int64
	orders  map[string]int64
}

// EvacuationSet is an immutable copy of the evacuated data centres.
type EvacuationSet struct {
	// Version is the store version at which this was the set; 0 if nothing is known.
	Version int64
	// Orders maps each evacuated data centre to the store version of its order.
	Orders map[string]int64
}

// DataCentres returns the sorted names of the evacuated data centres.
func (s EvacuationSet) DataCentres() []string { return slices.Sorted(maps.Keys(s.Orders)) }

// EvacuationOrder is a change of the set.
type EvacuationOrder struct {
	DataCentre string
	Version    int64
	// Withdrawn is set if the evacuation has ended and the data centre is in use again.
	Withdrawn bool
}

// maxUnknownEvacuations bounds the number of orders for names that are not part of the deployment:
// rows written by mistake must neither exhaust memory nor displace a real order.
const maxUnknownEvacuations = 256

// Replace installs the complete set if its version is later than the known one. It reports whether
// the set has changed.
func (e *EvacuationTracker) Replace(set EvacuationSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if set.Version <= e.version {
		return false
	}
	if e.version > 0 && maps.Equal(e.orders, set.Orders) {
		// Adopt the version although the set is unchanged. Otherwise peers would send the same set
		// again.
		e.version = set.Version
		return false
	}
	e.version, e.orders = set.Version, make(map[string]int64, len(set.Orders))
	for _, name := range set.DataCentres() {
		e.addLocked(name, set.Orders[name])
	}
	return true
}

// Apply applies changes in the order in which the store lists them and returns those that are later
// than the known version. Changes of one transaction share a version.
func (e *EvacuationTracker) Apply(changes []EvacuationOrder) []EvacuationOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.version
	var fresh []EvacuationOrder
	for _, change := range changes {
		if change.Version <= known {
			continue
		}
		fresh = append(fresh, change)
		e.version = max(e.version, change.Version)
		if change.Withdrawn {
			delete(e.orders, change.DataCentre)
		} else {
			e.addLocked(change.DataCentre, change.Version)
		}
	}
	return fresh
}

func (e *EvacuationTracker) addLocked(name string, version int64) {
	if e.orders == nil {
		e.orders = make(map[string]int64)
	}
	if _, exists := e.orders[name]; !exists && !e.IsKnown(name) && e.countUnknownLocked() >= maxUnknownEvacuations {
		return
	}
	e.orders[name] = version
}

func (e *EvacuationTracker) countUnknownLocked() int {
	unknown := 0
	for name := range e.orders {
		if !e.IsKnown(name) {
			unknown++
		}
	}
	return unknown
}

// Current returns a copy of the set.
func (e *EvacuationTracker) Current() EvacuationSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EvacuationSet{Version: e.version, Orders: maps.Clone(e.orders)}
}

// Version returns the store version of the set; 0 if nothing is known.
func (e *EvacuationTracker) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
