package fleet

import "time"

// An endpoint that refuses a request may ask the node that sent it for a pause. Until the pause
// ends, that node sends it nothing: no new requests, retries, queued work, migrations or resumed
// runs. The pause applies to that node only, and nothing but a restart of the endpoint ends it
// early.

// startPauseLocked records the pause that an incarnation requested from this node, and reports
// whether it starts a new one: a pause is reported once, however many requests are refused during
// it.
func (f *Fleet) startPauseLocked(service string, n *noticeRecord, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	now := f.now()
	isNew := now >= n.pausedUntil
	if now+pause > n.pausedUntil {
		n.pausedUntil = now + pause
		f.refuseUnservableLocked()
	}
	return isNew
}

// pausedLocked reports whether a pause that the endpoint requested from this node is in effect.
func (f *Fleet) pausedLocked(e *Endpoint) bool {
	return e.noticeRecord != nil && f.now() < e.noticeRecord.pausedUntil
}

// deferForPauseLocked reports whether the endpoint's pause is in effect. If so, it schedules
// another dispatch of waiting work for the end of the pause.
func (f *Fleet) deferForPauseLocked(e *Endpoint, now time.Duration) bool {
	if !f.pausedLocked(e) {
		return false
	}
	f.scheduleTickLocked(now, e.noticeRecord.pausedUntil-now)
	return true
}
