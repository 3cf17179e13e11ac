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

// A long answer has a backup as long as spare memory is available: its engine sends the run's KV
// cache to another engine as it grows. When the engine stops, with or without notice, the run is
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
	// stopTimeout limits the attempts to make sure that a run has ended after its answer broke off,
	// once its engine has been silent for longer than a sound one is. It allows for two connection
	// attempts without an answer and for the remaining calls.
	stopTimeout = time.Second
	// maxUnreachable is the number of connection attempts without an answer after which an engine
	// that has been silent for that long counts as gone. One is not enough, because its first packet
	// may be lost.
	maxUnreachable = 2
	// stopRetryPause is the pause between two attempts to stop a run.
	stopRetryPause = 5 * time.Millisecond
	// copyMargin is the time for which an engine may keep a copy beyond the configured lifetime.
	copyMargin = 2 * time.Second
)

// reserveBackup reserves memory for the backup of a long answer on an endpoint that is not in
// except. It returns nil for short answers and if no endpoint has memory to spare.
func (j *job) reserveBackup(p *fleet.Placement, except ...string) *fleet.BackupReservation {
	w := j.work()
	w.Exclude = except
	if w.Short() {
		return nil
	}
	reservation := j.Fleet.ReserveBackup(p, w)
	if reservation == nil {
		metrics.Count("stream_without_backup")
	}
	return reservation
}

// releaseBackup releases the reservation of a backup: at once if freed is set, because the engine
// has freed the backup or never made it, and after copyLifetime otherwise.
func (j *job) releaseBackup(reservation *fleet.BackupReservation, freed bool) {
	switch {
	case reservation == nil:
	case freed:
		reservation.Release(0)
	default:
		reservation.Release(j.copyLifetime())
	}
}

// copyLifetime returns the time after which an unused copy is guaranteed to be gone.
func (j *job) copyLifetime() time.Duration { return j.r.Service.Engine.CopyLifetime + copyMargin }

// backupUsable reports whether the segment has a backup on an endpoint that is alive, not leaving
// and not evacuated.
func (s *segment) backupUsable() bool {
	if s.backup == nil || s.backup.EndpointContext().Err() != nil {
		return false
	}
	select {
	case <-s.backup.Unusable():
		return false
	default:
		return true
	}
}

// runCopy is a copy of a run's KV cache on another engine. The run can be resumed from it once it
// has ended on its own engine.
type runCopy struct {
	engine fleet.Instance
	resume Resume
	// take returns the run's placement on the engine, or nil if it is no longer available.
	take func() *fleet.Placement
}

// copies returns the available copies of the run: the copy made by an unfinished move, and the
// backup.
func (s *segment) copies(prog *progress) []runCopy {
	var all []runCopy
	if m := s.migrator.currentCopy(); m != nil && m.target.EndpointContext().Err() == nil && m.target.Usable() {
		all = append(all, runCopy{
			engine: m.target.Instance(),
			resume: Resume{Source: m.source, Handle: m.handle, LastEvent: prog.last},
			take:   s.migrator.takeCopy,
		})
	}
	if s.backup != nil && s.backup.EndpointContext().Err() == nil {
		all = append(all, runCopy{
			engine: s.backup.Instance(),
			resume: Resume{Source: s.backup.Instance().Address, Handle: s.r.ID, LastEvent: prog.last},
			take:   func() *fleet.Placement { return s.backup.Promote(s.producedTokens(prog)) },
		})
	}
	return all
}

// resumeFromCopies resumes a stream whose engine is gone and returns its next segment, or nil if
// the stream cannot be resumed.
func (s *segment) resumeFromCopies(ctx context.Context, prog *progress) *segment {
	known := s.migrator.currentCopy()
	if next := s.resumeFromAny(ctx, prog, s.copies(prog)); next != nil {
		return next
	}
	if s.strikeLimitReached() {
		return nil
	}
	waited := s.migrator.awaitCopyAnswer(ctx)
	// The answer may also have arrived since the copies were listed.
	late := s.migrator.currentCopy()
	fresh := late != nil && late != known
	if waited {
		metrics.Count("stream_awaited_copy")
		s.Log.Info("stream waited for its copy", zap.String("request", s.r.ID), zap.String("endpoint", s.p.Instance().ID),
			zap.Bool("copied", fresh), zap.Duration("pause", time.Since(prog.lastAt)))
	}
	if !fresh {
		return nil
	}
	return s.resumeFromAny(ctx, prog, s.copies(prog))
}

