// Package fleet tracks the endpoints of the services and their load, places work on them and queues
// work that has to wait. It does no I/O, and its clock is injected.
package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// Incarnation identifies one start of an endpoint. An endpoint that crashed can start again under
// the same ID; its runs, backups and measurements from before belong to the previous incarnation.
type Incarnation struct {
	ID string
	// StartedAtMS is the time of the start in Unix milliseconds, or 0 if the endpoint does not
	// report it.
	StartedAtMS int64
}

// Instance describes one incarnation of an endpoint as it has registered.
type Instance struct {
	// ID and StartedAtMS are the fields of the Incarnation.
	ID          string
	StartedAtMS int64
	Service     string
	Address     string
	DataCentre  string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving is set if the endpoint is about to stop.
	Leaving bool
	// Warming is the remaining time for which the endpoint is slow after its start.
	Warming time.Duration
}

// Incarnation returns the incarnation of the endpoint.
func (in Instance) Incarnation() Incarnation {
	return Incarnation{ID: in.ID, StartedAtMS: in.StartedAtMS}
}

// EndpointKey identifies an incarnation in messages between nodes.
type EndpointKey uint32

// Key returns the key of the incarnation, a 32-bit hash. Two live incarnations share a key with a
// probability of one in millions; their loads cannot be distinguished then.
func (i Incarnation) Key() EndpointKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.ID))
	if i.StartedAtMS != 0 {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(i.StartedAtMS)))
	}
	return EndpointKey(h.Sum32())
}

// ErrRestarted is the cancellation cause of an incarnation whose endpoint has restarted.
var ErrRestarted = errors.New("endpoint has restarted")

// Load is the load that one node puts on one endpoint.
type Load struct {
	Key   EndpointKey
	Count int
	// Tokens is the memory, in tokens, that the runs are expected to need.
	Tokens int
	// PendingPrefill is the number of prompt tokens pending prefill.
	PendingPrefill int
	// BackupTokens is the memory, in tokens, reserved for backups of runs on other endpoints.
	BackupTokens int
	// IncomingTokens is the memory, in tokens, of runs that are being copied to the endpoint.
	IncomingTokens int
}

// Endpoint is an instance with its load and health. Its fields are protected by the lock of the
// Fleet.
type Endpoint struct {
	Instance
	key          EndpointKey
	warmingUntil time.Duration
	// ctx is cancelled by cancel once the instance is known to have died.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// leaving is closed once the instance is about to stop or has been removed.
	leaving   chan struct{}
	isLeaving bool
	// entryLeaving is set once the store entry has announced that the instance is about to stop.
	entryLeaving bool
	// unusable is closed while the instance is leaving or its data centre is evacuated.
	unusable    chan struct{}
	isEvacuated bool
	// evacuationEndedAt is the time at which the evacuation of the data centre ended, or 0 if there
	// was none.
	evacuationEndedAt time.Duration
	// lastRequestAt is the time of the last request from this node.
	lastRequestAt time.Duration
	// answeredAt is the time of the last answer without a notice to this node, before the instance
	// has sent any notice.
	answeredAt time.Duration
	// noticeRecord holds the notices that the instance has sent, or nil if there are none.
	noticeRecord *noticeRecord
	// missingSince is the time at which the store entry disappeared although the instance may be
	// alive, or 0 if the entry exists.
	missingSince time.Duration
	// confirmedHealthy is set once the instance has confirmed at a health check, while its store
	// entry was missing, that it is not about to stop.
	confirmedHealthy bool
	own              Load
	// remote holds the load from each other node, and remoteTotal is their sum.
	remote      map[string]Load
	remoteTotal Load
	health      health
	refusal     refusal
	// overload is used while the service is brittle.
	overload endpointOverload
	// leavingByHealth is set while the instance counts as leaving by its health check alone.
	leavingByHealth bool
	// leavingSince is the time at which the instance was found to be leaving.
	leavingSince time.Duration
	// speed is what is known of the speed of an engine.
	speed *engineSpeed
}

func newEndpoint(in Instance) *Endpoint {
	e := &Endpoint{
		Instance: in,
		key:      in.Incarnation().Key(),
		leaving:  make(chan struct{}),
		unusable: make(chan struct{}),
		remote:   make(map[string]Load),
		speed:    &engineSpeed{},
	}
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	return e
}

// total returns the load from all nodes.
func (e *Endpoint) total() Load { return e.own.plus(e.remoteTotal) }

// setRemote replaces the load from another node. It reports whether that load has decreased.
func (e *Endpoint) setRemote(node string, l Load) (decreased bool) {
	before := e.remote[node]
	e.remoteTotal = e.remoteTotal.minus(before).plus(l)
	if l.isZero() {
		delete(e.remote, node)
	} else {
		e.remote[node] = l
	}
	return l.Count < before.Count || l.Tokens < before.Tokens || l.PendingPrefill < before.PendingPrefill || l.BackupTokens < before.BackupTokens
}

func (l Load) plus(other Load) Load {
	l.Count += other.Count
	l.Tokens += other.Tokens
	l.PendingPrefill += other.PendingPrefill
	l.IncomingTokens += other.IncomingTokens
	l.BackupTokens += other.BackupTokens
	return l
}

func (l Load) minus(other Load) Load {
	l.Count -= other.Count
	l.Tokens -= other.Tokens
	l.PendingPrefill -= other.PendingPrefill
	l.IncomingTokens -= other.IncomingTokens
	l.BackupTokens -= other.BackupTokens
	return l
}

// isZero reports whether the load is empty, regardless of its key.
func (l Load) isZero() bool {
	l.Key = 0
	return l == Load{}
}

func (e *Endpoint) markLeaving(now time.Duration) {
	if e.isLeaving {
		return
	}
	e.leavingSince = now
	e.isLeaving = true
	close(e.leaving)
	e.markUnusable()
}

// markUnusable closes the unusable channel unless it is already closed.
func (e *Endpoint) markUnusable() {
	select {
	case <-e.unusable:
	default:
		close(e.unusable)
	}
}

// cancelLeaving reverts markLeaving.
func (e *Endpoint) cancelLeaving() {
	e.isLeaving, e.leavingByHealth = false, false
	e.leaving = make(chan struct{})
	if !e.isEvacuated {
		e.unusable = make(chan struct{})
	}
}
