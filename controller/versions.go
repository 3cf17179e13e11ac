package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	configTable = "config"
	headKey     = "head"
	// versionPrefix is the key prefix of the immutable rows, one for each version.
	versionPrefix = "version/"
	// applyRetryDelay is the wait between two attempts at one commit.
	applyRetryDelay = 100 * time.Millisecond
)

// versionStore keeps accepted configurations in the platform's table: one head row with the latest
// version, and one immutable row for each version.
type versionStore struct {
	tables platform.Tables
	now    func() time.Time
	// restorations tracks the restorations of the platform's store from a copy.
	restorations *knowledge.RestorationTracker
	// adopted returns the version in force at this VM.
	adopted func() uint64
}

// newVersionStore returns a versionStore for a VM on which no version is in force.
func newVersionStore(tables platform.Tables, now func() time.Time) *versionStore {
	started := now()
	return &versionStore{
		tables: tables, now: now,
		restorations: knowledge.NewRestorationTracker(func() time.Duration { return now().Sub(started) }),
		adopted:      func() uint64 { return 0 },
	}
}

func versionKey(version uint64) string { return fmt.Sprintf("%s%012d", versionPrefix, version) }

// head reads the latest version without its document, and the row that holds it. Before the first
// edit the version is zero.
func (v *versionStore) head(ctx context.Context) (operator.Version, platform.Row, error) {
	row, err := v.tables.Get(ctx, configTable, headKey)
	if err != nil {
		return operator.Version{}, row, eris.Wrap(err, "read configuration head")
	}
	if v.restorations.Observe(row.Era) {
		metrics.Count("config_store_restored")
	}
	if row.Version == 0 {
		return operator.Version{}, row, nil
	}
	version, err := decodeVersion(row)
	return version, row, err
}

// read returns one version with its document, or operator.ErrVersionNotFound.
func (v *versionStore) read(ctx context.Context, version uint64) (operator.Version, error) {
	row, err := v.tables.Get(ctx, configTable, versionKey(version))
	if err != nil {
		return operator.Version{}, eris.Wrap(err, "read configuration version")
	}
	if row.Version == 0 {
		return operator.Version{}, operator.ErrVersionNotFound
	}
	return decodeVersion(row)
}

func decodeVersion(row platform.Row) (operator.Version, error) {
	var version operator.Version
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return version, eris.Wrapf(err, "decode row %s", row.Key)
	}
	return version, nil
}

// history returns the latest versions without documents, newest first, at most limit of them.
func (v *versionStore) history(ctx context.Context, limit int) ([]operator.Version, error) {
	head, _, err := v.head(ctx)
	if err != nil {
		return nil, err
	}
	after := ""
	if latest := head.Version; latest > uint64(limit) {
		after = versionKey(latest - uint64(limit))
	}
	rows, err := v.tables.Scan(ctx, configTable, versionPrefix, after, limit)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration history")
	}
	versions := make([]operator.Version, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		version, err := decodeVersion(rows[i])
		if err != nil {
			return nil, err
		}
		version.Document = nil
		versions = append(versions, version)
	}
	return versions, nil
}

// writeAgain stores the version in force after the platform was restored from a copy that lacks it.
// row is the head row of the copy. The versions between the two are lost. Errors:
// platform.ErrConflict if another VM has written meanwhile.
func (v *versionStore) writeAgain(ctx context.Context, inForce operator.Version, row platform.Row) error {
	inForce.At = v.now().UTC()
	txn, err := versionTxn(inForce, row.Revision())
	if err != nil {
		return err
	}
	_, err = v.tables.Commit(ctx, txn)
	return eris.Wrapf(err, "write configuration %d again", inForce.Version)
}

// checkComplete returns operator.ErrPlatformUnavailable while the platform may lack accepted versions
// after it was restored from a copy: an edit would be based on an older version.
func (v *versionStore) checkComplete(head operator.Version) error {
	if adopted := v.adopted(); head.Version < adopted {
		return eris.Wrapf(operator.ErrPlatformUnavailable, "platform has lost configuration %d, its latest is %d", adopted, head.Version)
	}
	if left := v.restorations.GraceRemaining(); left > 0 {
		return eris.Wrapf(operator.ErrPlatformUnavailable, "platform was restored from a copy; retry in %s", left.Round(time.Millisecond))
	}
	return nil
}

