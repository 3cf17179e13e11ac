// Package membership implements the state of one member of a SWIM-like failure detector: which
// other members exist, which to probe next and which updates to spread. It does no I/O and reads no
// clock; callers pass the time and transport the messages.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

const (
	// updatesPerMessage bounds the updates in one message, and thus the size of a message, whatever
	// the number of members.
	updatesPerMessage = 6
	// retransmitFactor times the binary logarithm of the number of members is how often a member
	// sends one update.
	retransmitFactor = 3
	// tombstoneLifetime is how long a dead member is remembered. A member that is forgotten could
	// come back from a peer that has not received its death yet.
	tombstoneLifetime = 10 * time.Minute
	// maxIncarnation bounds the incarnations that are accepted. A record with the highest possible
	// number could never be refuted.
	maxIncarnation = 1 << 62
	// maxMembers bounds the table, in case a peer sends invented members.
	maxMembers = 8192
)

// Table holds what one member knows of the others. It is not safe for concurrent use.
type Table struct {
	self          *peerv1.Member
	entries       map[string]*entry
	probeInterval time.Duration
	neighbours    []string
	nextNeighbour int
	rand          *rand.Rand
	// neighboursStale is set when members joined or left since the neighbours were chosen.
	neighboursStale bool
}

// entry is the state of one other member.
type entry struct {
	member *peerv1.Member
	// sent counts how often the current record was sent as an update.
	sent int
	// suspectUntil is when a suspicion turns into death; zero without a suspicion.
	suspectUntil time.Time
	// diedAt is when the member was recorded as dead.
	diedAt time.Time
}

// New returns a table that contains only the member itself. The incarnation of self must be higher
// than that of an earlier process with the same ID.
func New(self *peerv1.Member, probeInterval time.Duration, seed uint64) *Table {
	t := &Table{
		self:          proto.CloneOf(self),
		entries:       make(map[string]*entry),
		probeInterval: probeInterval,
		rand:          rand.New(rand.NewPCG(seed, 0)),
	}
	t.self.State = peerv1.MemberState_MEMBER_STATE_ALIVE
	return t
}

// Self returns the member's own record. The caller must not modify it.
func (t *Table) Self() *peerv1.Member { return t.self }

// UpdateSelf changes the member's own record and raises its incarnation, so that the change
// supersedes the records that others hold.
func (t *Table) UpdateSelf(change func(*peerv1.Member)) {
	next := proto.CloneOf(t.self)
	change(next)
	if proto.Equal(next, t.self) {
		return
	}
	next.Incarnation = t.self.Incarnation + 1
	t.self = next
}

// Apply merges a record that another member sent. It reports whether that changed anything visible
// in a snapshot.
func (t *Table) Apply(m *peerv1.Member, now time.Time) bool {
	if !isValid(m) {
		return false
	}
	if m.Id == t.self.Id {
		return t.refute(m)
	}
	e, known := t.entries[m.Id]
	if !known {
		if isDead(m) || len(t.entries) >= maxMembers {
			return false
		}
		e = &entry{}
		t.entries[m.Id] = e
	} else if !Supersedes(m, e.member) {
		return false
	}
	t.set(e, m, now)
	return true
}

// isValid reports whether a record has an ID, a known state and an incarnation that can be refuted.
func isValid(m *peerv1.Member) bool {
	known := m.GetState() > peerv1.MemberState_MEMBER_STATE_UNSPECIFIED && m.GetState() <= peerv1.MemberState_MEMBER_STATE_DEAD
	return known && m.GetId() != "" && m.GetIncarnation() < maxIncarnation
}

// set replaces a record and updates the timers that belong to its state.
func (t *Table) set(e *entry, m *peerv1.Member, now time.Time) {
	wasAbsent := e.member == nil || isDead(e.member)
	if wasAbsent != isDead(m) {
		t.neighboursStale = true
	}
	// A higher incarnation originates from the member itself and ends a suspicion.
	if e.member == nil || m.Incarnation > e.member.Incarnation {
		e.suspectUntil = time.Time{}
	}
	e.member, e.sent = m, 0
	switch m.State {
	case peerv1.MemberState_MEMBER_STATE_SUSPECT:
		if e.suspectUntil.IsZero() {
			e.suspectUntil = now.Add(t.SuspicionTimeout())
		}
	case peerv1.MemberState_MEMBER_STATE_DEAD:
		e.suspectUntil, e.diedAt = time.Time{}, now
	}
}

