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

// A long answer has a backup while memory is at hand: its engine sends the run's memory to
// another one as it grows. When the engine is gone, announced or not, the run goes on from
// there, and its caller sees a pause of some steps. Without it an engine that crashes takes
// its streams along, and one that leaves on short notice is emptied over a link that is too
// slow for all of its runs.

var (
	// ErrNoRun is for a run that an engine does not know, or no longer.
	ErrNoRun = errors.New("the engine knows no such run")
	// ErrCopying is for a run that an engine is copying already.
	ErrCopying = errors.New("the engine is copying the run already")
)

const (
	// overTimeout bounds the question whether a run is over whose answer broke off: two
	// connections that are not answered, and the rest.
	overTimeout = time.Second
	// unreachableTries is the number of connections that an engine must leave without an
	// answer to count as gone: the first packet of one may be lost.
	unreachableTries = 2
	// overRetry is the pause between two such questions.
	overRetry = 5 * time.Millisecond
	// copyMargin is the time beyond its lifetime for which an engine may keep a copy.
	copyMargin = 2 * time.Second
)

// holdBackup finds room for a backup of a long answer; nil if there is none.
func (j *job) holdBackup(p *fleet.Placement, except ...string) *fleet.BackupReservation {
	w := j.want()
	w.Exclude = except
	if w.Short() {
		return nil
	}
	h := j.Fleet.ReserveBackup(p, w)
	if h == nil {
		metrics.Count("stream_without_backup")
	}
	return h
}

// dropBackup gives the backup's room back once the engine has freed it.
func (j *job) dropBackup(h *fleet.BackupReservation, whole bool) {
	switch {
	case h == nil:
	case whole:
		h.Release(0)
	default:
		h.Release(j.copyLifetime())
	}
}

// copyLifetime is the time after which a copy that nobody uses is certainly gone.
func (j *job) copyLifetime() time.Duration { return j.r.Service.Engine.CopyLifetime + copyMargin }

// sound tells whether the leg's backup can be counted on.
func (l *leg) sound() bool {
	if l.backup == nil || l.backup.EndpointContext().Err() != nil {
		return false
	}
	select {
	case <-l.backup.Unusable():
		return false
	default:
		return true
	}
}

// copyOfRun is a copy of a run's memory on an engine, from which the run can go on once it
// is over at its own.
type copyOfRun struct {
	engine fleet.Instance
	resume Resume
	// take returns the place of the run at the engine; nil if it can't be had any more.
	take func() *fleet.Placement
}

// copies returns the copies that there are: that of a move that did not come to its end,
// and the backup.
func (l *leg) copies(at *progress) []copyOfRun {
	var all []copyOfRun
	if m := l.mover.copied(); m != nil && m.target.EndpointContext().Err() == nil && m.target.Usable() {
		all = append(all, copyOfRun{
			engine: m.target.Instance(),
			resume: Resume{Source: m.source, Handle: m.handle, LastEvent: at.last},
			take:   l.mover.takeCopy,
		})
	}
	if l.backup != nil && l.backup.EndpointContext().Err() == nil {
		all = append(all, copyOfRun{
			engine: l.backup.Instance(),
			resume: Resume{Source: l.backup.Instance().Address, Handle: l.r.ID, LastEvent: at.last},
			take:   func() *fleet.Placement { return l.backup.Promote(at.count * l.tokensPerEvent()) },
		})
	}
	return all
}

// fromCopy continues a stream whose engine is gone, nil if that is not possible.
func (l *leg) fromCopy(ctx context.Context, at *progress) *leg {
	known := l.mover.copied()
	if next := l.fromOne(ctx, at, l.copies(at)); next != nil {
		return next
	}
	if l.deadly() {
		return nil
	}
	waited := l.mover.awaitOrder(ctx)
	// The answer may also have come since the copies were looked at.
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

// fromOne continues a stream from one of the copies, nil if none of them serves.
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
		// The death may be held against the work; this copy is under way all the same.
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

// over makes certain that the run is over at its engine. A run whose answer broke off may
// still be at work, and must not be at two engines at a time: it is told to stop, and its
// memory then goes to the target under the handle that is returned. An engine that is
// gone, or knows no such run, has none.
func (l *leg) over(ctx context.Context, target fleet.Instance) (over bool, handle string) {
	if l.p.EndpointContext().Err() != nil {
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
			// Others must not be sent there, nor backups, until its entry is gone.
			l.p.RecordResult(fleet.Unreachable)
			return true, ""
		}
		// A kept connection to an engine that has died ends without an answer; the next
		// one is refused.
		retry.Sleep(ctx, overRetry)
	}
	return false, ""
}
