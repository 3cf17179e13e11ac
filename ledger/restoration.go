package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
)

// The platform's store may be restored from a copy that lacks the latest records. Without them,
// another attempt could run work a second time. Each gateway therefore keeps its own records for as
// long as a copy may be old, writes them again after a restoration, and grants no claim until all
// gateways have had the time to do so. Records of a gateway that ended meanwhile, or that does not
// reach the store in that time, stay lost.

const (
	// maxCopyAge is the maximum age of the copy from which the store may be restored. It is several
	// times the age that the platform promises.
	maxCopyAge = time.Minute
	// maxKept bounds the number of records kept; further ones are not kept. maxKeptBytes bounds the
	// bytes of the results in them; further results are not kept.
	maxKept      = 1 << 15
	maxKeptBytes = 16 << 20
	// defaultWatchInterval is the interval at which a gateway with kept records reads the store, to
	// learn of a restoration well within the time in which claims are not granted.
	defaultWatchInterval = 500 * time.Millisecond
	// watchKey is the key of a row that never exists: it has no separator.
	watchKey = "!watch"
)

// keptRecord is a record that this gateway wrote, and the time of the write.
type keptRecord struct {
	key    Key
	record Record
	at     time.Time
}

// keptRecords holds the latest record of each key that this gateway has written recently.
type keptRecords struct {
	mu    sync.Mutex
	byKey map[Key]keptRecord
	bytes int
}

// keep stores a record that was written at the given time.
func (k *keptRecords) keep(key Key, rec Record, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeLocked(key)
	if len(k.byKey) >= maxKept {
		metrics.Count("ledger_record_not_kept")
		return
	}
	if rec.Result != nil && k.bytes+len(rec.Result.Body) > maxKeptBytes {
		metrics.Count("ledger_result_not_kept")
		rec.Result = nil
	}
	k.bytes += rec.bodyBytes()
	k.byKey[key] = keptRecord{key: key, record: rec, at: at}
}

// remove removes the record of a key that did not run.
func (k *keptRecords) remove(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeLocked(key)
}

func (k *keptRecords) removeLocked(key Key) {
	k.bytes -= k.byKey[key].record.bodyBytes()
	delete(k.byKey, key)
}

// list returns the kept records, without those that every copy of the store holds.
func (k *keptRecords) list(now time.Time) []keptRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	records := make([]keptRecord, 0, len(k.byKey))
	for key, kept := range k.byKey {
		if now.Sub(kept.at) > maxCopyAge {
			k.removeLocked(key)
			continue
		}
		records = append(records, kept)
	}
	return records
}

func (r Record) bodyBytes() int {
	if r.Result == nil {
		return 0
	}
	return len(r.Result.Body)
}

// observeEra records the era of an answer of the store, and writes the kept records again if the
// store was restored.
func (l *Ledger) observeEra(era int64) {
	if !l.restorations.Observe(era) {
		return
	}
	metrics.Count("ledger_store_restored")
	records := l.kept.list(l.opts.Now())
	if !l.pool.submit(func(ctx context.Context) { l.writeAllAgain(ctx, records) }) {
		metrics.Count("ledger_rewrite_dropped")
	}
}

// rewriteWriters is the number of records that are written again at a time.
const rewriteWriters = 16

func (l *Ledger) writeAllAgain(ctx context.Context, records []keptRecord) {
	queue := make(chan keptRecord)
	var writers sync.WaitGroup
	for range rewriteWriters {
		writers.Go(func() {
			for kept := range queue {
				l.writeAgain(ctx, kept)
			}
		})
	}
	for _, kept := range records {
		queue <- kept
	}
	close(queue)
	writers.Wait()
}

// writeAgain writes a record that the store may have lost. It replaces the record of an attempt that
// did not run, and an earlier state of the same attempt, but no other.
func (l *Ledger) writeAgain(ctx context.Context, kept keptRecord) {
	for try := range maxEndTries {
		err := l.tryWriteAgain(ctx, kept)
		if err == nil {
			return
		}
		if errors.Is(err, errClaimOverwritten) {
			metrics.Count("ledger_rewrite_conflict")
			return
		}
		if !l.backoff(ctx, try) {
			break
		}
	}
	metrics.Count("ledger_rewrite_given_up")
}

func (l *Ledger) tryWriteAgain(ctx context.Context, kept keptRecord) error {
	row, found, err := l.readRecord(ctx, kept.key)
	if err != nil {
		return err
	}
	switch {
	case found.AttemptID == kept.record.AttemptID && (found.State == kept.record.State || found.State != StateStarted):
		return nil
	case replaceable(row, found, kept.record.AttemptID):
	case found.State == StateStarted:
		return eris.Wrap(errRivalClaim, found.AttemptID)
	default:
		return errClaimOverwritten
	}
	if _, err = l.writeRecord(ctx, kept.key, row.Revision(), kept.record); err == nil {
		metrics.Count("ledger_rewritten")
	}
	return err
}

// errRivalClaim means that another attempt has claimed the key because the store had lost the record
// of this one. Its gateway withdraws the claim once it knows of the restoration.
var errRivalClaim = eris.New("ledger: another attempt claimed the key after a restoration")

// replaceable reports whether a record that was read after a restoration may be replaced by that of
// an attempt which claimed the key before.
func replaceable(row platform.Row, found Record, attemptID string) bool {
	return row.Version == 0 || found.State == StateNotRun || (found.AttemptID == attemptID && found.State == StateStarted)
}

// watch reads the store at each interval while there are kept records, until ctx ends. The answer
// shows whether the store was restored.
func (l *Ledger) watch(ctx context.Context) {
	ticker := time.NewTicker(l.opts.WatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(l.kept.list(l.opts.Now())) == 0 {
			continue
		}
		if row, err := l.tables.Get(ctx, table, watchKey); err == nil {
			l.observeEra(row.Era)
		}
	}
}
