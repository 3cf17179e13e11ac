package fleet

import "time"

// An endpoint that refuses a request may ask the node that sent it for a pause. It then gets nothing
// from that node: no first sendings, repeats, waiting work, moves or runs that go on there. The
// pause is that node's alone, and ends early for nothing but a new start of the endpoint.

// pauseLocked records that an incarnation wants nothing from this node for the given time, and
// returns whether that is news: one pause is told once, however many requests it refuses.
func (f *Fleet) pauseLocked(service string, n *noticed, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	now := f.now()
	news := now >= n.pausedUntil
	if now+pause > n.pausedUntil {
		n.pausedUntil = now + pause
		f.refuseUnservableLocked()
	}
	return news
}

// pausedLocked tells whether the endpoint has asked this node for a pause that goes on.
func (f *Fleet) pausedLocked(e *Endpoint) bool {
	return e.noticed != nil && f.now() < e.noticed.pausedUntil
}

// waitsForPauseLocked tells whether the endpoint's pause goes on, and if so has waiting work looked
// at again at its end.
func (f *Fleet) waitsForPauseLocked(e *Endpoint, now time.Duration) bool {
	if !f.pausedLocked(e) {
		return false
	}
	f.scheduleTickLocked(now, e.noticed.pausedUntil-now)
	return true
}
