package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/notice"
)

// NoticeChange is a change of what this node believes an endpoint to say of itself.
type NoticeChange struct {
	Instance Instance
	Notice   notice.Notice
	Before   notice.Notice
	// Request is the ID of the request whose answer said so; empty if another node told.
	Request string
	// Node is the node that told, and Age the time since the endpoint said so to it.
	Node string
	Age  time.Duration
}

const (
	// noticeMemory is how long a notice is remembered of an incarnation that is not in
	// service. Its entry may vanish and come back, and it is bound by what it said before.
	noticeMemory = 10 * time.Minute
	// limitTold is how long other nodes are told of an endpoint's limit, or its end,
	// after the answer. It is longer than the time between two answers of an endpoint with a very low limit.
	limitTold = 15 * time.Second
	// maxLimitsTold bounds the limits in a datagram, the newest first. Each takes 16 B.
	maxLimitsTold = 24
	// leavingTold is how long other nodes are told at least of an endpoint that is about to stop
	// and of which no entry had said so. maxLeavingTold bounds them; each takes 4 B.
	leavingTold    = 3 * time.Second
	maxLeavingTold = 64
)

// noticed is what an incarnation has said of itself.
type noticed struct {
	// madeAt is when it first said anything.
	madeAt time.Duration
	// limit is the latest that it has named to any node, as far as it is known here, at the
	// time limitAt; everLimited is set once it has named one.
	limit       limit
	limitAt     time.Duration
	everLimited bool
	// own is the latest limit in an answer to this node, at the time ownAt; ownSaid is set
	// once there is one.
	own     limit
	ownAt   time.Duration
	ownSaid bool
	// pausedUntil is until when it wants nothing from this node.
	pausedUntil time.Duration
	// leftAt is when it said to this node that it is about to stop, heardAt when another node
	// told so. Both are 0 if its entry had said so before.
	leftAt, heardAt time.Duration
	// turnUsedAt is when this node last sent it a request.
	turnUsedAt time.Duration
	// rank is this node's place among those of the roster.
	rank   int
	roster *Roster
	// leaving is set once it has said that it is about to stop.
	leaving bool
	// unreadable is set while it names figures that cannot be read.
	unreadable bool
}

// noticedLocked returns what is known of an incarnation; make adds a record where there is none.
func (f *Fleet) noticedLocked(key EndpointKey, make bool) *noticed {
	known := f.notices[key]
	if known == nil && make {
		known = &noticed{madeAt: f.now()}
		f.notices[key] = known
		if e := f.byKey[key]; e != nil {
			e.noticed, known.limitAt = known, e.answeredAt
		}
	}
	return known
}

// Note takes what an incarnation says of itself in an answer that has just come. Request is the
// ID of the request that was answered.
func (f *Fleet) Note(in Instance, n notice.Notice, request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := in.Incarnation().Key()
	known := f.noticedLocked(key, !n.Empty())
	if known == nil {
		// Older news of other nodes must not bind an endpoint that says nothing any more.
		if e := f.byKey[key]; e != nil {
			e.answeredAt = f.now()
		}
		return
	}
	before := notice.Notice{Limited: known.limit.named, Limit: known.limit.perSecond, Leaving: known.leaving}
	changed := n.Leaving && f.setLeavingLocked(key, known)
	if changed {
		known.leftAt = f.now()
	}
	if n.LimitFault == nil {
		// A limit that cannot be read leaves the one before in force.
		changed = f.setOwnLimitLocked(key, known, n) || changed
	}
	faulty := n.Fault() != nil
	unread := faulty && !known.unreadable
	known.unreadable = faulty
	paused := f.pauseLocked(in.Service, known, n.Pause)
	if changed || unread || paused {
		f.OnNotice(NoticeChange{Instance: in, Notice: n, Before: before, Request: request})
	}
	if changed {
		f.Broadcast("")
	}
}

// setOwnLimitLocked takes the limit in an answer to this node, or its end, and returns whether that
// changes what is known.
func (f *Fleet) setOwnLimitLocked(key EndpointKey, known *noticed, n notice.Notice) bool {
	before := known.limit
	if !n.Limited && !known.everLimited {
		known.limitAt = f.now()
		return false
	}
	known.ownSaid = true
	known.own, known.ownAt = limit{named: n.Limited, perSecond: n.Limit}, f.now()
	f.setLimitLocked(key, known, known.own, known.ownAt)
	return before != known.own
}

