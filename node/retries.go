package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/retry"
)

// tableRetries is the store's table of the retries that the nodes have reserved, keyed by service.
const tableRetries = "retries"

// retryRow is the content of a row.
type retryRow struct {
	Reserved int64 `json:"reserved"`
}

// retryLedger is the ledger of retries in the platform's store.
type retryLedger struct{ store *platform.Store }

// Read implements retry.Ledger.
func (l retryLedger) Read(ctx context.Context, service string) (retry.Entry, error) {
	row, err := l.store.Get(ctx, tableRetries, service)
	if err != nil {
		return retry.Entry{}, err
	}
	entry := retry.Entry{Version: row.Version, Era: row.Era}
	if row.Version == 0 {
		return entry, nil
	}
	var content retryRow
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return retry.Entry{}, eris.Wrapf(err, "row %q of table %q", service, tableRetries)
	}
	entry.Count = content.Reserved
	return entry, nil
}

// Advance implements retry.Ledger.
func (l retryLedger) Advance(ctx context.Context, service string, known retry.Entry, count int64) (retry.Entry, error) {
	data, err := json.Marshal(retryRow{Reserved: count})
	if err != nil {
		return retry.Entry{}, err
	}
	revision, err := l.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: tableRetries, Key: service, Version: known.Version, Era: known.Era}},
		Writes:     []platform.Write{{Table: tableRetries, Key: service, Value: data}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return retry.Entry{}, retry.ErrChanged
	}
	if err != nil {
		return retry.Entry{}, err
	}
	return retry.Entry{Count: count, Version: revision.Version, Era: revision.Era}, nil
}

// newRetryBudgets returns the budgets of retries that this node shares with the others.
func (n *Node) newRetryBudgets() *retry.Shared {
	denials := &denialLog{logged: make(map[string]time.Duration)}
	s := &retry.Shared{
		Ratio:      n.settings.RetryRatio,
		Slack:      n.settings.RetrySlack,
		Length:     n.settings.RetryWindow,
		Now:        boottime.Now,
		Ledger:     retryLedger{n.store},
		Key:        func(service string) uint32 { return uint32(gossip.KeyOf(service)) },
		ReportSpan: n.gossip.FarLiveTime,
	}
	s.OnReservation = func(r retry.Reservation) { n.logReservation(r, denials) }
	metrics.GaugeFunc("retry_budgets", func() any { return s.States() })
	return s
}

// denialLogInterval is the minimum time between two log lines on denied retries of one service and
// reason.
const denialLogInterval = time.Second

// denialLog limits the log lines on denied retries.
type denialLog struct {
	mu     sync.Mutex
	logged map[string]time.Duration
}

func (d *denialLog) due(key string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, logged := d.logged[key]; logged && now-at < denialLogInterval {
		return false
	}
	d.logged[key] = now
	return true
}

// logReservation logs reserved retries, and the first denied one of each second.
func (n *Node) logReservation(r retry.Reservation, denials *denialLog) {
	event := "retries reserved"
	if r.Granted == 0 {
		event = "retry denied"
		metrics.Count("retry_denied_" + string(r.Denied))
		if !denials.due(r.Service+" "+string(r.Denied), boottime.Now()) {
			return
		}
	}
	n.log.Info(event, zap.String("service", r.Service), zap.Int("granted", r.Granted), zap.String("reason", string(r.Denied)),
		zap.Int64("reserved", r.Count), zap.Int64("settled", r.Settled), zap.Int64("attempts", r.Attempts), zap.Int("calls", r.Calls),
		zap.Duration("took", r.Took), zap.Duration("uptime", boottime.Now()-n.started))
}

// observeLedgerEra records the era of the store, by which nodes know whether the counts of the ledger are
// complete.
func (n *Node) observeLedgerEra() {
	if known, _ := n.config.Current(); known.Table != nil {
		n.relay.Budgets.ObserveEra(n.restorations.Era())
	}
}

// reportRetries adds to a state what this node knows of the budgets of retries.
func (n *Node) reportRetries(s *exchangev1.NodeState) {
	era, reports := n.relay.Budgets.Reports()
	if era.Known {
		number := uint64(era.Era)
		s.LedgerEra = &number
	}
	if era.Restored {
		age := uint64(max(era.RestoredAge, 0).Milliseconds())
		s.LedgerRestoredAgeMs = &age
	}
	for _, r := range reports {
		budget := &exchangev1.RetryBudget{Service: r.Key, Attempts: uint64(r.Attempts), RecentAttempts: r.Recent}
		if r.Count > 0 {
			budget.Reserved, budget.ReservedAgeMs = uint64(r.Count), uint64(max(r.CountAge, 0).Milliseconds())
			budget.ReservedVersion = uint64(r.Version)
		}
		if r.Settled > 0 {
			budget.Settled, budget.SettledAgeMs = uint64(r.Settled), uint64(max(r.SettledAge, 0).Milliseconds())
		}
		s.RetryBudgets = append(s.RetryBudgets, budget)
	}
}

// applyPeerRetries records what another node knows of the budgets of retries.
func (n *Node) applyPeerRetries(s *exchangev1.NodeState) {
	era := retry.EraReport{
		Era: int64(s.GetLedgerEra()), Known: s.LedgerEra != nil,
		Restored: s.LedgerRestoredAgeMs != nil, RestoredAge: millis(s.GetLedgerRestoredAgeMs()),
	}
	reports := make([]retry.Report, 0, len(s.GetRetryBudgets()))
	for _, b := range s.GetRetryBudgets() {
		reports = append(reports, retry.Report{
			Key: b.GetService(), Attempts: int64(b.GetAttempts()), Recent: b.GetRecentAttempts(),
			Count: int64(b.GetReserved()), CountAge: millis(b.GetReservedAgeMs()),
			Version: int64(b.GetReservedVersion()), Settled: int64(b.GetSettled()), SettledAge: millis(b.GetSettledAgeMs()),
		})
	}
	n.relay.Budgets.Merge(s.GetAddress(), s.GetIncarnation(), era, reports)
}