// refute raises the incarnation of this member if the record m of it is wrong: others consider it
// suspect or dead, or hold a record of an earlier process with the same ID. Without a refutation
// they would remove the member while it runs. It reports whether the record changed.
func (t *Table) refute(m *peerv1.Member) bool {
	wrong := m.Incarnation > t.self.Incarnation ||
		(m.Incarnation == t.self.Incarnation && Supersedes(m, t.self))
	if !wrong {
		return false
	}
	next := proto.CloneOf(t.self)
	next.Incarnation = m.Incarnation + 1
	t.self = next
	return true
}

// Supersedes reports whether record a takes precedence over record b of the same member.
func Supersedes(a, b *peerv1.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Record returns the record of a member other than self, or nil.
func (t *Table) Record(id string) *peerv1.Member {
	if e, ok := t.entries[id]; ok {
		return e.member
	}
	return nil
}

// Suspect records that a member did not answer a probe. It is declared dead unless it refutes the
// suspicion before the suspicion timeout. The result reports whether its published state changed.
func (t *Table) Suspect(id string, now time.Time) bool {
	e, ok := t.entries[id]
	if !ok || isDead(e.member) || !e.suspectUntil.IsZero() {
		return false
	}
	e.suspectUntil = now.Add(t.SuspicionTimeout())
	// The published state of a leaving member stays leaving: a suspicion must not bring it back
	// into the addresses that callers receive.
	if e.member.State == peerv1.MemberState_MEMBER_STATE_LEAVING {
		return false
	}
	next := proto.CloneOf(e.member)
	next.State = peerv1.MemberState_MEMBER_STATE_SUSPECT
	e.member, e.sent = next, 0
	return true
}

// MarkReachable records that a member answered directly. A published suspicion ends with the
// member's own record, which comes with the response; this method ends one that was never
// published.
func (t *Table) MarkReachable(id string) {
	e, ok := t.entries[id]
	if ok && e.member.State != peerv1.MemberState_MEMBER_STATE_SUSPECT {
		e.suspectUntil = time.Time{}
	}
}

// Tick declares members dead whose suspicion has expired, and removes old tombstones. It reports
// whether a member was declared dead.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for id, e := range t.entries {
		switch {
		case isDead(e.member):
			if now.Sub(e.diedAt) > tombstoneLifetime {
				delete(t.entries, id)
			}
		case !e.suspectUntil.IsZero() && now.After(e.suspectUntil):
			next := proto.CloneOf(e.member)
			next.State = peerv1.MemberState_MEMBER_STATE_DEAD
			t.set(e, next, now)
			changed = true
		}
	}
	return changed
}

// SuspicionTimeout is the time in which a suspect member can refute the suspicion. It covers the
// spread of the suspicion to the member and of its refutation back, both of which take a number of
// probe intervals logarithmic in the number of members.
func (t *Table) SuspicionTimeout() time.Duration {
	return time.Duration(2+2*t.logSize()) * t.probeInterval
}

func (t *Table) logSize() int { return bits.Len(uint(len(t.entries) + 1)) }

// Live returns self and all members that are not dead, sorted by ID.
func (t *Table) Live() []*peerv1.Member {
	live := make([]*peerv1.Member, 0, len(t.entries)+1)
	live = append(live, t.self)
	for _, e := range t.entries {
		if !isDead(e.member) {
			live = append(live, e.member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Id < live[j].Id })
	return live
}

// All returns every record, including those of dead members, for a full exchange.
func (t *Table) All() []*peerv1.Member {
	all := make([]*peerv1.Member, 0, len(t.entries)+1)
	all = append(all, t.self)
	for _, e := range t.entries {
		all = append(all, e.member)
	}
	return all
}

// Updates returns the records to attach to a message: those sent least often so far, at most
// updatesPerMessage.
func (t *Table) Updates() []*peerv1.Member {
	limit := retransmitFactor * t.logSize()
	var pending []*entry
	for _, e := range t.entries {
		if e.sent < limit {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].sent < pending[j].sent })
	if len(pending) > updatesPerMessage {
		pending = pending[:updatesPerMessage]
	}
	updates := make([]*peerv1.Member, len(pending))
	for i, e := range pending {
		e.sent++
		updates[i] = e.member
	}
	return updates
}

func isDead(m *peerv1.Member) bool { return m.State == peerv1.MemberState_MEMBER_STATE_DEAD }