// apply stores an edit as the next version. The document must be valid. It fails with
// *operator.Conflict, with operator.ErrPlatformUnavailable if this call has written nothing, or with
// operator.ErrResultUnknown if the edit may be in force.
func (v *versionStore) apply(ctx context.Context, e operator.Edit) (operator.Version, error) {
	head, row, err := v.head(ctx)
	if err != nil {
		return operator.Version{}, eris.Wrap(operator.ErrPlatformUnavailable, err.Error())
	}
	if err := v.checkComplete(head); err != nil {
		return operator.Version{}, err
	}
	if head.Version != e.ExpectedVersion {
		return v.resolveOutdated(ctx, e, head)
	}
	next := operator.Version{Version: head.Version + 1, EditID: e.EditID, At: v.now().UTC(), Document: &e.Document}
	txn, err := versionTxn(next, row.Revision())
	if err != nil {
		return operator.Version{}, err
	}
	maybeApplied := false
	for {
		_, err := v.tables.Commit(ctx, txn)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, platform.ErrConflict):
			return v.resolveConflict(ctx, e)
		case errors.Is(err, platform.ErrUnavailable) && !maybeApplied:
			return operator.Version{}, eris.Wrap(operator.ErrPlatformUnavailable, err.Error())
		}
		// The response was lost, so the edit may be in force. The same transaction is sent again:
		// its conditions let it take effect at most once, and if it already has, the conflict leads
		// to reading it back. Reading the head alone would not be enough, since the first attempt
		// may still be in transit.
		maybeApplied = true
		if !sleepWithJitter(ctx, applyRetryDelay) {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
	}
}

// resolveConflict reads the head after a failed condition to find out whose edit is in force. It
// retries failed reads until ctx ends.
func (v *versionStore) resolveConflict(ctx context.Context, e operator.Edit) (operator.Version, error) {
	for {
		head, _, err := v.head(ctx)
		if err == nil {
			return v.resolveOutdated(ctx, e, head)
		}
		if !sleepWithJitter(ctx, applyRetryDelay) {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
	}
}

// resolveOutdated decides an edit whose base version is no longer the latest: the edit has
// succeeded if the version after its base carries its edit ID, and conflicts otherwise.
func (v *versionStore) resolveOutdated(ctx context.Context, e operator.Edit, head operator.Version) (operator.Version, error) {
	if head.Version > e.ExpectedVersion {
		successor, err := v.read(ctx, e.ExpectedVersion+1)
		if err != nil {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
		if successor.EditID == e.EditID {
			return successor, nil
		}
	}
	return operator.Version{}, v.newConflict(ctx, e, head)
}

// newConflict returns an error that lists what others changed since the edit's base. If the
// platform fails meanwhile, the changes are omitted; the edit conflicts all the same.
func (v *versionStore) newConflict(ctx context.Context, e operator.Edit, head operator.Version) error {
	c := &operator.Conflict{Current: head}
	current, err := v.read(ctx, head.Version)
	if err != nil {
		return c
	}
	var base config.Document
	if e.ExpectedVersion > 0 {
		version, err := v.read(ctx, e.ExpectedVersion)
		if err != nil {
			return c
		}
		base = *version.Document
	}
	c.Changes = config.Diff(base, *current.Document)
	return c
}

// versionTxn returns the transaction that sets the head and adds the version's own row. Both are
// written together; otherwise a reader could find a head without its document.
func versionTxn(next operator.Version, headRow platform.Revision) (platform.Txn, error) {
	full, err := json.Marshal(next)
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode configuration")
	}
	next.Document = nil
	head, err := json.Marshal(next)
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode configuration head")
	}
	key := versionKey(next.Version)
	return platform.Txn{
		Conditions: []platform.Condition{
			{Table: configTable, Key: headKey, Version: headRow.Version, Era: headRow.Era},
			{Table: configTable, Key: key, Version: 0},
		},
		Writes: []platform.Write{
			{Table: configTable, Key: headKey, Value: head},
			{Table: configTable, Key: key, Value: full},
		},
	}, nil
}
