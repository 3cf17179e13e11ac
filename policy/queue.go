package policy

import (
	"time"

	"github.com/crocusreel/crocusreel"
)

// agingInterval is the waiting time that is worth one step of priority, so that work of low
// priority does not starve.
const agingInterval = 2 * time.Second

// Item is a request waiting in a Queue.
type Item[V any] struct {
	Workspace string
	Priority  crocusreel.Priority
	// Cost is the expected work in tokens.
	Cost float64
	// Enqueued is the time at which the request arrived.
	Enqueued time.Duration
	Value    V

	skippedRound uint64
	queued       bool
}

// Queued reports whether the item is still waiting.
func (i *Item[V]) Queued() bool { return i.queued }

// urgency orders the items of one workspace; the highest goes first.
func (i *Item[V]) urgency(now time.Duration) float64 {
	return float64(i.Priority) + float64(now-i.Enqueued)/float64(agingInterval)
}

// flow holds the waiting items of one workspace.
type flow[V any] struct {
	items []*Item[V]
	// nextStart is the virtual time at which the next item of the flow starts.
	nextStart float64
	weight    float64
}

// Queue is a weighted fair queue over workspaces that uses start-time fair queueing. It is
// work-conserving: a workspace without waiting items leaves its share to the others and earns no
// credit for it. Within a workspace, items with higher priority and longer waits go first.
//
// Items are tried in rounds. BeginRound must be called before the first call of Next.
type Queue[V any] struct {
	flows       map[string]*flow[V]
	virtualTime float64
	round       uint64
	length      int
}

// NewQueue returns an empty queue.
func NewQueue[V any]() *Queue[V] { return &Queue[V]{flows: make(map[string]*flow[V])} }

// Len returns the number of waiting items.
func (q *Queue[V]) Len() int { return q.length }

// Push enqueues an item. weight is the weight of its workspace from now on.
func (q *Queue[V]) Push(i *Item[V], weight float64) {
	f, ok := q.flows[i.Workspace]
	if !ok {
		f = &flow[V]{nextStart: q.virtualTime}
		q.flows[i.Workspace] = f
	}
	if len(f.items) == 0 {
		f.nextStart = max(f.nextStart, q.virtualTime)
	}
	f.weight = weight
	f.items = append(f.items, i)
	i.queued = true
	q.length++
}

// Remove removes an item without charging its workspace. It does nothing if the item is not
// waiting.
func (q *Queue[V]) Remove(i *Item[V]) {
	f, ok := q.flows[i.Workspace]
	if !ok || !i.queued {
		return
	}
	for n, o := range f.items {
		if o == i {
			f.items = append(f.items[:n], f.items[n+1:]...)
			i.queued = false
			q.length--
			break
		}
	}
}

// BeginRound starts a new round, in which items skipped in earlier rounds are eligible again. It
// also drops the state of workspaces that have neither waiting items nor outstanding charges.
func (q *Queue[V]) BeginRound() {
	q.round++
	for name, f := range q.flows {
		if len(f.items) == 0 && f.nextStart <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// Next returns the next item to serve among those not skipped in this round, or nil if there is
// none. It does not remove the item.
func (q *Queue[V]) Next(now time.Duration) *Item[V] {
	var best *Item[V]
	start := 0.0
	for _, f := range q.flows {
		if best != nil && f.nextStart >= start {
			continue
		}
		if i := q.mostUrgent(f, now); i != nil {
			best, start = i, f.nextStart
		}
	}
	return best
}

func (q *Queue[V]) mostUrgent(f *flow[V], now time.Duration) *Item[V] {
	var best *Item[V]
	for _, i := range f.items {
		if i.skippedRound == q.round {
			continue
		}
		if best == nil || i.urgency(now) > best.urgency(now) {
			best = i
		}
	}
	return best
}

// Skip excludes an item from the rest of the round.
func (q *Queue[V]) Skip(i *Item[V]) { i.skippedRound = q.round }

// Serve removes an item and charges its cost to its workspace.
func (q *Queue[V]) Serve(i *Item[V]) {
	f, ok := q.flows[i.Workspace]
	if !ok || !i.queued {
		return
	}
	q.Remove(i)
	q.virtualTime = max(q.virtualTime, f.nextStart)
	f.nextStart += i.Cost / f.weight
}

// AdjustCharge corrects the charge of a workspace once the real cost of an item is known. extra is
// in tokens and may be negative.
func (q *Queue[V]) AdjustCharge(workspace string, extra float64) {
	if f, ok := q.flows[workspace]; ok {
		f.nextStart = max(f.nextStart+extra/f.weight, q.virtualTime)
	}
}

// Share returns the fraction of the service, between 0 and 1, that a workspace of the given weight
// gets in competition with the workspaces that have waiting items now.
func (q *Queue[V]) Share(workspace string, weight float64) float64 {
	sum := weight
	for name, f := range q.flows {
		if name != workspace && len(f.items) > 0 {
			sum += f.weight
		}
	}
	return weight / sum
}

// Waiting returns the number of waiting items of a workspace.
func (q *Queue[V]) Waiting(workspace string) int {
	if f, ok := q.flows[workspace]; ok {
		return len(f.items)
	}
	return 0
}

// DropCandidate returns the item to drop first when the queue is full, or nil if the queue is
// empty: the least urgent item of the workspace with the most waiting items in proportion to its
// weight.
func (q *Queue[V]) DropCandidate(now time.Duration) *Item[V] {
	var most *flow[V]
	for _, f := range q.flows {
		if len(f.items) > 0 && (most == nil || f.backlogPerWeight() > most.backlogPerWeight()) {
			most = f
		}
	}
	if most == nil {
		return nil
	}
	candidate := most.items[0]
	for _, i := range most.items[1:] {
		if i.urgency(now) <= candidate.urgency(now) {
			candidate = i
		}
	}
	return candidate
}

func (f *flow[V]) backlogPerWeight() float64 { return float64(len(f.items)) / f.weight }

// Each calls fn for every waiting item; fn may remove that item.
func (q *Queue[V]) Each(fn func(*Item[V])) {
	for _, f := range q.flows {
		for n := len(f.items) - 1; n >= 0; n-- {
			fn(f.items[n])
		}
	}
}