// setLeavingLocked records that an incarnation has said that it is about to stop, and returns
// whether that is news: its entry tells the other nodes as well. Nothing takes it back, as its
// entry and its health check may be late.
func (f *Fleet) setLeavingLocked(key EndpointKey, n *noticed) bool {
	if n.leaving {
		return false
	}
	n.leaving = true
	e := f.byKey[key]
	if e == nil || e.entryLeaving {
		return false
	}
	e.announceLeaving(f.now())
	return true
}

// announceLeaving marks an endpoint that has said in an answer that it is about to stop.
func (e *Endpoint) announceLeaving(now time.Duration) {
	e.leavingByHealth = false
	e.markLeaving(now)
}

// OwnLeaving returns the endpoints that have said in an answer to this node that they are about
// to stop, for the others.
func (f *Fleet) OwnLeaving() []EndpointKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var keys []EndpointKey
	for key, n := range f.notices {
		e := f.byKey[key]
		untold := e != nil && !e.entryLeaving
		if n.leftAt != 0 && (untold || now-n.leftAt < leavingTold) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), maxLeavingTold)]
}

// NoteRemoteLeaving takes which endpoints have said to another node that they are about to stop.
func (f *Fleet) NoteRemoteLeaving(node string, keys []EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		known := f.noticedLocked(key, true)
		if !f.setLeavingLocked(key, known) {
			continue
		}
		known.heardAt = f.now()
		f.OnNotice(NoticeChange{Instance: f.byKey[key].Instance, Notice: notice.Notice{Leaving: true}, Node: node})
	}
}

// NoteAt takes what the endpoint at an address says of itself in an answer to an order or a check.
// An answer that says nothing ends no limit: it may come from whatever has the address now.
func (f *Fleet) NoteAt(address string, n notice.Notice) {
	if n.Empty() {
		return
	}
	f.mu.Lock()
	var at []Instance
	for _, e := range f.byID {
		if e.Address == address {
			at = append(at, e.Instance)
		}
	}
	f.mu.Unlock()
	if len(at) == 1 {
		f.Note(at[0], n, "")
	}
}

// LimitNews is the latest limit, or its end, in an endpoint's answers to one node.
type LimitNews struct {
	Key     EndpointKey
	Limited bool
	Limit   float64
	// Age is the time since the answer that said so.
	Age time.Duration
}

// OwnLimits returns what endpoints lately said of their limits to this node, for the others.
// What others told is not told onwards: its age would be wrong by the time on the way, and grow
// less true with each node.
func (f *Fleet) OwnLimits() []LimitNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var news []LimitNews
	for key, n := range f.notices {
		if age := now - n.ownAt; n.ownSaid && age < limitTold {
			news = append(news, LimitNews{Key: key, Limited: n.own.named, Limit: n.own.perSecond, Age: age})
		}
	}
	slices.SortFunc(news, func(a, b LimitNews) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key))
	})
	return news[:min(len(news), maxLimitsTold)]
}

// NoteRemote takes what endpoints said of their limits to another node.
func (f *Fleet) NoteRemote(node string, news []LimitNews) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, l := range news {
		known := f.noticedLocked(l.Key, true)
		before := known.limit
		said := limit{named: l.Limited, perSecond: l.Limit}
		if !f.setLimitLocked(l.Key, known, said, now-l.Age) || before == said {
			continue
		}
		if e := f.byKey[l.Key]; e != nil {
			f.OnNotice(NoticeChange{
				Instance: e.Instance, Notice: said.notice(), Before: before.notice(), Node: node, Age: l.Age,
			})
		}
	}
}

// pruneNoticesLocked forgets incarnations that are no longer in service.
func (f *Fleet) pruneNoticesLocked() {
	now := f.now()
	for key, n := range f.notices {
		if f.byKey[key] == nil && now-max(n.madeAt, n.ownAt, n.limitAt) > noticeMemory {
			delete(f.notices, key)
		}
	}
}
