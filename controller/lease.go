package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	leaseTable = "leases"
	// renewalsPerLease is the number of renewal attempts within one lease duration.
	renewalsPerLease = 3
	// skewMarginDivisor sets the extra time that a successor waits beyond the lease duration, as a
	// fraction (duration/skewMarginDivisor). It covers clocks that run at different rates.
	skewMarginDivisor = 4
	// fenceEraShift is the number of bits below the store's era in a fencing token. A copy of the store
	// holds an older token, so the era makes the next one higher than all tokens before.
	fenceEraShift = 32
)

// leaseRow is the stored form of the lease. The lease is free if Holder is empty.
type leaseRow struct {
	Holder string `json:"holder"`
	// Process distinguishes processes with the same VM ID.
	Process string `json:"process"`
	Fence   uint64 `json:"fence"`
	// Unloads are the announced unload orders that may still take effect.
	Unloads []unloadIntent `json:"unloads,omitempty"`
}

// unloadIntent is an unload order that is stored before it is sent. An order of a holder that was
// paused may reach an engine long after another process has acquired the lease, and an engine that
// ignores fencing tokens carries it out. The successor finds the intent in the row and does not
// count that engine's copy.
type unloadIntent struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	Fence    uint64 `json:"fence"`
}

// lease is the exclusive right to send orders to the engines of one region. Clocks are never
// compared between VMs: the holder measures the lease from before it wrote the row, and other
// processes measure from when they last saw the row change, so a successor always waits longer than
// the holder may act.
type lease struct {
	tables   platform.Tables
	log      *zap.Logger
	now      func() time.Time
	region   string
	vmID     string
	process  string
	duration time.Duration

	// writeMu serialises writes of the row. It is locked before mu.
	writeMu sync.Mutex

	mu sync.Mutex
	// row and revision are as last read or written; they are valid if known is set.
	row      leaseRow
	revision platform.Revision
	known    bool
	// seenAt is when the row was first seen with revision.
	seenAt time.Time
	// restored is set if the row comes from a copy of the store that may be older than the last write of
	// the lease. Whoever it names, another process may hold the lease.
	restored bool
	// highestFence is the highest fencing token seen.
	highestFence uint64
	// expiresAt is when the lease expires by the clock of this process; zero if the lease is not
	// held.
	expiresAt time.Time
}

func newLease(c *Controller) *lease {
	s := c.opts.Settings
	return &lease{
		tables: c.opts.Platform, log: c.log, now: c.now, region: s.VM.Region, vmID: s.VM.ID,
		process: uuid.NewString(), duration: time.Duration(s.LeaseMS) * time.Millisecond,
	}
}

func (l *lease) key() string { return "orders-" + l.region }

// remaining returns a lower bound of the time for which this process still holds the lease, and the
// fencing token. Callers must call it immediately before each order.
//
// The monotonic clock does not advance while the whole VM is paused, and the wall clock may be set
// back, so the smaller of the two remaining times is returned.
func (l *lease) remaining() (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	monotonic, wall := l.expiresAt.Sub(now), l.expiresAt.Round(0).Sub(now.Round(0))
	return min(monotonic, wall), l.row.Fence
}

func (l *lease) held() bool {
	left, _ := l.remaining()
	return left > 0
}

// isHolder reports whether the last known row names this process as the holder. The caller holds
// mu.
func (l *lease) isHolder() bool { return l.row.Holder == l.vmID && l.row.Process == l.process }

// renewOrAcquire renews the lease if this process holds it. Otherwise, if mayAcquire is set, it
// acquires the lease once it is free or has expired.
func (l *lease) renewOrAcquire(ctx context.Context, mayAcquire bool) {
	l.mu.Lock()
	renew := l.known && l.isHolder() && !l.restored
	l.mu.Unlock()
	if renew {
		l.writeRow(ctx, func(*leaseRow) {})
		return
	}
	if mayAcquire && l.readRow(ctx) && l.acquirable() {
		l.writeRow(ctx, func(row *leaseRow) {
			row.Holder, row.Process, row.Fence = l.vmID, l.process, l.nextFence(row.Fence)
		})
	}
}

// nextFence returns a fencing token that is higher than any that was used before.
func (l *lease) nextFence(stored uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(stored, l.highestFence, uint64(l.revision.Era)<<fenceEraShift) + 1
}

// storeIntent adds an intent to the row and reports whether it is certainly stored. A successful
// write also shows that no other process has acquired the lease so far.
func (l *lease) storeIntent(ctx context.Context, intent unloadIntent) bool {
	return l.writeRow(ctx, func(row *leaseRow) {
		if !slices.Contains(row.Unloads, intent) {
			row.Unloads = append(slices.Clone(row.Unloads), intent)
		}
	})
}

