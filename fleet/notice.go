package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/notice"
)

// NoticeChange is a change in what an endpoint reports about itself, as known to this node: its
// limit, its shutdown, a new pause, or values that can no longer be parsed.
type NoticeChange struct {
	Instance Instance
	Notice   notice.Notice
	Before   notice.Notice
	// Request is the ID of the request whose answer carried the notice; empty if another node
	// reported it, or if it came with the answer to an order or a health check.
	Request string
	// Node is the node that reported the notice, and Age the time since that node received it.
	Node string
	Age  time.Duration
}

const (
	// noticeRetention is how long a notice is kept for an incarnation that is not in service. Its
	// entry may disappear and return, and the earlier notice then still applies.
	noticeRetention = 10 * time.Minute
	// limitBroadcastTime is how long after the answer an endpoint's limit, or the end of its limit,
	// is broadcast to other nodes. It exceeds the interval between two answers of an endpoint with
	// a very low limit.
	limitBroadcastTime = 15 * time.Second
	// maxBroadcastLimits is the maximum number of limits in a datagram; the newest are sent. Each
	// takes 16 bytes.
	maxBroadcastLimits = 24
	// minLeavingBroadcastTime is the minimum time for which other nodes are informed that an
	// endpoint is about to stop, if its entry had not said so before. maxBroadcastLeaving is the
	// maximum number of such endpoints in a datagram; each takes 4 bytes.
	minLeavingBroadcastTime = 3 * time.Second
	maxBroadcastLeaving     = 64
)

// noticeRecord is what is known of an incarnation from its notices. It is guarded by the Fleet's
// lock.
type noticeRecord struct {
	// createdAt is when the record was created, for the first notice that came to this node from
	// the incarnation or from another node.
	createdAt time.Duration
	// limit is the latest limit that it has reported to any node, as far as this node knows.
	// limitAt is the time of the latest known answer that reported or ended the limit, or of the
	// latest answer while it has not reported one. everLimited is set once it has reported a limit.
	limit       limit
	limitAt     time.Duration
	everLimited bool
	// ownLimit is the latest limit, or end of a limit, in an answer to this node, and ownLimitAt
	// the time of that answer. ownReported is set once there is such an answer.
	ownLimit    limit
	ownLimitAt  time.Duration
	ownReported bool
	// pausedUntil is when the pause that it requested from this node ends.
	pausedUntil time.Duration
	// announcedAt is when it announced to this node that it is about to stop, and remoteAnnouncedAt
	// when another node reported that. Both are 0 if its entry had announced it before.
	announcedAt, remoteAnnouncedAt time.Duration
	// lastSentAt is when this node last sent it a request while its limit applied; 0 if never.
	lastSentAt time.Duration
	// rank is the rank of this node among the nodes of roster, for this endpoint.
	rank   int
	roster *Roster
	// leaving is set once it has announced that it is about to stop. It is never reset.
	leaving bool
	// unreadable is set while its answers carry values that cannot be parsed.
	unreadable bool
}

// noticeRecordLocked returns the record of an incarnation, or nil if there is none. With create
// set, it creates a missing record.
func (f *Fleet) noticeRecordLocked(key EndpointKey, create bool) *noticeRecord {
	record := f.notices[key]
	if record == nil && create {
		record = &noticeRecord{createdAt: f.now()}
		f.notices[key] = record
		if e := f.byKey[key]; e != nil {
			e.noticeRecord, record.limitAt = record, e.answeredAt
		}
	}
	return record
}

// RecordNotice records the notice in an answer that an incarnation has just given. Request is the
// ID of the request that was answered; it is empty for an order or a health check.
func (f *Fleet) RecordNotice(in Instance, n notice.Notice, request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := in.Incarnation().Key()
	if n.Brittle {
		f.recordBrittleLocked(in.Service, n.BrittleLimit, f.now(), "")
	}
	record := f.noticeRecordLocked(key, !n.Empty())
	if record == nil {
		// Record the time, so that an older limit reported by another node is not applied to an
		// endpoint that no longer reports one.
		if e := f.byKey[key]; e != nil {
			e.answeredAt = f.now()
		}
		return
	}
	before := notice.Notice{Limited: record.limit.isSet, Limit: record.limit.perSecond, Leaving: record.leaving}
	changed := n.Leaving && f.setLeavingLocked(key, record)
	if changed {
		record.announcedAt = f.now()
	}
	if n.LimitErr == nil {
		// If the limit cannot be parsed, the previous one stays in force.
		changed = f.setOwnLimitLocked(key, record, n) || changed
	}
	faulty := n.Err() != nil
	newlyUnreadable := faulty && !record.unreadable
	record.unreadable = faulty
	pauseStarted := f.startPauseLocked(in.Service, record, n.Pause)
	if changed || newlyUnreadable || pauseStarted {
		f.OnNotice(NoticeChange{Instance: in, Notice: n, Before: before, Request: request})
	}
	if changed {
		f.Broadcast("")
	}
}

