package knowledge

import (
	"maps"
	"slices"
	"sync"
)

// Evacuations is the node's knowledge of the data centres to whose endpoints the operator
// has nothing sent. It is the exact set as of a version of the store, so that of two nodes'
// knowledge the one of the later version is right, whichever way it came.
type Evacuations struct {
	// Known tells whether a data centre is one of the deployment's. Of names for which it
	// returns false, at most maxUnknownEvacuations are kept.
	Known func(dataCentre string) bool

	mu      sync.Mutex
	version int64
	orders  map[string]int64
}

// EvacuationSet is an immutable copy of what is known.
type EvacuationSet struct {
	// Version is the store's version at which this was the set; 0 if nothing is known.
	Version int64
	// Orders holds the version of each evacuated data centre's order.
	Orders map[string]int64
}

// DataCentres returns the names of the evacuated data centres in order.
func (s EvacuationSet) DataCentres() []string { return slices.Sorted(maps.Keys(s.Orders)) }

// EvacuationOrder is one change of the set.
type EvacuationOrder struct {
	DataCentre string
	Version    int64
	// Withdrawn is set if the data centre is in use again.
	Withdrawn bool
}

// maxUnknownEvacuations bounds the orders for names that are none of the deployment's: rows
// that somebody wrote by mistake must not fill the memory, nor keep out a real order.
const maxUnknownEvacuations = 256

// Replace takes the whole set as of a version, if that is later than the known one. It returns
// whether the set has changed.
func (e *Evacuations) Replace(set EvacuationSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if set.Version <= e.version {
		return false
	}
	if e.version > 0 && maps.Equal(e.orders, set.Orders) {
		// The version is taken all the same: whoever told it would tell it again.
		e.version = set.Version
		return false
	}
	e.version, e.orders = set.Version, make(map[string]int64, len(set.Orders))
	for _, name := range set.DataCentres() {
		e.giveLocked(name, set.Orders[name])
	}
	return true
}

// Apply takes changes after the known version, as the store lists them in order, and returns
// those that were new. Changes of one transaction share a version.
func (e *Evacuations) Apply(changes []EvacuationOrder) []EvacuationOrder {
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
			e.giveLocked(change.DataCentre, change.Version)
		}
	}
	return fresh
}

func (e *Evacuations) giveLocked(name string, version int64) {
	if e.orders == nil {
		e.orders = make(map[string]int64)
	}
	if _, given := e.orders[name]; !given && !e.Known(name) && e.unknownLocked() >= maxUnknownEvacuations {
		return
	}
	e.orders[name] = version
}

func (e *Evacuations) unknownLocked() int {
	unknown := 0
	for name := range e.orders {
		if !e.Known(name) {
			unknown++
		}
	}
	return unknown
}

// Current returns what is known.
func (e *Evacuations) Current() EvacuationSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EvacuationSet{Version: e.version, Orders: maps.Clone(e.orders)}
}

// Version returns the store's version of the known set; 0 if nothing is known.
func (e *Evacuations) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
