package fleet

import (
	"hash/fnv"
	"time"

	"github.com/crocusreel/crocusreel/fairshare"
)

// Nodes learn of free capacity at the same moment: an engine registers, or a node reports that a
// run has ended. If every node with waiting work claimed that capacity at once, an engine would be
// given several times the work that it can hold; those callers would wait and give up while other
// engines stay half empty. Waiting work is therefore served in turns. Each node reports the first
// request of each of its queues. The node whose request is the most urgent, and among equals the
// oldest, claims capacity at once; the other nodes receive its new load within milliseconds and
// check again. A node that is silent, or whose request is too large for the free capacity, delays
// the others by claimSpacing.

const (
	// claimSpacing is the time that is allowed to each node that is ahead. It covers the 10 ms
	// between two rounds of datagrams, the 5 to 9 ms in which the registration of an engine reaches
	// all nodes, and the network delay.
	claimSpacing = 20 * time.Millisecond
	// maxTurnWait is the time after which work claims capacity that has been free for it all along
	// although other nodes are ahead: these cannot use it then. Up to turnJitter is added, so that
	// not all nodes claim at the same time.
	maxTurnWait = 200 * time.Millisecond
	turnJitter  = 200 * time.Millisecond
	// sameAgeTolerance is the difference in age up to which two requests count as equally old: the
	// possible delay of a datagram. The names of their nodes then decide, so that not each node
	// considers itself the first.
	sameAgeTolerance = 20 * time.Millisecond
)

// queueID identifies the waiting work of one service that competes for the same capacity. Short
// answers have a queue of their own because they can use a share of an engine's memory that is
// closed to long ones. Queued behind long answers that wait for more memory, they would never get
// to use it.
type queueID struct {
	service string
	short   bool
}

func (f *Fleet) queueIDFor(w *Work) queueID {
	return queueID{service: w.Service.Name, short: w.Service.Engine != nil && w.Short() && !f.Disabled[ShortQueue]}
}

// Short reports whether the answer is short.
func (w *Work) Short() bool { return w.maxOutput() <= maxShortOutputTokens }

// maxOutput returns the maximum length of the answer in tokens. The length that the caller expects
// is only the fallback, as it is often far too low: by that length, 1 long answer in 30 was
// classified as short and had no backup.
func (w *Work) maxOutput() int {
	if w.MaxOutput > 0 {
		return w.MaxOutput
	}
	return w.Demand.Output
}

// WaitingWork describes a queue with waiting work on a node.
type WaitingWork struct {
	Queue QueueKey
	// Rank and Waited describe the first request of the queue.
	Rank   int
	Waited time.Duration
	// Workspace is the workspace of the first request, 0 if it has none or the node does not state
	// it, and Tokens the memory that the request needs.
	Workspace fairshare.Key
	Tokens    int
}

// QueueKey identifies a queue in messages between nodes.
type QueueKey uint32

func (id queueID) key() QueueKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id.service))
	if id.short {
		_, _ = h.Write([]byte{0})
	}
	return QueueKey(h.Sum32())
}

// OwnWaiting returns the waiting work of this node, to be sent to the other nodes.
func (f *Fleet) OwnWaiting() []WaitingWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waiting []WaitingWork
	now := f.now()
	for id, q := range f.queues {
		for _, head := range q.head(now, 1) {
			waiting = append(waiting, WaitingWork{
				Queue: id.key(), Rank: head.rank(now), Waited: now - head.enqueuedAt,
				Workspace: head.Workspace(), Tokens: head.work.tokens(),
			})
		}
	}
	return waiting
}

// nodesAheadLocked returns the number of nodes on which more urgent or older work of the same queue
// waits. Plain services have no turns: their capacity becomes free every few milliseconds, and work
// beyond it waits in an endpoint's own queue for no longer than a turn.
func (f *Fleet) nodesAheadLocked(w *Work, rank int, since time.Duration) int {
	if w.Service.Engine == nil || f.Disabled[Turns] {
		return 0
	}
	key := f.queueIDFor(w).key()
	ahead := 0
	for name, node := range f.remote {
		head, waits := node.waiting[key]
		if waits && (head.Rank < rank || (head.Rank == rank && f.remoteGoesFirstLocked(w, name, head, since))) {
			ahead++
		}
	}
	return ahead
}

// remoteGoesFirst reports whether work that waits on another node since the given time precedes
// work that waits here.
func (f *Fleet) remoteGoesFirst(node string, since, localSince time.Duration) bool {
	if diff := localSince - since; diff > sameAgeTolerance || diff < -sameAgeTolerance {
		return diff > 0
	}
	return node < f.Name
}

// othersWaitingLocked reports whether work of the service waits on another node.
func (f *Fleet) othersWaitingLocked(service string) bool {
	long, short := queueID{service: service}.key(), queueID{service: service, short: true}.key()
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

// broadcastLoadLocked requests that new work on an endpoint is reported to other nodes: to all
// nodes while work of the service waits on any node, else only to the nodes in the endpoint's data
// centre. Nodes in other data centres use the endpoint only when their own are full, and can learn
// of the work with the next regular datagram.
func (f *Fleet) broadcastLoadLocked(e *Endpoint) {
	if f.waitingLocked(e.Service) > 0 || f.othersWaitingLocked(e.Service) {
		f.Broadcast("")
		return
	}
	f.Broadcast(e.DataCentre)
}

// turn is the position of a waiter among the nodes that compete for the same capacity.
type turn struct {
	// hasCapacity is set while there is capacity for the work.
	hasCapacity bool
	// nodesAhead is the number of nodes that go first.
	nodesAhead int
	// claimAt is the time at which the work claims the capacity even if other nodes are ahead.
	// latestClaim is the upper bound of claimAt.
	claimAt, latestClaim time.Duration
}

// mayClaimLocked reports whether a waiter for which there is capacity may claim it now.
func (f *Fleet) mayClaimLocked(w *waiter) bool {
	now := f.now()
	ahead := f.nodesAheadLocked(w.work, w.rank(now), w.enqueuedAt)
	if ahead == 0 {
		return true
	}
	if !w.turn.hasCapacity {
		jitter := time.Duration(f.random.Int64N(int64(turnJitter)))
		w.turn = turn{hasCapacity: true, nodesAhead: -1, latestClaim: now + maxTurnWait + jitter}
	}
	if ahead != w.turn.nodesAhead {
		// A node ahead has placed its request, or another node has joined.
		w.turn.nodesAhead = ahead
		w.turn.claimAt = min(now+time.Duration(ahead)*claimSpacing, w.turn.latestClaim)
		f.ScheduleTick(w.turn.claimAt - now)
	}
	return now >= w.turn.claimAt
}
