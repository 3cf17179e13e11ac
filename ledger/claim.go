package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
)

// Claim asks for the right to send the work named by key. firstAttempt states that
// the caller has never sent this key before; without that, a refusal during an
// outage has to be unknown, since an earlier attempt may have run.
//
// Call it as the last step before the work is sent. It never waits for another
// attempt and never takes over a record that another attempt started.
func (l *Ledger) Claim(ctx context.Context, key Key, bodySHA256 string, firstAttempt bool) ClaimResult {
	a := &attempt{ledger: l, claim: Claim{Key: key, AttemptID: l.opts.NewAttemptID(), sole: firstAttempt}}
	a.claim.record = Record{
		AttemptID:  a.claim.AttemptID,
		State:      StateStarted,
		BodySHA256: bodySHA256,
		Gateway:    l.opts.Gateway,
		StartedAt:  l.opts.Now(),
	}
	return a.run(ctx)
}

// attempt is one call of Claim.
type attempt struct {
	ledger *Ledger
	claim  Claim
	// base is the version of the row over which the claim is written.
	base int64
	// pending is set once a write may have been applied, or may still be, although
	// no answer said so.
	pending bool
	// conflicted is set once a write met a row of another version; unless it is
	// read, it may be another attempt's.
	conflicted bool
}

// run writes the claim and reads back whatever the answer leaves open.
//
// The answer to a write can be lost after the write took effect. Sending the work
// without a look would be wrong if another attempt holds the row; giving up would
// leave our own claim behind and block the key. So the row is read, and the
// attempt ID in it tells whose it is. If the row is as it was before, the write is
// repeated under the same version: at most one of the two can be applied, and
// both carry the same attempt ID.
func (a *attempt) run(ctx context.Context) ClaimResult {
	for range claimTries {
		version, err := a.write(ctx)
		if err == nil {
			return a.held(version)
		}
		if errors.Is(err, platform.ErrUnavailable) && !a.pending {
			return a.unavailable()
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			a.pending = true
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

func (a *attempt) write(ctx context.Context) (int64, error) {
	return a.ledger.put(ctx, a.claim.Key, a.base, a.claim.record)
}

// readBack looks at the row after a write that was not confirmed. It is undecided
// if the write should be made again.
func (a *attempt) readBack(ctx context.Context) (result ClaimResult, decided bool) {
	row, rec, err := a.ledger.readRow(ctx, a.claim.Key)
	if err != nil {
		return a.unavailable(), true
	}
	if row.Version == 0 {
		a.base = 0
		return ClaimResult{}, false
	}
	if rec.AttemptID == a.claim.AttemptID {
		return a.held(row.Version), true
	}
	a.claim.sole = false
	if rec.State != StateNotRun {
		return a.ledger.existing(ctx, rec, a.claim.record.BodySHA256), true
	}
	a.base = row.Version
	return ClaimResult{}, false
}

func (a *attempt) held(version int64) ClaimResult {
	a.claim.version = version
	metrics.Count("ledger_claimed")
	return ClaimResult{Claim: &a.claim}
}

// unavailable refuses because the platform could not record the claim. This
// attempt never sends its work, so that a claim which may yet be applied is
// withdrawn in the background.
func (a *attempt) unavailable() ClaimResult {
	if a.pending {
		metrics.Count("ledger_abandoned")
		a.ledger.inBackground(a.withdraw)
	}
	a.claim.sole = a.claim.sole && !a.conflicted
	return ClaimResult{Refusal: crocusreel.Refuse(crocusreel.ReasonLedgerUnavailable, a.claim.notRunOutcome(),
		outageRetryAfter, "the run could not be recorded")}
}

// withdraw makes sure that the claim does not stay started. It also writes over a
// row that the claim has not reached: a write that is still under way then meets
// another version and is never applied.
func (a *attempt) withdraw(ctx context.Context) error {
	row, rec, err := a.ledger.readRow(ctx, a.claim.Key)
	if err != nil {
		return err
	}
	ours := rec.AttemptID == a.claim.AttemptID && rec.State == StateStarted
	unreached := row.Version == a.base
	if !ours && !unreached {
		return nil
	}
	a.claim.record.State = StateNotRun
	_, err = a.ledger.put(ctx, a.claim.Key, row.Version, a.claim.record)
	return err
}

// notRunOutcome is what may be told to the caller of an attempt that certainly did
// not send its work. Unless it is the caller's first attempt, an earlier one may
// sleep in a frozen gateway and run its work after it wakes, so that not_run would
// be false for the key.
func (c *Claim) notRunOutcome() crocusreel.Outcome {
	if c.sole {
		return crocusreel.OutcomeNotRun
	}
	return crocusreel.OutcomeUnknown
}

// existing answers from the record of another attempt.
func (l *Ledger) existing(ctx context.Context, rec Record, bodySHA256 string) ClaimResult {
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

// loadResult completes a result whose body is in the object store.
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

// readRow reads a record, with a bounded number of tries.
func (l *Ledger) readRow(ctx context.Context, key Key) (platform.Row, Record, error) {
	var row platform.Row
	var err error
	for try := range readTries {
		if row, err = l.tables.Get(ctx, table, key.row()); err == nil {
			break
		}
		if !l.pause(ctx, try) {
			break
		}
	}
	if err != nil || row.Version == 0 {
		return row, Record{}, err
	}
	var rec Record
	if json.Unmarshal(row.Value, &rec) != nil {
		// A record that cannot be read may stand for a run.
		rec = Record{State: StateUnknown}
	}
	return row, rec, nil
}

// put writes the record if the row still has the given version, and returns the new one.
func (l *Ledger) put(ctx context.Context, key Key, version int64, rec Record) (int64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return l.tables.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: table, Key: key.row(), Version: version}},
		Writes:     []platform.Write{{Table: table, Key: key.row(), Value: value}},
	})
}
