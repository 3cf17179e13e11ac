package relay

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
)

// mover takes a running generation from an engine that is about to leave to another
// one. First it copies the run's memory while the run goes on; then it stops the run,
// copies what is new, and the stream goes on at the target. The caller sees a pause of
// some steps. Without it every stream is lost whose engine leaves, for a stream may
// not be run twice.
//
// Copies of one engine queue on its link, and those of other nodes do, too. A run that
// is stopped while whole copies are still queued waits behind them, half a second and
// more, which its caller sees as a stall. So runs move in turn, and where
// a copy took long all the same, another small one is made before the run is stopped.
type mover struct {
	leg    *leg
	cancel context.CancelFunc
	done   chan struct{}
	// begun is closed with the first event: before it there is nothing to move.
	begun     chan struct{}
	beginOnce sync.Once

	evacuation *evacuation
	// refused are engines that had no room for the run.
	refused []string

	mu      sync.Mutex
	stopped bool
	moved   *movedRun
}

const (
	// moveTries bounds the targets that are tried for one run.
	moveTries = 12
	// moveRetry is the pause before engines are looked through again when none had room.
	moveRetry = 60 * time.Millisecond
	// resultWait is how long a cut stream waits for the answer to the last copy, which
	// may come after the cut.
	resultWait = 2 * time.Second
)

func newMover(l *leg) *mover {
	return &mover{leg: l, done: make(chan struct{}), begun: make(chan struct{})}
}

func (m *mover) start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	spec := m.leg.r.Service.Engine
	if spec == nil || !spec.CanMove {
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

// stopping tells whether the run was told to stop for its move.
func (m *mover) stopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// result returns the moved run once the stream was cut, nil if it was not moved.
func (m *mover) result() *movedRun {
	if !m.stopping() {
		return nil
	}
	select {
	case <-m.done:
	case <-time.After(resultWait):
		metrics.Count("move_answer_late")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moved
}

func (m *mover) watch(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-m.leg.p.Leaving():
	}
	if m.leg.p.Life().Err() != nil {
		// The engine has started again and holds nothing of the run.
		return
	}
	if !m.hasBegun() {
		// Others need not wait for a run whose prompt is still being read.
		m.leg.Vacated.leave(m.leg.runKey())
	}
	select {
	case <-ctx.Done():
		return
	case <-m.begun:
	}
	m.evacuation = m.leg.evacuation(ctx, m.leg.p, m.leg.r.Service.Engine)
	defer m.leg.Vacated.leave(m.leg.runKey())
	m.leg.awaitTurn(ctx, m.evacuation, m.leg.r.ID)
	for range moveTries {
		if m.try(ctx) || ctx.Err() != nil {
			return
		}
	}
	metrics.Count("move_given_up")
}

// try moves the run to one target; it returns true if no further try makes sense.
func (m *mover) try(ctx context.Context) bool {
	l := m.leg
	want := l.want()
	want.Exclude = m.refused
	target := l.Fleet.Target(l.p, want)
	if target == nil {
		metrics.Count("move_no_target")
		m.refused = nil
		sleep(ctx, moveRetry)
		return false
	}
	t := &transfer{leg: l, target: target}
	copied := t.copy(ctx)
	target.Arrived()
	if !copied {
		m.refused = append(m.refused, target.Instance().ID)
		t.abandon()
		return ctx.Err() != nil
	}
	if !t.awaitIdleLinks(ctx, m.evacuation.leavesAt) {
		t.abandon()
		return ctx.Err() != nil
	}
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	moved := t.stopAndCopy(ctx)
	m.mu.Lock()
	m.moved = moved
	m.mu.Unlock()
	return true
}

// discard gives up what a move has made that is not needed: the stream ended, or its
// caller left, while it was under way.
func (m *mover) discard() {
	m.cancel()
	<-m.done
	m.mu.Lock()
	moved := m.moved
	m.moved = nil
	m.mu.Unlock()
	if moved != nil {
		moved.giveUp(m.leg.job)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
