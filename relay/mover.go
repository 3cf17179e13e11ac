package relay

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// mover copies the memory of a running generation away from an engine that is about to
// leave. The run is not stopped: it goes on at its engine until that is gone, and then
// from the copy, where the engine reads again what came after the last part of it. The
// caller sees a pause of some steps. Without it every stream is lost whose engine leaves,
// for a stream may not be run twice.
//
// A run that is stopped first, so that nothing need be read again, waits with its last
// part behind whatever is queued on the links of source and target, and its caller with
// it: half a second and more where other copies are under way.
type mover struct {
	leg    *leg
	cancel context.CancelFunc
	done   chan struct{}
	// begun is closed with the first event: before it there is nothing to copy.
	begun     chan struct{}
	beginOnce sync.Once

	// refused are engines that had no room for the run.
	refused []string

	mu sync.Mutex
	// copy is the run's copy at a target, nil while there is none.
	copy *targetCopy
	// answered is closed once the order to copy that is under way has its answer, and the
	// copy that it made, if any, is kept; nil while none is under way.
	answered chan struct{}
}

const (
	// moveTries bounds the targets that are tried for one run.
	moveTries = 12
	// moveRetry is the pause before engines are looked through again when none had room.
	moveRetry = 60 * time.Millisecond
)

func newMover(l *leg) *mover {
	return &mover{leg: l, done: make(chan struct{}), begun: make(chan struct{})}
}

func (m *mover) start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	spec := m.leg.r.Service.Engine
	if spec == nil || !spec.CanMove || m.leg.Fleet.Disabled[fleet.Moves] {
		close(m.done)
		return
	}
	go func() {
		defer close(m.done)
		m.watch(ctx)
	}()
}

func (m *mover) stop() { m.cancel() }

func (m *mover) hasBegun() bool {
	select {
	case <-m.begun:
		return true
	default:
		return false
	}
}

func (m *mover) eventSeen() { m.beginOnce.Do(func() { close(m.begun) }) }

// watch waits until the engine leaves and then has the run copied in its turn.
func (m *mover) watch(ctx context.Context) {
	l := m.leg
	if !await(ctx, l.p.Leaving()) || l.p.EndpointContext().Err() != nil {
		return
	}
	if l.sound() {
		// The run goes on from its backup; the link is left to runs without one.
		l.Vacated.leave(l.runKey())
		if !await(ctx, l.backup.Unusable()) {
			return
		}
	}
	if !m.hasBegun() {
		// Others need not wait for a run whose prompt is still being read.
		l.Vacated.leave(l.runKey())
	}
	if !await(ctx, m.begun) {
		return
	}
	l.awaitTurn(ctx, l.migration(ctx, l.p, l.r.Service.Engine), l.r.ID)
	defer l.Vacated.leave(l.runKey())
	for range moveTries {
		if m.try(ctx) || ctx.Err() != nil {
			return
		}
	}
	metrics.Count("move_given_up")
}

// await waits for the channel; it returns false if ctx ends first.
func await(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ch:
		return true
	}
}

// try copies the run to one target and keeps the copy fresh until the leg ends; it returns
// true if no further try makes sense.
func (m *mover) try(ctx context.Context) bool {
	l := m.leg
	want := l.want()
	want.Exclude = m.refused
	target := l.Fleet.ReserveMoveTarget(l.p, want)
	if target == nil {
		metrics.Count("move_no_target")
		m.refused = nil
		retry.Sleep(ctx, moveRetry)
		return false
	}
	t := &transfer{leg: l, target: target}
	if !m.order(ctx, t) {
		m.refused = append(m.refused, target.Instance().ID)
		t.abandon()
		return ctx.Err() != nil
	}
	l.Vacated.leave(l.runKey())
	t.refresh(ctx)
	return true
}

// order has the transfer's copy made and keeps it; it returns false if there is none.
func (m *mover) order(ctx context.Context, t *transfer) bool {
	answered := make(chan struct{})
	defer close(answered)
	m.mu.Lock()
	m.answered = answered
	m.mu.Unlock()
	copied := t.copy(ctx)
	t.target.EndCopy()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered = nil
	if copied {
		m.copy = &targetCopy{source: m.leg.p.Instance().Address, handle: t.handle, target: t.target}
	}
	return copied
}

// awaitOrder waits for the answer to the order to copy that is under way; it returns false
// if there is none, or if ctx ends first.
//
// An engine may die right after it has made a copy. Its streams are then cut, each by a
// connection of its own, a moment before or after the answer to the order: a stream that
// asked for copies at its cut only would be given up with its copy at hand.
func (m *mover) awaitOrder(ctx context.Context) bool {
	m.mu.Lock()
	answered := m.answered
	m.mu.Unlock()
	return answered != nil && await(ctx, answered)
}

// copied returns the run's copy, nil if there is none.
func (m *mover) copied() *targetCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy
}

// takeCopy returns the place at which the copy is.
func (m *mover) takeCopy() *fleet.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copy == nil {
		return nil
	}
	target := m.copy.target
	m.copy = nil
	return target
}

// discard gives up a copy that is not needed: the stream ended, or its caller left.
func (m *mover) discard() {
	m.cancel()
	<-m.done
	m.mu.Lock()
	unused := m.copy
	m.copy = nil
	m.mu.Unlock()
	if unused != nil {
		unused.giveUp(m.leg.job)
	}
}