// removeIntent removes an intent from the local row; the next renewal writes the change to the
// store.
func (l *lease) removeIntent(intent unloadIntent) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row.Unloads = slices.DeleteFunc(slices.Clone(l.row.Unloads), func(u unloadIntent) bool { return u == intent })
}

// unloadIntents returns the announced unloads, including those of former holders.
func (l *lease) unloadIntents() []unloadIntent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Unloads
}

// readRow reads the row and records when it changed. It returns false if the row cannot be read or
// decoded.
func (l *lease) readRow(ctx context.Context) bool {
	row, err := l.tables.Get(ctx, leaseTable, l.key())
	if err != nil {
		metrics.Count("lease_read_failed")
		return false
	}
	var stored leaseRow
	if row.Version > 0 && json.Unmarshal(row.Value, &stored) != nil {
		l.log.Error("lease row cannot be decoded", zap.String("key", row.Key))
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || row.Revision() != l.revision {
		l.seenAt = l.now()
	}
	if l.revision.Version > 0 && row.Era > l.revision.Era {
		l.restored = !l.expiresAt.After(l.now())
		metrics.Count("lease_store_restored")
		l.log.Warn("store was restored from a copy; the lease row may be older than the lease", zap.String("region", l.region),
			zap.Int64("era", row.Era), zap.String("holder", stored.Holder), zap.Uint64("fence", stored.Fence),
			zap.Uint64("highest_fence", l.highestFence), zap.Bool("held_here", !l.restored))
	}
	l.known, l.row, l.revision = true, stored, row.Revision()
	l.highestFence = max(l.highestFence, stored.Fence)
	if !l.isHolder() {
		l.expiresAt = time.Time{}
	}
	return true
}

// acquirable reports whether this process may acquire the lease: it is free, the row names this
// process, or the former holder's lease has certainly expired. A row that comes from a copy of the
// store shows neither of the first two.
func (l *lease) acquirable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := l.now().Sub(l.seenAt) > l.duration+l.duration/skewMarginDivisor
	return expired || (!l.restored && (l.row.Holder == "" || l.isHolder()))
}

// writeRow applies change to the row and stores it, on condition that the stored row is still the
// one last seen. The lease is measured from before the write, since others may see the row before
// the response arrives. It reports whether the row is certainly stored.
func (l *lease) writeRow(ctx context.Context, change func(*leaseRow)) bool {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	row, base := l.row, l.revision
	l.mu.Unlock()
	change(&row)
	value, err := json.Marshal(row)
	if err != nil {
		panic("controller: lease row cannot be encoded: " + err.Error())
	}
	writeStart := l.now()
	written, err := l.tables.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: leaseTable, Key: l.key(), Version: base.Version, Era: base.Era}},
		Writes:     []platform.Write{{Table: leaseTable, Key: l.key(), Value: value}},
	})
	switch {
	case err == nil:
		l.recordWrite(row, written, writeStart)
		return true
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
		// Either another process holds the lease, or an earlier write of this process took effect
		// although its response was lost. Reading the row resolves this: if it names this process,
		// the next renewOrAcquire writes it again and measures the lease from that write.
		l.readRow(ctx)
	default:
		metrics.Count("lease_write_failed")
	}
	return false
}

// recordWrite records a stored row. writeStart is the time at which its write began.
func (l *lease) recordWrite(row leaseRow, revision platform.Revision, writeStart time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Fence != l.row.Fence || !l.isHolder() {
		metrics.Count("lease_taken")
		l.log.Info("lease acquired", zap.String("region", l.region), zap.Uint64("fence", row.Fence))
	}
	l.row, l.revision, l.known, l.seenAt, l.restored = row, revision, true, writeStart, false
	l.highestFence = max(l.highestFence, row.Fence)
	l.expiresAt = writeStart.Add(l.duration)
	if row.Holder == "" {
		l.expiresAt = time.Time{}
	}
}

// abandon gives up the lease in this process without writing the row. It is called when an engine
// has seen a higher fencing token, which means that another process holds the lease.
func (l *lease) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt, l.known = time.Time{}, false
	l.row = leaseRow{}
}

// release frees the lease in the store, so that a successor does not have to wait for it to expire.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	holder := l.known && l.isHolder()
	l.expiresAt = time.Time{}
	l.mu.Unlock()
	if holder {
		l.writeRow(ctx, func(row *leaseRow) { row.Holder, row.Process = "", "" })
	}
}

func (l *lease) status() operator.LeaseStatus {
	held := l.held()
	l.mu.Lock()
	defer l.mu.Unlock()
	return operator.LeaseStatus{Region: l.region, Holder: l.row.Holder, Fence: l.row.Fence, HeldHere: held}
}
