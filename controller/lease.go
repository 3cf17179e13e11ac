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
	// renewals is the number of renewals in one length of the lease.
	renewals = 3
	// skewShare is the part of the length that a successor waits on top, for clocks
	// that run at different rates.
	skewShare = 4
)

// leaseRow is the stored lease. A row whose holder is empty is free.
type leaseRow struct {
	Holder string `json:"holder"`
	// Process tells apart processes with the same VM ID.
	Process string `json:"process"`
	Fence   uint64 `json:"fence"`
	// Unloads are orders to unload that may still take effect.
	Unloads []unloadIntent `json:"unloads,omitempty"`
}

// unloadIntent is an order to unload that was announced before it went out. An
// order of a holder that was paused may reach an engine long after another has
// taken the lease; if the engine ignores fencing numbers, it obeys. The successor
// finds the announcement in the row and does not count on that copy.
type unloadIntent struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	Fence    uint64 `json:"fence"`
}

// lease is the right to give orders in one region. No clock is compared between
// VMs: the holder counts from before it wrote the row, and others count from when
// they saw the row change last, so a successor always waits longer.
type lease struct {
	tables  platform.Tables
	log     *zap.Logger
	now     func() time.Time
	region  string
	vm      string
	process string
	length  time.Duration

	// writing lets one write go on at a time; it is taken before mu.
	writing sync.Mutex

	mu sync.Mutex
	// row and rowVersion are as last read or written.
	row        leaseRow
	rowVersion int64
	known      bool
	// seenAt is when the row was first seen with this version.
	seenAt time.Time
	// until is when the lease ends by this process's clock; zero if not held.
	until time.Time
}

func newLease(c *Controller) *lease {
	s := c.opts.Settings
	return &lease{
		tables: c.opts.Platform, log: c.log, now: c.now, region: s.VM.Region, vm: s.VM.ID,
		process: uuid.NewString(), length: time.Duration(s.LeaseMS) * time.Millisecond,
	}
}

func (l *lease) key() string { return "orders-" + l.region }

// remaining returns for how long the lease is held at least, by this process's own
// clocks, and its fencing number. It must be asked right before each order.
//
// The monotonic clock stands still while a whole VM is paused, and the wall clock
// may be set back. Whichever of the two leaves less time counts.
func (l *lease) remaining() (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	monotonic, wall := l.until.Sub(now), l.until.Round(0).Sub(now.Round(0))
	return min(monotonic, wall), l.row.Fence
}

func (l *lease) held() bool {
	left, _ := l.remaining()
	return left > 0
}

func (l *lease) mine() bool { return l.row.Holder == l.vm && l.row.Process == l.process }

// step renews the lease if this process has it, and otherwise, if it may, takes it
// when its time is over.
func (l *lease) step(ctx context.Context, mayTake bool) {
	l.mu.Lock()
	renew := l.known && l.mine()
	l.mu.Unlock()
	if renew {
		l.write(ctx, func(*leaseRow) {})
		return
	}
	if mayTake && l.look(ctx) && l.free() {
		l.write(ctx, func(row *leaseRow) {
			row.Holder, row.Process, row.Fence = l.vm, l.process, row.Fence+1
		})
	}
}

// announce adds an intent to the row and reports whether that is certain. The
// write also shows that nobody else has taken the lease up to now.
func (l *lease) announce(ctx context.Context, intent unloadIntent) bool {
	return l.write(ctx, func(row *leaseRow) {
		if !slices.Contains(row.Unloads, intent) {
			row.Unloads = append(slices.Clone(row.Unloads), intent)
		}
	})
}

// settle takes an intent out of the row with the next renewal.
func (l *lease) settle(intent unloadIntent) {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row.Unloads = slices.DeleteFunc(slices.Clone(l.row.Unloads), func(u unloadIntent) bool { return u == intent })
}

// intents returns the announced unloads, those of former holders included.
func (l *lease) intents() []unloadIntent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Unloads
}

// look reads the row and notes when it changed.
func (l *lease) look(ctx context.Context) bool {
	row, err := l.tables.Get(ctx, leaseTable, l.key())
	if err != nil {
		metrics.Count("lease_read_failed")
		return false
	}
	var stored leaseRow
	if row.Version > 0 && json.Unmarshal(row.Value, &stored) != nil {
		l.log.Error("lease row malformed", zap.String("key", row.Key))
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || row.Version != l.rowVersion {
		l.seenAt = l.now()
	}
	l.known, l.row, l.rowVersion = true, stored, row.Version
	if !l.mine() {
		l.until = time.Time{}
	}
	return true
}

// free tells whether the holder's time is certainly over.
func (l *lease) free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := l.now().Sub(l.seenAt) > l.length+l.length/skewShare
	return over || l.row.Holder == "" || l.mine()
}

// write changes the row if it is as last seen. The time of the lease counts from
// before the write, since others may see the row before the answer comes back. It
// reports whether the row is certainly stored.
func (l *lease) write(ctx context.Context, change func(*leaseRow)) bool {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	row, version := l.row, l.rowVersion
	l.mu.Unlock()
	change(&row)
	value, err := json.Marshal(row)
	if err != nil {
		panic("controller: lease row cannot be encoded: " + err.Error())
	}
	before := l.now()
	written, err := l.tables.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: leaseTable, Key: l.key(), Version: version}},
		Writes:     []platform.Write{{Table: leaseTable, Key: l.key(), Value: value}},
	})
	switch {
	case err == nil:
		l.took(row, written, before)
		return true
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
		// Either another has the lease, or an earlier write of this process took
		// effect although its answer was lost. The row tells; if it is this
		// process's own, the next step writes again and counts from there.
		l.look(ctx)
	default:
		metrics.Count("lease_write_failed")
	}
	return false
}

func (l *lease) took(row leaseRow, version int64, before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Fence != l.row.Fence || !l.mine() {
		metrics.Count("lease_taken")
		l.log.Info("lease taken", zap.String("region", l.region), zap.Uint64("fence", row.Fence))
	}
	l.row, l.rowVersion, l.known, l.seenAt = row, version, true, before
	l.until = before.Add(l.length)
	if row.Holder == "" {
		l.until = time.Time{}
	}
}

// drop gives up the lease in this process: an engine has seen a higher fencing
// number, so another process holds it.
func (l *lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.known = time.Time{}, false
	l.row = leaseRow{}
}

// release frees the lease, so that a successor need not wait.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	mine := l.known && l.mine()
	l.until = time.Time{}
	l.mu.Unlock()
	if mine {
		l.write(ctx, func(row *leaseRow) { row.Holder, row.Process = "", "" })
	}
}

func (l *lease) status() operator.LeaseStatus {
	held := l.held()
	l.mu.Lock()
	defer l.mu.Unlock()
	return operator.LeaseStatus{Region: l.region, Holder: l.row.Holder, Fence: l.row.Fence, HeldHere: held}
}
