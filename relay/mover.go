package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
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
// more, which its caller sees as a stall. So small copies are made until one is quick,
// and only then the run is stopped.
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

// movedRun is a run whose memory is held elsewhere.
type movedRun struct {
	source string
	handle string
	// places are endpoints at which the run can go on, best first.
	places []*fleet.Placement
}

func (m *movedRun) releaseOthers(chosen *fleet.Placement) {
	for _, p := range m.places {
		if p != chosen {
			p.Release(fleet.Neutral)
		}
	}
}

const (
	// moveTries bounds the targets that are tried for one run.
	moveTries = 12
	// moveRetry is the pause before engines are looked through again when none had room.
	moveRetry = 60 * time.Millisecond
	// copyTimeout bounds a copy: nine runs of a full engine, one after another on its
	// link, take two seconds.
	copyTimeout = 3 * time.Second
	// lastStop is the time before the engine stops at which a run is stopped at the
	// latest: its last copy may wait behind some others.
	lastStop = 250 * time.Millisecond
	// quickCopy is the time in which a copy of some steps' tokens ends while nothing else
	// is queued: two round trips and some milliseconds on the link.
	quickCopy = 40 * time.Millisecond
	// stopTimeout bounds the last copy, of some steps' tokens, behind other copies.
	stopTimeout = 2 * time.Second
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
	select {
	case <-ctx.Done():
		return
	case <-m.begun:
	}
	m.evacuation = m.leg.evacuation(ctx, m.leg.p, m.leg.r.Service.Engine)
	sleep(ctx, time.Until(m.evacuation.starts[m.leg.r.ID]))
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
	copied := m.copy(ctx, target)
	target.Arrived()
	if !copied {
		m.refused = append(m.refused, target.Instance().ID)
		target.Release(fleet.Neutral)
		return false
	}
	if !m.awaitIdleLinks(ctx, target) {
		target.Release(fleet.Neutral)
		return ctx.Err() != nil
	}
	return m.stopAndCopy(ctx, target)
}

// awaitIdleLinks copies what is new again and again until a copy is quick: no whole copy
// is then queued on the links of source and target, and the last copy will be quick as
// well. It ends before the engine is gone, in any case.
func (m *mover) awaitIdleLinks(ctx context.Context, target *fleet.Placement) bool {
	for time.Until(m.evacuation.leavesAt) > lastStop {
		started := time.Now()
		if !m.copy(ctx, target) {
			return false
		}
		took := time.Since(started)
		if took < quickCopy {
			return true
		}
		sleep(ctx, quickCopy-took)
	}
	return ctx.Err() == nil
}

func (m *mover) copy(ctx context.Context, target *fleet.Placement) bool {
	l := m.leg
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	started := time.Now()
	got, err := l.Mover.Move(ctx, l.p.Instance().Address, l.r.ID, target.Instance().Address, false)
	l.Log.Info("copy made", zap.String("request", l.r.ID), zap.String("endpoint", l.p.Instance().ID),
		zap.String("target", target.Instance().ID), zap.Int("events", got.Events), zap.Bool("refused", got.Refused),
		zap.Duration("took", time.Since(started)), zap.Error(err))
	return err == nil && !got.Refused
}

func (m *mover) stopAndCopy(ctx context.Context, target *fleet.Placement) bool {
	l := m.leg
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	// The run may have stopped when the answer is lost or the caller leaves, so this
	// call is not cut short.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	started := time.Now()
	got, err := l.Mover.Move(ctx, l.p.Instance().Address, l.r.ID, target.Instance().Address, true)
	l.Log.Info("run moved", zap.String("request", l.r.ID), zap.String("endpoint", l.p.Instance().ID),
		zap.String("target", target.Instance().ID), zap.Int("events", got.Events), zap.Bool("refused", got.Refused),
		zap.Duration("took", time.Since(started)), zap.Error(err))
	if err != nil || got.Handle == "" {
		target.Release(fleet.Neutral)
		return true
	}
	moved := &movedRun{source: l.p.Instance().Address, handle: got.Handle}
	if !got.Refused {
		moved.places = append(moved.places, target)
	} else {
		target.Release(fleet.Neutral)
	}
	m.mu.Lock()
	m.moved = moved
	m.mu.Unlock()
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
