package fleet

import (
	"hash/fnv"
	"time"
)

// Nodes learn of new room at the same moment: an engine registers, or a node tells that
// a run has ended. If every node with waiting work took that room at once, an engine
// would be given several times the work that it holds, whose callers wait and give up while
// other engines stay half empty. So waiting work takes its turn. Nodes
// tell which request is first in their line, and the node whose request is the most
// urgent and the oldest takes room at once. The others hear of it within milliseconds and
// look again. A node that is silent, or whose request is too large for the room, holds
// them up for claimSpacing.

const (
	// claimSpacing is the time given to each node that is ahead: 10 ms between two rounds
	// of datagrams, 5 to 9 ms in which news of an engine reaches all nodes, and the way.
	claimSpacing = 20 * time.Millisecond
	// longestTurn is the time after which work takes room that it has seen all along
	// although others are ahead, who cannot use it then. Up to turnJitter is added, so
	// that not all end their turn together.
	longestTurn = 200 * time.Millisecond
	turnJitter  = 200 * time.Millisecond
	// sameAge is the difference in age up to which two requests count as equally old: the
	// time by which a datagram may be late. Their nodes' names then decide, so that not
	// each takes itself for the first.
	sameAge = 20 * time.Millisecond
)

// line is the work of one service that competes for the same room. Short answers have
// a part of an engine's memory that long ones must leave free; behind long ones that
// wait for more they would never come to use it.
type line struct {
	service string
	short   bool
}

func (f *Fleet) line(w *Want) line {
	return line{service: w.Service.Name, short: w.Service.Engine != nil && w.Short() && !f.Without[ShortLine]}
}

// Short tells whether the answer is short.
func (w *Want) Short() bool { return w.longest() <= shortOutput }

// longest is the length that the answer may have. What a caller expects is often far too
// low: 1 long answer in 30 was taken for a short one by it, and had no backup.
func (w *Want) longest() int {
	if w.Longest > 0 {
		return w.Longest
	}
	return w.Demand.Output
}

// WaitingWork is a line in which work waits on a node.
type WaitingWork struct {
	Line LineKey
	// Rank and Waited describe the request that is first in line.
	Rank   int
	Waited time.Duration
}

// LineKey identifies a line in messages between nodes.
type LineKey uint32

func (l line) key() LineKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.service))
	if l.short {
		_, _ = h.Write([]byte{0})
	}
	return LineKey(h.Sum32())
}

// OwnWaiting returns the work that waits on this node, for the other nodes.
func (f *Fleet) OwnWaiting() []WaitingWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waiting []WaitingWork
	now := f.now()
	for l, q := range f.queues {
		for _, head := range q.first(now, 1) {
			waiting = append(waiting, WaitingWork{
				Line: l.key(), Rank: head.rank(now), Waited: now - head.since,
			})
		}
	}
	return waiting
}

// aheadLocked counts the nodes on which more urgent or older work of the line waits.
// Plain services have no turns: their room comes free every few milliseconds, and what
// exceeds it waits in an endpoint's own queue for no longer than a turn.
func (f *Fleet) aheadLocked(w *Want, rank int, since time.Duration) int {
	if w.Service.Engine == nil || f.Without[Turns] {
		return 0
	}
	key := f.line(w).key()
	ahead := 0
	for name, node := range f.remote {
		head, waits := node.waiting[key]
		if waits && (head.Rank < rank || (head.Rank == rank && f.olderAt(name, node.since(head), since))) {
			ahead++
		}
	}
	return ahead
}

// olderAt tells whether work that waits on another node since the given time goes before
// work that waits here.
func (f *Fleet) olderAt(node string, since, here time.Duration) bool {
	if diff := here - since; diff > sameAge || diff < -sameAge {
		return diff > 0
	}
	return node < f.Name
}

// othersWaitLocked tells whether work of the service waits on another node.
func (f *Fleet) othersWaitLocked(service string) bool {
	long, short := line{service: service}.key(), line{service: service, short: true}.key()
	for _, node := range f.remote {
		if _, waits := node.waiting[long]; waits {
			return true
		}
		if _, waits := node.waiting[short]; waits {
			return true
		}
	}
	return false
}

// tellLocked has the nodes told of new work on an endpoint: all while work waits
// anywhere, else those of the endpoint's data centre at least. Others use it when their
// own are full, and may hear of it with the next regular datagram.
func (f *Fleet) tellLocked(e *Endpoint) {
	if f.waitingLocked(e.Service) > 0 || f.othersWaitLocked(e.Service) {
		f.Changed("")
		return
	}
	f.Changed(e.DataCentre)
}

// turn is a waiter's place among those of all nodes that see the same room.
type turn struct {
	// sees is set while there is room for the work.
	sees bool
	// ahead is the number of nodes that go first.
	ahead int
	// claimAt is when the work takes the room in any case, latest the bound for that.
	claimAt, latest time.Duration
}

// mayClaimLocked tells whether a waiter that sees room may take it.
func (f *Fleet) mayClaimLocked(w *waiter) bool {
	now := f.now()
	ahead := f.aheadLocked(w.want, w.rank(now), w.since)
	if ahead == 0 {
		return true
	}
	if !w.turn.sees {
		jitter := time.Duration(f.random.Int64N(int64(turnJitter)))
		w.turn = turn{sees: true, ahead: -1, latest: now + longestTurn + jitter}
	}
	if ahead != w.turn.ahead {
		// One of those ahead has found its place, or another has come.
		w.turn.ahead = ahead
		w.turn.claimAt = min(now+time.Duration(ahead)*claimSpacing, w.turn.latest)
		f.Wake(w.turn.claimAt - now)
	}
	return now >= w.turn.claimAt
}