// resumeFromAny resumes a stream from the first of the copies that works. It returns nil if there
// is none.
func (s *segment) resumeFromAny(ctx context.Context, prog *progress, copies []runCopy) *segment {
	if len(copies) == 0 || s.strikeLimitReached() || !s.mayResumeParts() {
		return nil
	}
	ended, handle := s.ensureStopped(ctx, copies[0].engine)
	if !ended {
		metrics.Count("stream_not_over")
		return nil
	}
	if handle != "" {
		copies[0].resume = Resume{Source: s.p.Instance().Address, Handle: handle, LastEvent: prog.last}
	}
	if !leaving(s.p) {
		// The death may count as a strike against the work. This copy of the work keeps running.
		s.setClaim(true)
	}
	for i := range copies {
		placement := copies[i].take()
		if placement == nil {
			continue
		}
		if next := s.resume(ctx, placement, &copies[i].resume, prog); next != nil {
			metrics.Count("stream_from_copy")
			return next
		}
		placement.Release(fleet.Neutral)
	}
	return nil
}

// ensureStopped makes sure that the run has ended on its engine. A run whose answer broke off may
// still be active, and must not run on two engines at once. The engine is therefore ordered to stop
// it, after which its KV cache is copied to target under the returned handle. The handle is empty
// if the engine is gone or does not know the run. ensureStopped returns false if the run may still
// be active.
func (s *segment) ensureStopped(ctx context.Context, target fleet.Instance) (ended bool, handle string) {
	end, handle := s.stopRun(ctx, target)
	if end != endUnproven {
		s.lastRun.end = end
	}
	return end != endUnproven, handle
}

// stopRun orders the engine to stop the run, until there is evidence that the run is over.
func (s *segment) stopRun(ctx context.Context, target fleet.Instance) (end runEnd, handle string) {
	if s.p.EndpointContext().Err() != nil {
		return endRestarted, ""
	}
	lostAt := s.lastRun.heardAt.Add(h1.ToleratedSilence)
	ctx, cancel := context.WithTimeout(ctx, max(time.Until(lostAt), 0)+stopTimeout)
	defer cancel()
	source := s.p.Instance()
	unreached := 0
	for ctx.Err() == nil {
		got, err := s.Mover.Move(ctx, source.Address, s.r.ID, target.Address, true)
		s.Log.Info("stream broke off", zap.String("request", s.r.ID), zap.String("endpoint", source.ID),
			zap.String("copy_at", target.ID), zap.Bool("stopped", err == nil), zap.NamedError("cause", err))
		switch {
		case err == nil && got.Handle != "" && !got.Refused:
			return endStopped, got.Handle
		case err == nil:
			return endUnproven, got.Handle
		case errors.Is(err, ErrNoRun):
			return endStopped, ""
		}
		var failed *h1.Error
		if errors.As(err, &failed) && !failed.Sent {
			unreached++
		}
		if end = s.judgeUnreached(ctx, err, unreached, lostAt); end != endUnproven {
			// Keeps new requests and backups off the endpoint until its entry is removed.
			s.p.RecordResult(fleet.Unreachable)
			return end, ""
		}
		// A pooled connection to an engine that has died ends without an answer. The next
		// connection attempt is refused.
		pause := stopRetryPause
		if h1.Refused(err) {
			pause = probePause
		}
		retry.Sleep(ctx, pause)
	}
	return endUnproven, ""
}

// judgeUnreached returns what failed orders to stop a run show of it. unreached is the number of connections
// that could not be opened, lostAt the time from which the engine has been silent for longer than a sound
// one is.
func (s *segment) judgeUnreached(ctx context.Context, err error, unreached int, lostAt time.Time) runEnd {
	if h1.Refused(err) {
		if end := s.judgeRefusal(ctx, s.p); end != endUnproven {
			return end
		}
	}
	if unreached >= maxUnreachable && time.Now().After(lostAt) {
		return endLost
	}
	return endUnproven
}
