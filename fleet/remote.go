package fleet

import "time"

// Other nodes tell of their runs and of their waiting work several times a second. What
// has changed since is worked out from what each node told last, so that a datagram costs
// as much as it says, whatever the number of endpoints.

// remoteNode is what another node last told. What it told of waiting work counts until
// it tells otherwise or is lost: where that is out of date, it delays work by one turn.
type remoteNode struct {
	heard   time.Duration
	loads   map[EndpointKey]Load
	waiting map[LineKey]WaitingWork
}

// since is when the first request in the line began to wait, by this node's clock.
func (r remoteNode) since(head WaitingWork) time.Duration { return r.heard - head.Waited }

// remoteChangedLocked takes over what a node tells now in place of what it told before.
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

// setRemoteLocked sets what a node runs on an endpoint, and adds the endpoint to those
// that have more room than before.
func (f *Fleet) setRemoteLocked(freed []*Endpoint, node string, key EndpointKey, l Load) []*Endpoint {
	if e := f.byKey[key]; e != nil && e.setRemote(node, l) {
		return append(freed, e)
	}
	return freed
}

// dispatchAfterLocked looks for room for the work of a line after a node has told of its
// own: anywhere if that work may have come to its turn, else on the endpoints that have
// more room now.
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

// turnsChanged tells whether a node that goes first in the line no longer has the request
// that it told of before.
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
