package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	configTable = "config"
	headKey     = "head"
	// versionPrefix begins the keys of the immutable rows, one for each version.
	versionPrefix = "version/"
	// applyRetryDelay is the wait between two attempts at one commit.
	applyRetryDelay = 100 * time.Millisecond
)

// versionStore keeps accepted configurations in the platform's table: one head row
// with the latest version, and one row for each version that is never changed.
type versionStore struct {
	tables platform.Tables
	now    func() time.Time
}

func versionKey(version uint64) string { return fmt.Sprintf("%s%012d", versionPrefix, version) }

// head reads the latest version without its document, and the row that holds it.
func (v *versionStore) head(ctx context.Context) (operator.Version, platform.Row, error) {
	row, err := v.tables.Get(ctx, configTable, headKey)
	if err != nil {
		return operator.Version{}, row, eris.Wrap(err, "read configuration head")
	}
	if row.Version == 0 {
		return operator.Version{}, row, nil
	}
	version, err := decodeVersion(row)
	return version, row, err
}

// read returns one version with its document.
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

// history returns the latest versions, newest first, without documents.
func (v *versionStore) history(ctx context.Context, limit int) ([]operator.Version, error) {
	head, _, err := v.head(ctx)
	if err != nil {
		return nil, err
	}
	after := ""
	if first := head.Version; first > uint64(limit) {
		after = versionKey(first - uint64(limit))
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

// apply stores an edit as the next version. The document must be valid.
func (v *versionStore) apply(ctx context.Context, e operator.Edit) (operator.Version, error) {
	head, row, err := v.head(ctx)
	if err != nil {
		return operator.Version{}, eris.Wrap(operator.ErrPlatformUnavailable, err.Error())
	}
	if head.Version != e.ExpectedVersion {
		return v.settled(ctx, e, head)
	}
	next := operator.Version{Version: head.Version + 1, EditID: e.EditID, At: v.now().UTC(), Document: &e.Document}
	txn, err := versionTxn(next, row.Version)
	if err != nil {
		return operator.Version{}, err
	}
	sent := false
	for {
		_, err := v.tables.Commit(ctx, txn)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, platform.ErrConflict):
			return v.readBack(ctx, e)
		case errors.Is(err, platform.ErrUnavailable) && !sent:
			return operator.Version{}, eris.Wrap(operator.ErrPlatformUnavailable, err.Error())
		}
		// The answer was lost, so the edit may be in force. The same transaction goes
		// out again: its conditions let it take effect once at most, and if it has
		// already, the conflict leads to reading it back. A bare look at the head
		// would not do, since the first attempt may still be on its way.
		sent = true
		if !sleep(ctx, applyRetryDelay) {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
	}
}

// readBack finds out whose edit is in force after a condition failed.
func (v *versionStore) readBack(ctx context.Context, e operator.Edit) (operator.Version, error) {
	for {
		head, _, err := v.head(ctx)
		if err == nil {
			return v.settled(ctx, e, head)
		}
		if !sleep(ctx, applyRetryDelay) {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
	}
}

// settled answers an edit whose base is no longer in force: it succeeded if the
// version after its base is this very edit, else it conflicts.
func (v *versionStore) settled(ctx context.Context, e operator.Edit, head operator.Version) (operator.Version, error) {
	if head.Version > e.ExpectedVersion {
		successor, err := v.read(ctx, e.ExpectedVersion+1)
		if err != nil {
			return operator.Version{}, eris.Wrap(operator.ErrResultUnknown, err.Error())
		}
		if successor.EditID == e.EditID {
			return successor, nil
		}
	}
	return operator.Version{}, v.conflict(ctx, e, head)
}

// conflict says what others changed since the edit's base. The changes are left
// out if the platform fails meanwhile; the conflict stands all the same.
func (v *versionStore) conflict(ctx context.Context, e operator.Edit, head operator.Version) error {
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

// versionTxn sets the head and adds the version's own row. Head and version row
// are written together, or a reader could find a head without its document.
func versionTxn(next operator.Version, headRow int64) (platform.Txn, error) {
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
			{Table: configTable, Key: headKey, Version: headRow},
			{Table: configTable, Key: key, Version: 0},
		},
		Writes: []platform.Write{
			{Table: configTable, Key: headKey, Value: head},
			{Table: configTable, Key: key, Value: full},
		},
	}, nil
}
