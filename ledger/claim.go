package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
)

// Claim requests the right to send the work identified by key. firstAttempt states that the caller
// has never sent this key before. Without it, a refusal during an outage must have the outcome
// unknown, since an earlier attempt may have run.
//
// Claim must be called as the last step before the work is sent. It never waits for another
// attempt, and it replaces the record of another attempt only if that record is in the not_run
// state.
func (l *Ledger) Claim(ctx context.Context, key Key, bodySHA256 string, firstAttempt bool) ClaimResult {
	a := &claimAttempt{ledger: l, claim: Claim{Key: key, AttemptID: l.opts.NewAttemptID(), soleAttempt: firstAttempt}}
	a.claim.record = Record{
		AttemptID:  a.claim.AttemptID,
		State:      StateStarted,
		BodySHA256: bodySHA256,
		Gateway:    l.opts.Gateway,
		StartedAt:  l.opts.Now(),
	}
	return a.run(ctx)
}

// claimAttempt is the state of one call of Claim.
type claimAttempt struct {
	ledger *Ledger
	claim  Claim
	// base is the revision of the row that the claim replaces; its version is 0 if there is no row.
	base platform.Revision
	// unconfirmed is set once a write without a confirming answer may have been applied or may
	// still be.
	unconfirmed bool
	// conflicted is set once a write failed because the row had another version. Unless the row is
	// then read, it may belong to another attempt.
	conflicted bool
}

// run writes the claim, and reads the row back if the answer leaves the result open.
//
// The answer to a write can be lost after the write took effect. Sending the work without checking
// would be wrong if another attempt holds the row; giving up would leave the claim of this attempt
// behind and block the key. The row is therefore read, and the attempt ID in it shows which attempt
// holds it. If the row is unchanged, the write is repeated with the same version: at most one of
// the two writes can be applied, and both carry the same attempt ID.
func (a *claimAttempt) run(ctx context.Context) ClaimResult {
	if left := a.ledger.restorations.GraceRemaining(); left > 0 {
		return a.refuse(left, "the platform was restored from a copy; records are being written again")
	}
	for range maxClaimTries {
		revision, err := a.write(ctx)
		if err == nil {
			return a.granted(revision)
		}
		if errors.Is(err, platform.ErrUnavailable) && !a.unconfirmed {
			return a.unavailable()
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			a.unconfirmed = true
		}
		if errors.Is(err, platform.ErrConflict) {
			a.conflicted = true
		}
		result, decided := a.readBack(ctx)
		if decided {
			return result
		}
	}
	return a.unavailable()
}

func (a *claimAttempt) write(ctx context.Context) (platform.Revision, error) {
	return a.ledger.writeRecord(ctx, a.claim.Key, a.base, a.claim.record)
}

// readBack reads the row after an unconfirmed write. decided is false if the write should be
// repeated.
func (a *claimAttempt) readBack(ctx context.Context) (result ClaimResult, decided bool) {
	row, rec, err := a.ledger.readRecord(ctx, a.claim.Key)
	if err != nil {
		return a.unavailable(), true
	}
	if row.Version == 0 {
		a.base = row.Revision()
		return ClaimResult{}, false
	}
	if rec.AttemptID == a.claim.AttemptID {
		return a.granted(row.Revision()), true
	}
	a.claim.soleAttempt = false
	if rec.State != StateNotRun {
		return a.ledger.answerFromRecord(ctx, rec, a.claim.record.BodySHA256), true
	}
	a.base = row.Revision()
	return ClaimResult{}, false
}

func (a *claimAttempt) granted(revision platform.Revision) ClaimResult {
	a.ledger.observeEra(revision.Era)
	if a.ledger.restorations.GraceRemaining() > 0 {
		// The record of an earlier attempt may have been lost.
		a.unconfirmed = true
		return a.unavailable()
	}
	a.claim.revision, a.claim.era = revision, revision.Era
	a.ledger.kept.keep(a.claim.Key, a.claim.record, a.ledger.opts.Now())
	metrics.Count("ledger_claimed")
	return ClaimResult{Claim: &a.claim}
}

// unavailable refuses the claim because the platform could not record it. This attempt never sends
// its work, so a claim that may still be applied is withdrawn in the background.
func (a *claimAttempt) unavailable() ClaimResult {
	if a.unconfirmed {
		metrics.Count("ledger_abandoned")
		a.ledger.retryInBackground(a.withdraw)
	}
	a.claim.soleAttempt = a.claim.soleAttempt && !a.conflicted
	return a.refuse(outageRetryAfter, "the run could not be recorded")
}

