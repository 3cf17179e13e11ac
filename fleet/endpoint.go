// Package fleet knows the endpoints of the services, what runs on them, and decides
// where work goes and which work waits. It does no I/O; its clock is given.
package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// Incarnation is one start of an endpoint. An endpoint that crashed may start again
// under the ID that it had; what ran there, was held there or was measured there belongs
// to the start before.
type Incarnation struct {
	ID string
	// Born is the Unix millisecond of the start; 0 if the endpoint does not tell.
	Born int64
}

// Instance is one start of an endpoint, as it registered itself.
type Instance struct {
	// ID and Born are those of the Incarnation.
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that run at the same time.
	Slots int
	// Leaving tells that the endpoint is about to stop.
	Leaving bool
	// Warming is how much longer the endpoint is slow after its start.
	Warming time.Duration
}

// Incarnation tells which start of the endpoint this is.
func (in Instance) Incarnation() Incarnation { return Incarnation{ID: in.ID, Born: in.Born} }

// EndpointKey identifies an incarnation in messages between nodes.
type EndpointKey uint32

// Key returns the key of an incarnation. Two live ones share a key with a chance of one
// in millions; their loads are then counted together.
func (i Incarnation) Key() EndpointKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.ID))
	if i.Born != 0 {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(i.Born)))
	}
	return EndpointKey(h.Sum32())
}

// ErrRestarted is why the life of an incarnation ended: its endpoint has started again.
var ErrRestarted = errors.New("the endpoint has started again")

// Load is what one node runs on one endpoint.
type Load struct {
	Key   EndpointKey
	Count int
	// Tokens is the memory that the runs are expected to need.
	Tokens int
	// Unread is the number of prompt tokens that wait to be read.
	Unread int
	// Held is the memory, in tokens, of backups of runs elsewhere.
	Held int
	// Arriving is the memory, in tokens, of runs whose copies are on their way there.
	Arriving int
}

// Endpoint is an instance with its load and health. Its fields belong to the Fleet's
// lock.
type Endpoint struct {
	Instance
	key       EndpointKey
	warmUntil time.Duration
	// life ends once the instance has certainly died; end ends it.
	life context.Context
	end  context.CancelCauseFunc
	// leaving is closed once the instance is about to stop or was removed.
	leaving   chan struct{}
	isLeaving bool
	// entryLeaving is set once its entry has said that it is about to stop.
	entryLeaving bool
	// unusable is closed while the instance is leaving or its data centre is evacuated.
	unusable    chan struct{}
	isEvacuated bool
	// returnedAt is when the evacuation of its data centre ended; 0 if there was none.
	returnedAt time.Duration
	// coldUsedAt is when this node last sent it a request.
	coldUsedAt time.Duration
	// answeredAt is when it last answered this node and said nothing, before it ever said anything.
	answeredAt time.Duration
	// noticed is what it has said of itself; nil for nothing.
	noticed *noticeRecord
	// missingAt is when the entry vanished although the instance may be alive; 0 if
	// it is there.
	missingAt time.Duration
	// vouched is set once it has said at a health check, while its entry was missing, that it
	// goes on.
	vouched bool
	own     Load
	// remote is what other nodes run on it, and others the sum of that.
	remote map[string]Load
	others Load
	health health
	// byHealth is set while it counts as leaving by its health check alone.
	byHealth bool
	// left is when the endpoint was found to be leaving.
	left time.Duration
}

func newEndpoint(in Instance) *Endpoint {
	e := &Endpoint{
		Instance: in,
		key:      in.Incarnation().Key(),
		leaving:  make(chan struct{}),
		unusable: make(chan struct{}),
		remote:   make(map[string]Load),
	}
	e.life, e.end = context.WithCancelCause(context.Background())
	return e
}

// total is what all nodes run there.
func (e *Endpoint) total() Load { return e.own.plus(e.others) }

// setRemote takes what another node runs there, and returns whether that has become less.
func (e *Endpoint) setRemote(node string, l Load) (less bool) {
	before := e.remote[node]
	e.others = e.others.minus(before).plus(l)
	if l.none() {
		delete(e.remote, node)
	} else {
		e.remote[node] = l
	}
	return l.Count < before.Count || l.Tokens < before.Tokens || l.Unread < before.Unread || l.Held < before.Held
}

func (l Load) plus(other Load) Load {
	l.Count += other.Count
	l.Tokens += other.Tokens
	l.Unread += other.Unread
	l.Arriving += other.Arriving
	l.Held += other.Held
	return l
}

func (l Load) minus(other Load) Load {
	l.Count -= other.Count
	l.Tokens -= other.Tokens
	l.Unread -= other.Unread
	l.Arriving -= other.Arriving
	l.Held -= other.Held
	return l
}

// none tells whether the load is empty.
func (l Load) none() bool {
	l.Key = 0
	return l == Load{}
}

func (e *Endpoint) markLeaving(now time.Duration) {
	if e.isLeaving {
		return
	}
	e.left = now
	e.isLeaving = true
	close(e.leaving)
	e.markUnusable()
}

// markUnusable closes the channel of that name once.
func (e *Endpoint) markUnusable() {
	select {
	case <-e.unusable:
	default:
		close(e.unusable)
	}
}

// stay takes back that the endpoint is leaving.
func (e *Endpoint) stay() {
	e.isLeaving, e.byHealth = false, false
	e.leaving = make(chan struct{})
	if !e.isEvacuated {
		e.unusable = make(chan struct{})
	}
}
