package fleet

import "time"

// Other nodes report their runs and their waiting work several times per second. Changes are
// computed from the difference to the previous report of each node, so that the cost of a datagram
// depends on its size and not on the number of endpoints.

// remoteState is the last report of another node. Its waiting work counts until the next report or
// the loss of the node; an outdated report delays work by one turn.
type remoteState struct {
	receivedAt time.Duration
	loads      map[EndpointKey]Load
	waiting    map[QueueKey]WaitingWork
}

// enqueuedAt returns the time at which the first request of the queue began to wait, by this node's
// clock.
func (r remoteState) enqueuedAt(head WaitingWork) time.Duration { return r.receivedAt - head.Waited }

// applyRemoteLocked applies the current report of a node in place of its previous one.
func (f *Fleet) applyRemoteLocked(node string, before remoteState) {
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
		for id := range f.queues {
			if id.short == short {
				f.dispatchAfterReportLocked(id, before, after, freed)
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

// dispatchAfterReportLocked dispatches the waiting work of a queue after the report of another
// node: to any endpoint if that work may now have its turn, else to the endpoints with more free
// capacity.
func (f *Fleet) dispatchAfterReportLocked(id queueID, before, after remoteState, freed []*Endpoint) {
	if len(f.queues[id].waiting) == 0 {
		return
	}
	if id.headChanged(before, after) {
		f.dispatchQueueLocked(id)
		return
	}
	var ofService []*Endpoint
	for _, e := range freed {
		if e.Service == id.service {
			ofService = append(ofService, e)
		}
	}
	if len(ofService) > 0 {
		f.dispatchToEndpointsLocked(id, ofService)
	}
}

// headChanged reports whether the first request of the queue that the node reported before is no
// longer its first one.
func (id queueID) headChanged(before, after remoteState) bool {
	key := id.key()
	oldHead, hadHead := before.waiting[key]
	if !hadHead {
		return false
	}
	newHead, hasHead := after.waiting[key]
	if !hasHead || newHead.Rank != oldHead.Rank || newHead.Workspace != oldHead.Workspace {
		return true
	}
	age := after.enqueuedAt(newHead) - before.enqueuedAt(oldHead)
	return age > sameAgeTolerance || age < -sameAgeTolerance
}
