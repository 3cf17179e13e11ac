package fleet

import "time"

// Notice is what an endpoint says of itself in the head of an answer.
type Notice struct {
	// Limited is set if the endpoint names a limit, and Limit is the number of requests a
	// second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Fault is what is wrong with a figure that could not be read; nil if nothing is.
	Fault error
}

// empty tells whether the endpoint said nothing.
func (n Notice) empty() bool { return n == Notice{} }

// NoticeChange is a change of what this node believes an endpoint to say of itself.
type NoticeChange struct {
	Instance Instance
	Notice   Notice
	Before   Notice
	// Request is the ID of the request whose answer said so.
	Request string
}

// noticeMemory is how long a notice is remembered after its last change. Entries may vanish and
// come back, and an incarnation is bound by what it said before.
const noticeMemory = 10 * time.Minute

// noticed is what an incarnation has said of itself.
type noticed struct {
	last    Notice
	changed time.Duration
}

// Note takes what an incarnation says of itself in an answer that has just come. Request is the
// ID of the request that was answered.
func (f *Fleet) Note(in Instance, n Notice, request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := in.Incarnation().Key()
	known := f.notices[key]
	if known == nil {
		if n.empty() {
			return
		}
		known = &noticed{}
		f.notices[key] = known
	}
	if sameNotice(known.last, n) {
		return
	}
	change := NoticeChange{Instance: in, Notice: n, Before: known.last, Request: request}
	known.last, known.changed = n, f.now()
	f.Noticed(change)
}

// sameNotice tells whether two notices say the same. Two figures that could not be read do.
func sameNotice(a, b Notice) bool {
	faults := (a.Fault == nil) == (b.Fault == nil)
	a.Fault, b.Fault = nil, nil
	return faults && a == b
}

// pruneNotices forgets notices of incarnations that are no longer in service.
func (f *Fleet) pruneNoticesLocked() {
	now := f.now()
	for key, n := range f.notices {
		if f.byKey[key] == nil && now-n.changed > noticeMemory {
			delete(f.notices, key)
		}
	}
}
