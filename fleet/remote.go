package fleet

import "time"

// Other nodes report their runs and their waiting work several times per second. Changes are
// computed from the difference to the previous report of each node, so that the cost of a datagram
// depends on its size and not on the number of endpoints.

// remoteNode is the last report of another node. Its waiting work counts until the next report or
// the loss of the node; an outdated report delays work by one turn.
type remoteNode struct {
	heard   time.Duration
	loads   map[EndpointKey]Load
	waiting map[LineKey]WaitingWork
}

// since returns the time at which the first request of the queue began to wait, by this node's
// clock.
func (r remoteNode) since(head WaitingWork) time.Duration { return r.heard - head.Waited }

// remoteChangedLocked applies the current report of a node in place of its previous one.
func (f *Fleet) remoteChangedLocked(node string, before remoteNode) {
	after := f.remote[node]
	var freed []*Endpoint
	for key, l := range after.loads {
		freed = f.setRemoteLocked(freed, node, key, l)
	}
	for key := range before.loads {
		if _, still := after.loads[key]; !still {
			freed = f.setRemoteLocked(freed, node, key, Load{})
		}
	}
	for _, short := range []bool{false, true} {
		for l := range f.queues {
			if l.short == short {
				f.dispatchAfterLocked(l, before, after, freed)
			}
		}
	}
}

// setRemoteLocked sets the load of a node on an endpoint. It appends the endpoint to freed if that
// load has decreased.
func (f *Fleet) setRemoteLocked(freed []*Endpoint, node string, key EndpointKey, l Load) []*Endpoint {
	if e := f.byKey[key]; e != nil && e.setRemote(node, l) {
		return append(freed, e)
	}
	return freed
}

// dispatchAfterLocked dispatches the waiting work of a queue after the report of another node: to
// any endpoint if that work may now have its turn, else to the endpoints with more free capacity.
func (f *Fleet) dispatchAfterLocked(l line, before, after remoteNode, freed []*Endpoint) {
	if len(f.queues[l].waiting) == 0 {
		return
	}
	if l.turnsChanged(before, after) {
		f.dispatchLineLocked(l)
		return
	}
	var ofService []*Endpoint
	for _, e := range freed {
		if e.Service == l.service {
			ofService = append(ofService, e)
		}
	}
	if len(ofService) > 0 {
		f.dispatchToLocked(l, ofService)
	}
}

// turnsChanged reports whether the first request of the queue that the node reported before is no
// longer its first one.
func (l line) turnsChanged(before, after remoteNode) bool {
	key := l.key()
	was, waited := before.waiting[key]
	if !waited {
		return false
	}
	is, waits := after.waiting[key]
	if !waits || is.Rank != was.Rank {
		return true
	}
	age := after.since(is) - before.since(was)
	return age > sameAge || age < -sameAge
}
