package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// A long answer has a backup as long as spare memory is available: its engine sends the run's KV
// cache to another engine as it grows. When the engine goes away, announced or not, the run is
// resumed from the backup, and its caller sees a pause of a few steps. Without backups, an engine
// that crashes loses all of its streams, and an engine that leaves at short notice must move all of
// its runs over a link that is too slow for that.

var (
	// ErrNoRun means that the engine does not know the run, or does not know it any longer.
	ErrNoRun = errors.New("the engine knows no such run")
	// ErrCopying means that the engine is already copying the run.
	ErrCopying = errors.New("the engine is already copying the run")
)

const (
	// stopTimeout limits the attempts to make sure that a run has ended after its answer broke off.
	// It allows for two connection attempts without an answer and for the remaining calls.
	overTimeout = time.Second
	// maxUnreachable is the number of connection attempts without an answer after which an engine
	// counts as gone. One is not enough, because its first packet may be lost.
	unreachableTries = 2
	// stopRetryPause is the pause between two attempts to stop a run.
	overRetry = 5 * time.Millisecond
	// copyMargin is the time for which an engine may keep a copy beyond the configured lifetime.
	copyMargin = 2 * time.Second
)

// holdBackup reserves room for the backup of a long answer on an endpoint that is not in except. It
// returns nil for short answers and if no endpoint has room.
func (j *job) holdBackup(p *fleet.Placement, except ...string) *fleet.Holding {
	w := j.want()
	w.Exclude = except
	if w.Short() {
		return nil
	}
	h := j.Fleet.Hold(p, w)
	if h == nil {
		metrics.Count("stream_without_backup")
	}
	return h
}

// dropBackup releases the reservation of a backup: at once if freed is set, because the engine has
// freed the backup or never made it, and after copyLifetime otherwise.
func (j *job) dropBackup(h *fleet.Holding, whole bool) {
	switch {
	case h == nil:
	case whole:
		h.Release(0)
	default:
		h.Release(j.copyLifetime())
	}
}

// copyLifetime returns the time after which an unused copy is guaranteed to be gone.
func (j *job) copyLifetime() time.Duration { return j.r.Service.Engine.CopyLifetime + copyMargin }

// backupUsable reports whether the segment has a backup on an endpoint that is alive, not leaving
// and not evacuated.
func (l *leg) sound() bool {
	if l.backup == nil || l.backup.Life().Err() != nil {
		return false
	}
	select {
	case <-l.backup.Unusable():
		return false
	default:
		return true
	}
}

// runCopy is a copy of a run's KV cache on another engine. The run can be resumed from it once it
// has ended on its own engine.
type copyOfRun struct {
	engine fleet.Instance
	resume Resume
	// take returns the run's placement on the engine, or nil if it is no longer available.
	take func() *fleet.Placement
}

// copies returns the available copies of the run: the copy made by an unfinished move, and the
// backup.
func (l *leg) copies(at *progress) []copyOfRun {
	var all []copyOfRun
	if m := l.mover.copied(); m != nil && m.target.Life().Err() == nil && m.target.Usable() {
		all = append(all, copyOfRun{
			engine: m.target.Instance(),
			resume: Resume{Source: m.source, Handle: m.handle, LastEvent: at.last},
			take:   l.mover.takeCopy,
		})
	}
	if l.backup != nil && l.backup.Life().Err() == nil {
		all = append(all, copyOfRun{
			engine: l.backup.Instance(),
			resume: Resume{Source: l.backup.Instance().Address, Handle: l.r.ID, LastEvent: at.last},
			take:   func() *fleet.Placement { return l.backup.Take(at.count * l.tokensPerEvent()) },
		})
	}
	return all
}

// resumeFromCopies resumes a stream whose engine is gone and returns its next segment, or nil if
// the stream cannot be resumed.
func (l *leg) fromCopy(ctx context.Context, at *progress) *leg {
	known := l.mover.copied()
	if next := l.fromOne(ctx, at, l.copies(at)); next != nil {
		return next
	}
	if l.deadly() {
		return nil
	}
	waited := l.mover.awaitOrder(ctx)
	// The answer may also have arrived since the copies were listed.
	late := l.mover.copied()
	fresh := late != nil && late != known
	if waited {
		metrics.Count("stream_awaited_copy")
		l.Log.Info("stream waited for its copy", zap.String("request", l.r.ID), zap.String("endpoint", l.p.Instance().ID),
			zap.Bool("copied", fresh), zap.Duration("pause", time.Since(at.lastAt)))
	}
	if !fresh {
		return nil
	}
	return l.fromOne(ctx, at, l.copies(at))
}

// resumeFromAny resumes a stream from the first of the copies that works. It returns nil if there
// is none.
func (l *leg) fromOne(ctx context.Context, at *progress, copies []copyOfRun) *leg {
	if len(copies) == 0 || l.deadly() {
		return nil
	}
	over, stopped := l.over(ctx, copies[0].engine)
	if !over {
		metrics.Count("stream_not_over")
		return nil
	}
	if stopped != "" {
		copies[0].resume = Resume{Source: l.p.Instance().Address, Handle: stopped, LastEvent: at.last}
	}
	if !leaving(l.p) {
		// The death may count as a strike against the work. This copy of the work keeps running.
		l.setClaim(true)
	}
	for i := range copies {
		place := copies[i].take()
		if place == nil {
			continue
		}
		if next := l.resume(ctx, place, &copies[i].resume, at); next != nil {
			metrics.Count("stream_from_copy")
			return next
		}
		place.Release(fleet.Neutral)
	}
	return nil
}

// ensureStopped makes sure that the run has ended on its engine. A run whose answer broke off may
// still be active, and must not run on two engines at once. The engine is therefore ordered to stop
// it, after which its KV cache is copied to target under the returned handle. The handle is empty
// if the engine is gone or does not know the run. ensureStopped returns false if the run may still
// be active.
func (l *leg) over(ctx context.Context, target fleet.Instance) (over bool, handle string) {
	if l.p.Life().Err() != nil {
		return true, ""
	}
	ctx, cancel := context.WithTimeout(ctx, overTimeout)
	defer cancel()
	source := l.p.Instance()
	unreached := 0
	for ctx.Err() == nil {
		got, err := l.Mover.Move(ctx, source.Address, l.r.ID, target.Address, true)
		l.Log.Info("stream broke off", zap.String("request", l.r.ID), zap.String("endpoint", source.ID),
			zap.String("copy_at", target.ID), zap.Bool("stopped", err == nil), zap.NamedError("cause", err))
		if err == nil {
			return got.Handle != "" && !got.Refused, got.Handle
		}
		if errors.Is(err, ErrNoRun) {
			return true, ""
		}
		var failed *h1.Error
		if errors.As(err, &failed) && !failed.Sent {
			unreached++
		}
		if unreached >= unreachableTries || errors.Is(err, syscall.ECONNREFUSED) {
			// Keeps new requests and backups off the endpoint until its entry is removed.
			l.p.Report(fleet.Unreachable)
			return true, ""
		}
		// A pooled connection to an engine that has died ends without an answer. The next
		// connection attempt is refused.
		retry.Sleep(ctx, overRetry)
	}
	return false, ""
}