// setOwnLimitLocked records the limit, or the end of the limit, in an answer to this node, and
// reports whether that changes the known limit.
func (f *Fleet) setOwnLimitLocked(key EndpointKey, record *noticeRecord, n notice.Notice) bool {
	before := record.limit
	if !n.Limited && !record.everLimited {
		record.limitAt = f.now()
		return false
	}
	record.ownReported = true
	record.ownLimit, record.ownLimitAt = limit{isSet: n.Limited, perSecond: n.Limit}, f.now()
	f.setLimitLocked(key, record, record.ownLimit, record.ownLimitAt)
	return before != record.ownLimit
}

// setLeavingLocked records that an incarnation has announced that it is about to stop. It reports
// whether the announcement is new and has to be broadcast; it returns false if the incarnation is
// not in service, or if its entry, which the other nodes receive too, has already announced it. The
// record is permanent, because the entry and the health check may be out of date.
func (f *Fleet) setLeavingLocked(key EndpointKey, n *noticeRecord) bool {
	if n.leaving {
		return false
	}
	n.leaving = true
	e := f.byKey[key]
	if e == nil || e.entryLeaving {
		return false
	}
	e.markLeavingByAnswer(f.now())
	return true
}

// markLeavingByAnswer marks an endpoint as leaving because it announced in an answer that it is
// about to stop.
func (e *Endpoint) markLeavingByAnswer(now time.Duration) {
	e.leavingByHealth = false
	e.markLeaving(now)
}

// OwnLeaving returns the keys of the endpoints that have announced in an answer to this node that
// they are about to stop, for broadcast to the other nodes.
func (f *Fleet) OwnLeaving() []EndpointKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var keys []EndpointKey
	for key, n := range f.notices {
		e := f.byKey[key]
		unannounced := e != nil && !e.entryLeaving
		if n.announcedAt != 0 && (unannounced || now-n.announcedAt < minLeavingBroadcastTime) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), maxBroadcastLeaving)]
}

// RecordRemoteLeaving records the endpoints that have announced to another node that they are about
// to stop.
func (f *Fleet) RecordRemoteLeaving(node string, keys []EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		record := f.noticeRecordLocked(key, true)
		if !f.setLeavingLocked(key, record) {
			continue
		}
		record.remoteAnnouncedAt = f.now()
		f.OnNotice(NoticeChange{Instance: f.byKey[key].Instance, Notice: notice.Notice{Leaving: true}, Node: node})
	}
}

// RecordNoticeByAddress records the notice in an answer to an order or a health check, which is
// known only by the endpoint's address. The notice is ignored if the address does not belong to
// exactly one endpoint. An empty notice does not end a limit, because another process may have the
// address now.
func (f *Fleet) RecordNoticeByAddress(address string, n notice.Notice) {
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
		f.RecordNotice(at[0], n, "")
	}
}

// LimitReport is the latest limit of an endpoint, or the end of its limit, in the endpoint's
// answers to one node.
type LimitReport struct {
	Key     EndpointKey
	Limited bool
	Limit   float64
	// Age is the time since that answer.
	Age time.Duration
}

// OwnLimits returns the limits that endpoints have recently reported to this node, for broadcast to
// the other nodes, newest first. Limits reported by other nodes are not forwarded: their age lacks
// the transit time, and the error would grow with each hop.
func (f *Fleet) OwnLimits() []LimitReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var reports []LimitReport
	for key, n := range f.notices {
		if age := now - n.ownLimitAt; n.ownReported && age < limitBroadcastTime {
			reports = append(reports, LimitReport{Key: key, Limited: n.ownLimit.isSet, Limit: n.ownLimit.perSecond, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b LimitReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key))
	})
	return reports[:min(len(reports), maxBroadcastLimits)]
}

// RecordRemoteLimits records the limits that endpoints have reported to another node.
func (f *Fleet) RecordRemoteLimits(node string, reports []LimitReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, l := range reports {
		record := f.noticeRecordLocked(l.Key, true)
		before := record.limit
		reported := limit{isSet: l.Limited, perSecond: l.Limit}
		if !f.setLimitLocked(l.Key, record, reported, now-l.Age) || before == reported {
			continue
		}
		if e := f.byKey[l.Key]; e != nil {
			f.OnNotice(NoticeChange{
				Instance: e.Instance, Notice: reported.notice(), Before: before.notice(), Node: node, Age: l.Age,
			})
		}
	}
}

// pruneNoticesLocked deletes the records of incarnations that have been out of service for longer
// than noticeRetention.
func (f *Fleet) pruneNoticesLocked() {
	now := f.now()
	for key, n := range f.notices {
		if f.byKey[key] == nil && now-max(n.createdAt, n.ownLimitAt, n.limitAt) > noticeRetention {
			delete(f.notices, key)
		}
	}
}
