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
	// copyTimeout bounds a copy: nine runs of a full engine, one after another on its
	// link, take two seconds.
	copyTimeout = 3 * time.Second
	// refreshEvery is the time between two copies of what is new: 40 tokens of a run, which
	// an engine reads again in some milliseconds. A copy is also kept for some seconds only.
	refreshEvery = 300 * time.Millisecond
	// copyTries bounds the orders for one copy whose answers are lost, and copyRetry is the
	// first pause between two of them; it doubles.
	copyTries = 6
	copyRetry = 20 * time.Millisecond
	// freeTimeout bounds the order to free a copy.
	freeTimeout = 500 * time.Millisecond
)

// transfer copies the memory of one run to one target.
type transfer struct {
	*leg
	target *fleet.Placement
	// handle names the copy once there is one.
	handle string
	// doubtful is set when a copy may have been made without an answer.
	doubtful bool
}

// copy copies what is new while the run goes on. It is not cut short when the stream
// ends: the copy would be made all the same, and nobody would know how to free it.
func (t *transfer) copy(ctx context.Context) bool {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	got, err := t.moveSurely(call, ctx)
	if got.Handle != "" {
		t.handle = got.Handle
	}
	t.doubtful = err != nil
	return err == nil && !got.Refused && ctx.Err() == nil
}

// refresh copies what is new again and again until the leg ends or the engine is gone.
func (t *transfer) refresh(ctx context.Context) {
	for {
		retry.Sleep(ctx, refreshEvery)
		if ctx.Err() != nil || !t.copy(ctx) {
			return
		}
	}
}

// moveSurely orders the copy, and again while the order's answer is lost, until that
// ends. The copy is made all the same, and only a second order, which sends what is new,
// tells its name. Without it the whole memory would go to another target once more, on a
// link that other runs of the leaving engine wait for.
func (t *transfer) moveSurely(ctx, until context.Context) (Moved, error) {
	pause := copyRetry
	for try := 1; ; try++ {
		got, err := t.move(ctx)
		if !answerLost(err) || try == copyTries || until.Err() != nil {
			return got, err
		}
		metrics.Count("copy_ordered_again")
		retry.Sleep(until, pause)
		pause *= 2
	}
}

// answerLost tells whether an order to copy may be, or is, carried out without an answer.
func answerLost(err error) bool {
	var failed *h1.Error
	return errors.Is(err, ErrCopying) || errors.As(err, &failed) && failed.Sent
}

func (t *transfer) move(ctx context.Context) (Moved, error) {
	started := time.Now()
	source, target := t.p.Instance(), t.target.Instance()
	got, err := t.Mover.Move(ctx, source.Address, t.r.ID, target.Address, false)
	t.Log.Info("memory copied", zap.String("request", t.r.ID), zap.String("endpoint", source.ID),
		zap.String("target", target.ID), zap.Bool("far", source.DataCentre != target.DataCentre),
		zap.Int("tokens", t.p.CurrentTokens()), zap.Int("events", got.Events),
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
			time.Sleep(t.copyLifetime())
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

// targetCopy is the copy of a run's memory at the target of a transfer.
type targetCopy struct {
	// source is the address of the engine where the run is; handle names the copy there.
	source string
	handle string
	// target is where the run can go on.
	target *fleet.Placement
}

// giveUp frees a copy that nobody needs.
func (m *targetCopy) giveUp(j *job) {
	if !j.freeHandle(m.source, m.target.Instance().Address, m.handle) {
		time.Sleep(j.copyLifetime())
	}
	m.target.Release(fleet.Neutral)
}
