package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	// copyTimeout limits a copy. Nine runs of a full engine, copied one after another over its
	// link, take two seconds.
	copyTimeout = 3 * time.Second
	// refreshInterval is the time between two refreshes of a copy. A run generates 40 tokens in
	// that time, which an engine recomputes in a few milliseconds. Refreshing also keeps the copy
	// alive, which an engine keeps for a few seconds only.
	refreshInterval = 300 * time.Millisecond
	// maxCopyTries is the maximum number of orders for one copy if their answers are lost,
	// copyRetryPause the pause after the first of them. It doubles with each further order.
	maxCopyTries   = 6
	copyRetryPause = 20 * time.Millisecond
	// freeTimeout limits an order to free a copy.
	freeTimeout = 500 * time.Millisecond
)

// transfer copies the KV cache of one run to one target.
type transfer struct {
	*segment
	target *fleet.Placement
	// handle identifies the copy. It is empty until there is one.
	handle string
	// copyUncertain is set if a copy may have been made although no answer arrived.
	copyUncertain bool
}

// copy sends the part of the KV cache that the target does not have yet, while the run continues,
// and reports success. It is not cancelled when the stream ends: the engine would make the copy
// anyway, and its handle, which is needed to free it, would be unknown.
func (t *transfer) copy(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	got, err := t.moveWithRetry(callCtx, ctx)
	if got.Handle != "" {
		t.handle = got.Handle
	}
	t.copyUncertain = err != nil
	return err == nil && !got.Refused && ctx.Err() == nil
}

// refresh repeats copy at regular intervals until the segment ends or a copy fails.
func (t *transfer) refresh(ctx context.Context) {
	for {
		retry.Sleep(ctx, refreshInterval)
		if ctx.Err() != nil || !t.copy(ctx) {
			return
		}
	}
}

// moveWithRetry orders the copy, and repeats the order while its answer is lost, until streamCtx
// ends. The engine makes the copy even if the answer is lost, and only a second order, which sends
// just the new part of the KV cache, returns its handle. Without it, the whole KV cache would be
// sent again to another target, over a link that other runs of the leaving engine wait for.
func (t *transfer) moveWithRetry(ctx, streamCtx context.Context) (MoveResult, error) {
	pause := copyRetryPause
	for try := 1; ; try++ {
		got, err := t.move(ctx)
		if !answerLost(err) || try == maxCopyTries || streamCtx.Err() != nil {
			return got, err
		}
		metrics.Count("copy_ordered_again")
		retry.Sleep(streamCtx, pause)
		pause *= 2
	}
}

// answerLost reports whether an order to copy may have been carried out, or is being carried out,
// although its answer was not received.
func answerLost(err error) bool {
	var failed *h1.Error
	return errors.Is(err, ErrCopying) || errors.As(err, &failed) && failed.Sent
}

func (t *transfer) move(ctx context.Context) (MoveResult, error) {
	started := time.Now()
	source, target := t.p.Instance(), t.target.Instance()
	got, err := t.Mover.Move(ctx, source.Address, t.r.ID, target.Address, false)
	t.Log.Info("memory copied", zap.String("request", t.r.ID), zap.String("endpoint", source.ID),
		zap.String("target", target.ID), zap.Bool("far", source.DataCentre != target.DataCentre),
		zap.Int("tokens", t.p.CurrentTokens()), zap.Int("events", got.Events),
		zap.Bool("refused", got.Refused), zap.Duration("took", time.Since(started)), zap.NamedError("cause", err))
	return got, err
}

// abandon gives up the target in the background. A copy occupies memory and a slot on the target
// until it is freed. If it is not certain that it was freed, the placement is kept for as long as
// the engine may keep the copy. Otherwise the engine would be given work for which it has no
// memory, and that work would wait there until its deadline.
func (t *transfer) abandon() {
	go func() {
		if !t.free() {
			time.Sleep(t.copyLifetime())
		}
		t.target.Release(fleet.Neutral)
	}()
}

// free frees the copy. It returns false if the copy may still exist.
func (t *transfer) free() bool {
	if t.handle == "" {
		return !t.copyUncertain
	}
	return t.freeHandle(t.p.Instance().Address, t.target.Instance().Address, t.handle)
}

// freeHandle frees a copy by an order to its source, which informs the target, or to the target
// itself if the source fails. It returns false if the copy may still exist.
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

// targetCopy is the copy of a run's KV cache at the target of a transfer.
type targetCopy struct {
	// source is the address of the engine that runs the generation, handle identifies the copy
	// there.
	source string
	handle string
	// target is the placement on which the run can be resumed.
	target *fleet.Placement
}

// discard frees an unused copy and releases its placement, after copyLifetime if the copy may still
// exist.
func (m *targetCopy) discard(j *job) {
	if !j.freeHandle(m.source, m.target.Instance().Address, m.handle) {
		time.Sleep(j.copyLifetime())
	}
	m.target.Release(fleet.Neutral)
}
