package ledger

import (
	"context"
	"errors"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/rotisserie/eris"
)

// ErrClaimEnded is returned if the claim was already ended.
var ErrClaimEnded = eris.New("ledger: claim already ended")

// errClaimOverwritten means that the row no longer holds the claim. Only its holder may change a
// started record, so this is a fault of the platform.
var errClaimOverwritten = eris.New("ledger: record of a held claim was changed by another writer")

// RecordDone records the result of the run and ends the claim. If the platform is unavailable it
// returns an error and retries in the background; the answer to the caller does not depend on it.
func (l *Ledger) RecordDone(ctx context.Context, c *Claim, result Result) error {
	rec := c.record
	rec.State = StateDone
	rec.Result = &result
	stored := len(result.Body) <= l.opts.InlineBytes
	return l.endClaim(ctx, c, func(ctx context.Context) error {
		if !stored {
			name := table + "/" + c.Key.rowKey() + "/" + c.AttemptID
			if err := l.objects.PutObject(ctx, name, result.Body); err != nil {
				return err
			}
			rec.Result = &Result{Status: result.Status, ContentType: result.ContentType, Object: name}
			stored = true
		}
		return l.endRecord(ctx, c, rec)
	})
}

// RecordNotRun records that the work certainly never started, and ends the claim. It returns the
// outcome that is true for the caller's key: not_run for a first attempt, otherwise unknown. It
// must be called only with proof: nothing was sent, or the endpoint itself reported that it did not
// start the work.
func (l *Ledger) RecordNotRun(ctx context.Context, c *Claim) crocusreel.Outcome {
	rec := c.record
	rec.State = StateNotRun
	// An error is retried in the background; until then the record reads as unknown.
	_ = l.endClaim(ctx, c, func(ctx context.Context) error { return l.endRecord(ctx, c, rec) })
	return c.notRunOutcome()
}

// RecordUnknown records that the work may have run and that its result is lost, and ends the claim.
func (l *Ledger) RecordUnknown(ctx context.Context, c *Claim) {
	rec := c.record
	rec.State = StateUnknown
	// An error is retried in the background; a started record also reads as unknown.
	_ = l.endClaim(ctx, c, func(ctx context.Context) error { return l.endRecord(ctx, c, rec) })
}

// endClaim runs f, which ends the claim, and retries it in the background if it fails. Only the
// first call for a claim has an effect; later ones return ErrClaimEnded.
func (l *Ledger) endClaim(ctx context.Context, c *Claim, f func(context.Context) error) error {
	if !c.ended.CompareAndSwap(false, true) {
		return ErrClaimEnded
	}
	err := f(ctx)
	if err == nil || errors.Is(err, errClaimOverwritten) {
		return err
	}
	l.retryInBackground(f)
	return eris.Wrap(err, "end claim, retried in the background")
}

// endRecord replaces the started record of a held claim. A lost answer is resolved by reading the
// row: either it has the new state, or the write is repeated with the same version.
// recordEnd keeps the final record of a claim, or none if the work did not run.
func (l *Ledger) recordEnd(c *Claim, rec Record) {
	if rec.State == StateNotRun {
		l.kept.remove(c.Key)
		return
	}
	l.kept.keep(c.Key, rec, l.opts.Now())
}

func (l *Ledger) endRecord(ctx context.Context, c *Claim, rec Record) error {
	written, err := l.writeRecord(ctx, c.Key, c.revision, rec)
	if err == nil {
		l.recordEnd(c, rec)
		l.observeEra(written.Era)
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	row, found, readErr := l.readRecord(ctx, c.Key)
	if readErr != nil {
		return readErr
	}
	restored := row.Era > c.era
	switch {
	case restored && replaceable(row, found, rec.AttemptID):
		c.revision = row.Revision()
		return eris.Wrap(err, "platform was restored from a copy since the claim")
	case restored && found.AttemptID != rec.AttemptID && found.State == StateStarted:
		return eris.Wrap(errRivalClaim, found.AttemptID)
	case row.Revision() == c.revision:
		return eris.Wrap(err, "record is still in the started state")
	case found.AttemptID == rec.AttemptID && found.State == rec.State:
		return nil
	case rec.State == StateNotRun:
		// The not_run state was written although its answer was lost, and another attempt has
		// claimed the key since.
		return nil
	default:
		return errClaimOverwritten
	}
}