func (a *claimAttempt) refuse(retryAfter time.Duration, message string) ClaimResult {
	return ClaimResult{Refusal: crocusreel.Refuse(crocusreel.ReasonLedgerUnavailable, a.claim.notRunOutcome(), retryAfter, "%s", message)}
}

// withdraw ensures that the claim does not remain in the started state. It also overwrites a row
// that the claim has not changed: a write that is still in flight then fails its condition on the
// version and is never applied.
func (a *claimAttempt) withdraw(ctx context.Context) error {
	row, rec, err := a.ledger.readRecord(ctx, a.claim.Key)
	if err != nil {
		return err
	}
	ours := rec.AttemptID == a.claim.AttemptID && rec.State == StateStarted
	unchanged := row.Revision() == a.base
	if !ours && !unchanged {
		return nil
	}
	a.claim.record.State = StateNotRun
	_, err = a.ledger.writeRecord(ctx, a.claim.Key, row.Revision(), a.claim.record)
	return err
}

// notRunOutcome returns the outcome to report to the caller of an attempt that certainly did not
// send its work. Unless this is the caller's first attempt, an earlier one may be suspended in a
// frozen gateway and run its work after the gateway resumes, which would make not_run false for the
// key.
func (c *Claim) notRunOutcome() crocusreel.Outcome {
	if c.soleAttempt {
		return crocusreel.OutcomeNotRun
	}
	return crocusreel.OutcomeUnknown
}

// answerFromRecord returns the result of a claim whose key already has a record of another attempt.
func (l *Ledger) answerFromRecord(ctx context.Context, rec Record, bodySHA256 string) ClaimResult {
	outcome := crocusreel.OutcomeUnknown
	if rec.State == StateDone {
		outcome = crocusreel.OutcomeRan
	}
	if rec.BodySHA256 != bodySHA256 {
		return ClaimResult{Refusal: crocusreel.Refuse(crocusreel.ReasonKeyReused, outcome, 0,
			"the idempotency key was used with other content")}
	}
	if rec.State != StateDone || rec.Result == nil {
		return ClaimResult{Refusal: crocusreel.Refuse(crocusreel.ReasonRunInProgress, crocusreel.OutcomeUnknown,
			inProgressRetryAfter, "an earlier attempt with this key is running or was lost")}
	}
	result, err := l.loadResult(ctx, *rec.Result)
	if err != nil {
		return ClaimResult{Refusal: crocusreel.Refuse(crocusreel.ReasonLedgerUnavailable, crocusreel.OutcomeRan,
			outageRetryAfter, "the result of the earlier run could not be read")}
	}
	metrics.Count("ledger_replayed")
	return ClaimResult{Done: &result}
}

// loadResult returns the result with its body, which it reads from the object store if it is kept
// there.
func (l *Ledger) loadResult(ctx context.Context, result Result) (Result, error) {
	if result.Object == "" {
		return result, nil
	}
	body, err := l.objects.GetObject(ctx, result.Object)
	if err != nil {
		return Result{}, err
	}
	result.Body = body
	return result, nil
}

// readRecord reads the record of key, with at most maxReadTries tries. The version of the row is 0
// if there is no record.
func (l *Ledger) readRecord(ctx context.Context, key Key) (platform.Row, Record, error) {
	var row platform.Row
	var err error
	for try := range maxReadTries {
		if row, err = l.tables.Get(ctx, table, key.rowKey()); err == nil {
			break
		}
		if !l.backoff(ctx, try) {
			break
		}
	}
	if err != nil {
		return row, Record{}, err
	}
	l.observeEra(row.Era)
	if row.Version == 0 {
		return row, Record{}, nil
	}
	var rec Record
	if json.Unmarshal(row.Value, &rec) != nil {
		// A record that cannot be decoded may belong to work that ran.
		rec = Record{State: StateUnknown}
	}
	return row, rec, nil
}

// writeRecord writes the record if the row still has the given version, and returns the new
// version.
func (l *Ledger) writeRecord(ctx context.Context, key Key, base platform.Revision, rec Record) (platform.Revision, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return platform.Revision{}, err
	}
	return l.tables.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: table, Key: key.rowKey(), Version: base.Version, Era: base.Era}},
		Writes:     []platform.Write{{Table: table, Key: key.rowKey(), Value: value}},
	})
}
