package relay

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// migrator copies the KV cache of a running generation away from an engine that is about to leave.
// The run is not stopped: it continues on its engine until the engine exits, and is then resumed
// from the copy, where the engine recomputes the tokens generated since the last refresh of the
// copy. The caller sees a pause of a few steps. Without a copy, every stream on a leaving engine is
// lost, because a stream must not be run twice.
//
// Stopping the run first would avoid the recomputation, but its last part would wait behind
// everything that is queued on the links of source and target, and so would its caller: half a
// second and more while other copies are in progress.
type migrator struct {
	segment *segment
	cancel  context.CancelFunc
	done    chan struct{}
	// begun is closed at the first event. Before that there is nothing to copy.
	begun     chan struct{}
	beginOnce sync.Once

	// refused holds the IDs of engines to which no copy of the run could be made.
	refused []string

	mu sync.Mutex
	// copy is the run's copy on a target, nil if there is none.
	copy *targetCopy
	// answered is closed once the pending order to copy has been answered and the resulting copy,
	// if any, is stored in copy. It is nil while no order is pending.
	answered chan struct{}
}

const (
	// maxMoveTries is the maximum number of targets that are tried for one run.
	maxMoveTries = 12
	// moveRetryPause is the pause before the next search for a target when no engine had capacity.
	moveRetryPause = 60 * time.Millisecond
)

func newMigrator(s *segment) *migrator {
	return &migrator{segment: s, done: make(chan struct{}), begun: make(chan struct{})}
}

func (m *migrator) start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	spec := m.segment.r.Service.Engine
	if spec == nil || !spec.CanMove || m.segment.Fleet.Disabled[fleet.Moves] {
		close(m.done)
		return
	}
	go func() {
		defer close(m.done)
		m.watch(ctx)
	}()
}

func (m *migrator) stop() { m.cancel() }

func (m *migrator) hasBegun() bool {
	select {
	case <-m.begun:
		return true
	default:
		return false
	}
}

func (m *migrator) markBegun() { m.beginOnce.Do(func() { close(m.begun) }) }

// watch waits until the engine is leaving, and copies the run when its turn comes.
func (m *migrator) watch(ctx context.Context) {
	s := m.segment
	if !await(ctx, s.p.Leaving()) || s.p.EndpointContext().Err() != nil {
		return
	}
	if s.backupUsable() {
		// The run will be resumed from its backup, so that the link is free for runs without one.
		s.Vacated.markVacated(s.runKey())
		if !await(ctx, s.backup.Unusable()) {
			return
		}
	}
	if !m.hasBegun() {
		// Other runs need not wait for a run whose prompt is still being processed.
		s.Vacated.markVacated(s.runKey())
	}
	if !await(ctx, m.begun) {
		return
	}
	s.awaitTurn(ctx, s.migrationFor(ctx, s.p, s.r.Service.Engine), s.r.ID)
	defer s.Vacated.markVacated(s.runKey())
	for range maxMoveTries {
		if m.try(ctx) || ctx.Err() != nil {
			return
		}
	}
	metrics.Count("move_given_up")
}

// await waits until the channel is closed. It returns false if ctx ends first.
func await(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ch:
		return true
	}
}

// try copies the run to one target and refreshes the copy until the segment ends. It returns true
// if no further try is useful.
func (m *migrator) try(ctx context.Context) bool {
	s := m.segment
	work := s.work()
	work.Exclude = m.refused
	target := s.Fleet.ReserveMoveTarget(s.p, work)
	if target == nil {
		metrics.Count("move_no_target")
		m.refused = nil
		retry.Sleep(ctx, moveRetryPause)
		return false
	}
	t := &transfer{segment: s, target: target}
	if !m.orderCopy(ctx, t) {
		m.refused = append(m.refused, target.Instance().ID)
		t.abandon()
		return ctx.Err() != nil
	}
	s.Vacated.markVacated(s.runKey())
	t.refresh(ctx)
	return true
}

// orderCopy lets the transfer make its copy and stores the copy. It returns false if there is none.
func (m *migrator) orderCopy(ctx context.Context, t *transfer) bool {
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
		m.copy = &targetCopy{source: m.segment.p.Instance().Address, handle: t.handle, target: t.target}
	}
	return copied
}

// awaitCopyAnswer waits for the answer to the pending order to copy. It returns false if no order
// is pending or if ctx ends first.
//
// An engine may die right after it has made a copy. Its streams are then cut, each on its own
// connection, shortly before or after the answer to the order arrives. A stream that looked for
// copies only when it was cut would be given up although its copy exists.
func (m *migrator) awaitCopyAnswer(ctx context.Context) bool {
	m.mu.Lock()
	answered := m.answered
	m.mu.Unlock()
	return answered != nil && await(ctx, answered)
}

// currentCopy returns the run's copy, or nil if there is none.
func (m *migrator) currentCopy() *targetCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy
}

// takeCopy returns the placement at the copy's target, or nil if there is no copy. The caller then
// owns the placement.
func (m *migrator) takeCopy() *fleet.Placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copy == nil {
		return nil
	}
	target := m.copy.target
	m.copy = nil
	return target
}

// discard stops the migration and frees the copy if the stream was not resumed from it.
func (m *migrator) discard() {
	m.cancel()
	<-m.done
	m.mu.Lock()
	unused := m.copy
	m.copy = nil
	m.mu.Unlock()
	if unused != nil {
		unused.discard(m.segment.job)
	}
}
