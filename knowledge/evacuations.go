package knowledge

import (
	"maps"
	"slices"
	"sync"

	"github.com/crocusreel/crocusreel/platform"
)

// EvacuationTracker tracks the data centres that the operator has evacuated, so that no new work is
// sent to endpoints there. It holds the exact set as of one revision of the store, except for orders
// that were lost when the store was restored from a copy. Of two sets, the one with the later
// revision is therefore correct, regardless of which node it comes from. Its methods are safe for
// concurrent use.
type EvacuationTracker struct {
	// IsKnown reports whether a data centre belongs to the deployment. At most
	// maxUnknownEvacuations orders are kept for names for which it returns false. It must be set
	// before use and is called with the lock held.
	IsKnown func(dataCentre string) bool

	mu       sync.Mutex
	revision platform.Revision
	// orders holds the revision of each order. Orders of an earlier era than revision were lost when
	// the store was restored; they stay in force until DropLost.
	orders map[string]platform.Revision
}

// EvacuationSet is an immutable copy of the evacuated data centres.
type EvacuationSet struct {
	// Revision is the store's at which this was the set; its version is 0 if nothing is known.
	Revision platform.Revision
	// Orders maps each evacuated data centre to the revision of its order. An order of an earlier era
	// was lost when the store was restored from a copy.
	Orders map[string]platform.Revision
}

// DataCentres returns the sorted names of the evacuated data centres.
func (s EvacuationSet) DataCentres() []string { return slices.Sorted(maps.Keys(s.Orders)) }

// EvacuationOrder is a change of the set.
type EvacuationOrder struct {
	DataCentre string
	Revision   platform.Revision
	// Withdrawn is set if the evacuation has ended and the data centre is in use again.
	Withdrawn bool
}

// maxUnknownEvacuations bounds the number of orders for names that are not part of the deployment:
// rows written by mistake must neither exhaust memory nor displace a real order.
const maxUnknownEvacuations = 256

// Replace installs the complete set if its revision is later than the known one. It reports whether
// the set has changed. Known orders that a set of a later era lacks stay in force until DropLost.
func (e *EvacuationTracker) Replace(set EvacuationSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !set.Revision.NewerThan(e.revision) {
		return false
	}
	before, wasKnown := e.orders, e.revision.Version > 0
	restored := set.Revision.Era > e.revision.Era
	e.revision, e.orders = set.Revision, make(map[string]platform.Revision, len(set.Orders))
	for _, name := range set.DataCentres() {
		e.addLocked(name, set.Orders[name])
	}
	for name, revision := range before {
		if _, listed := e.orders[name]; !listed && (restored || e.isLost(revision)) {
			e.addLocked(name, revision)
		}
	}
	return !wasKnown || !maps.Equal(before, e.orders)
}

// isLost reports whether an order is not in the store because the store was restored since.
func (e *EvacuationTracker) isLost(order platform.Revision) bool { return order.Era < e.revision.Era }

// DropLost ends the evacuations whose orders were lost when the store was restored and have not been
// given again. It returns their data centres.
func (e *EvacuationTracker) DropLost() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var dropped []string
	for name, revision := range e.orders {
		if e.isLost(revision) {
			delete(e.orders, name)
			dropped = append(dropped, name)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Apply applies changes in the order in which the store lists them and returns those that are later
// than the known revision. Changes of one transaction share a revision. Changes of a later era are
// ignored: they do not show what the store lost when that era began.
func (e *EvacuationTracker) Apply(changes []EvacuationOrder) []EvacuationOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.revision
	var fresh []EvacuationOrder
	for _, change := range changes {
		if change.Revision.Era != known.Era || !change.Revision.NewerThan(known) {
			continue
		}
		fresh = append(fresh, change)
		e.revision = platform.MaxRevision(e.revision, change.Revision)
		if change.Withdrawn {
			delete(e.orders, change.DataCentre)
		} else {
			e.addLocked(change.DataCentre, change.Revision)
		}
	}
	return fresh
}

func (e *EvacuationTracker) addLocked(name string, revision platform.Revision) {
	if e.orders == nil {
		e.orders = make(map[string]platform.Revision)
	}
	if _, exists := e.orders[name]; !exists && !e.IsKnown(name) && e.countUnknownLocked() >= maxUnknownEvacuations {
		return
	}
	e.orders[name] = revision
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
	return EvacuationSet{Revision: e.revision, Orders: maps.Clone(e.orders)}
}

// Revision returns the store's revision of the set; its version is 0 if nothing is known.
func (e *EvacuationTracker) Revision() platform.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}
