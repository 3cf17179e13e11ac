package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// copyTimeout bounds a copy: nine runs of a full engine, one after another on its
	// link, take two seconds.
	copyTimeout = 3 * time.Second
	// stopTimeout bounds the last copy, of some steps' tokens, behind other copies.
	stopTimeout = 2 * time.Second
	// lastStop is the time before the engine stops at which a run is stopped at the
	// latest: its last copy may wait behind some others.
	lastStop = 250 * time.Millisecond
	// quickCopy is the time in which a copy of some steps' tokens ends while nothing else
	// is queued: two round trips and some milliseconds on the link.
	quickCopy = 40 * time.Millisecond
	// farCopies is how many times longer a copy to another data centre takes.
	farCopies = 2
	// freeTimeout bounds the order to free a copy.
	freeTimeout = 500 * time.Millisecond
	// copyLifetime is how long an engine keeps a copy that nobody uses: the lifetime of
	// handles and some more.
	copyLifetime = 7 * time.Second
)

// transfer copies the memory of one run to one target.
type transfer struct {
	*leg
	target *fleet.Placement
	// handle names the copy once there is one.
	handle string
	// took is the time that the last copy took.
	took time.Duration
	// doubtful is set when a copy may have been made without an answer.
	doubtful bool
}

// copy copies what is new while the run goes on. It is not cut short when the stream
// ends: the copy would be made all the same, and nobody would know how to free it.
func (t *transfer) copy(ctx context.Context) bool {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	started := time.Now()
	got, err := t.move(call, false)
	t.took = time.Since(started)
	if got.Handle != "" {
		t.handle = got.Handle
	}
	t.doubtful = err != nil
	return err == nil && !got.Refused && ctx.Err() == nil
}

// awaitIdleLinks makes further small copies while the last one had to wait: a whole copy
// of another run was then queued on the link of source or target, and the last part of
// this one would wait behind it while its caller waits for events. It gives up waiting
// when that would cost the run its move.
func (t *transfer) awaitIdleLinks(ctx context.Context, leavesAt time.Time) bool {
	expected := farCopies * t.r.Service.Engine.CopyTime(t.target.Memory())
	for t.took > expected+quickCopy && time.Until(leavesAt) > lastStop+t.took {
		if !t.copy(ctx) {
			return false
		}
		expected = 0
	}
	return ctx.Err() == nil
}

// stopAndCopy stops the run and copies the rest. It returns nil if the run is lost. The
// run may have stopped when the answer is lost or the caller leaves, so the call is not
// cut short.
func (t *transfer) stopAndCopy(ctx context.Context) *movedRun {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	got, err := t.move(ctx, true)
	if err != nil || got.Handle == "" {
		t.doubtful = true
		t.abandon()
		return nil
	}
	moved := &movedRun{source: t.p.Instance().Address, handle: got.Handle}
	if got.Refused {
		// The memory stays at the source, and the run can go on there.
		t.abandon()
		return moved
	}
	moved.target = t.target
	return moved
}

func (t *transfer) move(ctx context.Context, stop bool) (Moved, error) {
	started := time.Now()
	source, target := t.p.Instance(), t.target.Instance()
	got, err := t.Mover.Move(ctx, source.Address, t.r.ID, target.Address, stop)
	t.Log.Info("memory moved", zap.String("request", t.r.ID), zap.String("endpoint", source.ID),
		zap.String("target", target.ID), zap.Bool("far", source.DataCentre != target.DataCentre), zap.Bool("stopped", stop),
		zap.Int("tokens", t.p.Memory()), zap.Int("events", got.Events),
		zap.Bool("refused", got.Refused), zap.Duration("took", time.Since(started)), zap.NamedError("cause", err))
	return got, err
}

// abandon gives the target up. A copy there occupies memory and a slot until it is freed;
// where that is not certain, the place stays taken for as long as the engine keeps it.
// Otherwise the engine would be given work that it has no room for, and that work would
// wait there until its deadline.
func (t *transfer) abandon() {
	go func() {
		if !t.free() {
			time.Sleep(copyLifetime)
		}
		t.target.Release(fleet.Neutral)
	}()
}

// free frees the copy; it returns false if the copy may still be there.
func (t *transfer) free() bool {
	if t.handle == "" {
		return !t.doubtful
	}
	return t.freeHandle(t.p.Instance().Address, t.target.Instance().Address, t.handle)
}

// freeHandle frees a copy by an order to its source, which tells the target, or to the
// target itself if the source is gone.
func (j *job) freeHandle(source, target, handle string) bool {
	var err error
	for _, address := range []string{source, target} {
		if err = j.freeAt(address, handle); err == nil {
			return true
		}
	}
	metrics.Count("copy_not_freed")
	j.Log.Info("copy not freed", zap.String("request", j.r.ID), zap.String("source", source),
		zap.String("target", target), zap.NamedError("cause", err))
	return false
}

func (j *job) freeAt(address, handle string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	return j.Mover.Free(ctx, address, handle)
}

// movedRun is a run that has stopped and whose memory is held under a handle.
type movedRun struct {
	// source is the address of the engine where the run was.
	source string
	handle string
	// target is where the run goes on; nil if only the source has the memory.
	target *fleet.Placement
}

// giveUp frees a moved run that nobody needs.
func (m *movedRun) giveUp(j *job) {
	if m.target == nil {
		return
	}
	if !j.freeHandle(m.source, m.target.Instance().Address, m.handle) {
		time.Sleep(copyLifetime)
	}
	m.target.Release(fleet.Neutral)
}
