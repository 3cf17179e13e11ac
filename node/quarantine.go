package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/quarantine"
)

// tableQuarantine is the store's table of quarantined prompt parts. The nodes know them from each
// other; the rows let them survive the restart of all nodes. An operator ends a quarantine by removing
// its row.
const tableQuarantine = "quarantine"

const (
	// quarantineInterval is the interval at which the rows are compared with what is known, in addition
	// to each change; quarantineStartInterval that at which a node that starts tries to read them.
	quarantineInterval      = time.Second
	quarantineStartInterval = 10 * time.Millisecond
	// quarantineStagger is the time by which each further node, in the order of their addresses, waits
	// longer before it writes a row that is still missing.
	quarantineStagger = 300 * time.Millisecond
	// quarantineRetry is the pause after a failed call, quarantineStartRetry that of a node that starts.
	quarantineRetry      = time.Second
	quarantineStartRetry = 100 * time.Millisecond
	quarantineTimeout    = time.Second
	// quarantineCheckInterval is the interval at which one node checks whether an operator has removed
	// rows.
	quarantineCheckInterval = 10 * time.Second
	// maxQuarantineRows bounds the rows in the store.
	maxQuarantineRows = 256
	// quarantineLoadTimeout is the time from which a node that knows the configuration serves although
	// it could not learn the quarantined parts.
	quarantineLoadTimeout = 2 * time.Second
)

// quarantineRow is the content of a row.
type quarantineRow struct {
	Parts   []string `json:"parts"`
	Crashes int      `json:"crashes"`
}

// quarantineRows keeps the rows of the store up to date. Only the goroutine of keepQuarantine uses it,
// apart from known and changed.
type quarantineRows struct {
	// known is set once this node has learnt of all quarantines.
	known atomic.Bool
	// changed is signalled when a verdict has changed.
	changed chan struct{}
	// since is when each verdict without a row was seen first, stored holds the keys of rows that the
	// store is known to have.
	since  map[string]time.Duration
	stored map[string]bool
	// era is the era of the store in which the rows were written, nextCall when it may be called again,
	// and checkAt when the rows are to be read again.
	era               int64
	nextCall, checkAt time.Duration
}

func newQuarantineRows() *quarantineRows {
	return &quarantineRows{stored: make(map[string]bool), changed: make(chan struct{}, 1)}
}

// wait returns after the interval, or when a verdict has changed.
func (r *quarantineRows) wait(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.changed:
	}
}

// newQuarantine returns the tracker of this node.
func (n *Node) newQuarantine() *quarantine.Tracker {
	t := quarantine.New(boottime.Now)
	t.Broadcast = n.gossip.AnnounceAllUrgent
	t.OnEvent = n.logQuarantineEvent
	t.MayProbe = n.probesQuarantine
	t.OnChange = func() { n.relay.Claims.Notify() }
	metrics.GaugeFunc("quarantined_parts", func() any { return n.quarantineGauge() })
	return t
}

func (n *Node) quarantineGauge() []string {
	keys := []string{}
	for _, v := range n.relay.Quarantine.Verdicts() {
		keys = append(keys, v.Key())
	}
	return keys
}

func (n *Node) logQuarantineEvent(e quarantine.Event) {
	metrics.Count("quarantine_" + string(e.Change))
	source := e.Source
	if source == "" {
		source = n.settings.IP
	}
	n.log.Warn("prompt parts "+string(e.Change), zap.Strings("parts", quarantine.Strings(e.Parts)), zap.Int("crashes", e.Crashes),
		zap.String("source", source))
	select {
	case n.quarantineRows.changed <- struct{}{}:
	default:
	}
}

// probesQuarantine reports whether this node is the one that probes quarantined parts: the ready node
// with the lowest address.
func (n *Node) probesQuarantine() bool {
	if !n.ready() {
		return false
	}
	for _, p := range n.gossip.Live() {
		if p.Ready && !p.Leaving && p.Address < n.settings.IP {
			return false
		}
	}
	return true
}

// keepQuarantine learns the quarantines at the start and keeps their rows in the store.
func (n *Node) keepQuarantine(ctx context.Context) error {
	rows := n.quarantineRows
	for ctx.Err() == nil {
		interval, retryAfter := quarantineStartInterval, quarantineStartRetry
		if rows.known.Load() {
			interval, retryAfter = quarantineInterval, quarantineRetry
		}
		rows.wait(ctx, interval)
		if era := n.restorations.Era(); era != rows.era {
			rows.era = era
			clear(rows.stored)
			n.relay.Quarantine.MarkNoneStored()
		}
		now := boottime.Now()
		if now < rows.nextCall {
			continue
		}
		if err := n.updateQuarantineRows(ctx, now); err != nil {
			metrics.Count("quarantine_store_failed")
			n.log.Info("quarantine not read from or written to the store", zap.Error(err))
			rows.nextCall = boottime.Now() + jitter(retryAfter)
		}
	}
	return nil
}

func (n *Node) updateQuarantineRows(ctx context.Context, now time.Duration) error {
	if !n.quarantineRows.known.Load() {
		return n.loadQuarantine(ctx)
	}
	if err := n.removeQuarantineRows(ctx); err != nil {
		return err
	}
	if err := n.writeQuarantineRows(ctx, now); err != nil {
		return err
	}
	return n.checkQuarantineRows(ctx, now)
}

// loadQuarantine reads the rows at the start of a node that reads the store itself.
func (n *Node) loadQuarantine(ctx context.Context) error {
	if n.storeLink() != exchangev1.StoreLink_STORE_LINK_READS {
		return nil
	}
	listing, err := n.listQuarantine(ctx)
	if err != nil {
		return err
	}
	var verdicts []quarantine.Verdict
	for _, row := range listing.Rows {
		v, err := readQuarantineRow(row)
		if err != nil {
			n.log.Warn("row of a quarantine not understood", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		verdicts = append(verdicts, v)
	}
	n.relay.Quarantine.Merge("store", quarantine.Report{Verdicts: verdicts})
	n.quarantineRows.known.Store(true)
	n.log.Info("quarantine read", zap.Int("count", len(verdicts)))
	return nil
}

func (n *Node) listQuarantine(ctx context.Context) (platform.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	return n.store.List(ctx, tableQuarantine)
}

func readQuarantineRow(row platform.Row) (quarantine.Verdict, error) {
	var r quarantineRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return quarantine.Verdict{}, eris.Wrap(err, "decode")
	}
	v := quarantine.Verdict{Crashes: r.Crashes, RefusedAge: -1, Stored: true}
	for _, text := range r.Parts {
		p, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return quarantine.Verdict{}, eris.Wrapf(err, "part %q", text)
		}
		v.Parts = append(v.Parts, quarantine.Part(p))
	}
	if len(v.Parts) == 0 || v.Key() != row.Key {
		return quarantine.Verdict{}, eris.Errorf("parts %v do not match the key", r.Parts)
	}
	return v, nil
}

// removeQuarantineRows removes the rows of quarantines that have ended because a run survived. Those of
// quarantines that have expired stay: a node that hears nobody must not remove the row of one that others
// keep.
func (n *Node) removeQuarantineRows(ctx context.Context) error {
	rows := n.quarantineRows
	for _, key := range n.relay.Quarantine.Expire() {
		delete(rows.stored, key)
	}
	verdicts := n.relay.Quarantine.Verdicts()
	for _, v := range verdicts {
		if v.Stored {
			rows.stored[v.Key()] = true
		}
	}
	for key := range rows.stored {
		if slices.ContainsFunc(verdicts, func(v quarantine.Verdict) bool { return v.Key() == key }) {
			continue
		}
		if n.addressRank() == 0 {
			if err := n.commitQuarantine(ctx, platform.Write{Key: key, Delete: true}); err != nil {
				return err
			}
		}
		delete(rows.stored, key)
	}
	return nil
}

// writeQuarantineRows writes the rows of quarantines that the store lacks.
func (n *Node) writeQuarantineRows(ctx context.Context, now time.Duration) error {
	rows := n.quarantineRows
	missing := make(map[string]time.Duration)
	for _, v := range n.relay.Quarantine.Verdicts() {
		if v.Stored {
			continue
		}
		since, seen := rows.since[v.Key()]
		if !seen {
			since = now
		}
		missing[v.Key()] = since
		if now-since < time.Duration(n.addressRank())*quarantineStagger {
			continue
		}
		data, err := json.Marshal(quarantineRow{Parts: quarantine.Strings(v.Parts), Crashes: v.Crashes})
		if err != nil {
			return eris.Wrap(err, "encode")
		}
		if err := n.commitQuarantine(ctx, platform.Write{Key: v.Key(), Value: data}); err != nil {
			return err
		}
		n.relay.Quarantine.MarkStored(v.Key())
	}
	rows.since = missing
	return nil
}

func (n *Node) commitQuarantine(ctx context.Context, w platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	w.Table = tableQuarantine
	_, err := n.store.Commit(ctx, platform.Txn{Writes: []platform.Write{w}})
	n.log.Info("row of a quarantine written", zap.String("key", w.Key), zap.Bool("removed", w.Delete), zap.Error(err))
	return err
}

// checkQuarantineRows ends quarantines whose rows an operator has removed.
func (n *Node) checkQuarantineRows(ctx context.Context, now time.Duration) error {
	rows := n.quarantineRows
	if now < rows.checkAt || len(rows.stored) == 0 || n.addressRank() != 0 {
		return nil
	}
	rows.checkAt = now + quarantineCheckInterval
	listing, err := n.listQuarantine(ctx)
	if err != nil || listing.Era != rows.era {
		return err
	}
	if err := n.pruneQuarantineRows(ctx, listing.Rows); err != nil {
		return err
	}
	for key := range rows.stored {
		if slices.ContainsFunc(listing.Rows, func(row platform.Row) bool { return row.Key == key }) {
			continue
		}
		n.log.Warn("quarantine ended: its row was removed", zap.String("key", key))
		n.relay.Quarantine.Release(key)
		delete(rows.stored, key)
	}
	return nil
}

// pruneQuarantineRows removes the oldest of the rows beyond maxQuarantineRows whose quarantines this node
// does not have.
func (n *Node) pruneQuarantineRows(ctx context.Context, listed []platform.Row) error {
	excess := len(listed) - maxQuarantineRows
	byAge := slices.SortedFunc(slices.Values(listed), func(a, b platform.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range byAge {
		if excess <= 0 {
			return nil
		}
		if n.quarantineRows.stored[row.Key] {
			continue
		}
		if err := n.commitQuarantine(ctx, platform.Write{Key: row.Key, Delete: true}); err != nil {
			return err
		}
		excess--
	}
	return nil
}

// addressRank returns the number of live nodes with lower addresses.
func (n *Node) addressRank() int {
	rank := 0
	for _, p := range n.gossip.Live() {
		if p.Address < n.settings.IP {
			rank++
		}
	}
	return rank
}

// quarantineKnown reports whether this node may serve as far as quarantines are concerned.
func (n *Node) quarantineKnown() bool {
	if n.quarantineRows.known.Load() {
		return true
	}
	since := n.configKnownSince.Load()
	if since == 0 || boottime.Now()-time.Duration(since) < quarantineLoadTimeout {
		return false
	}
	if n.quarantineRows.known.CompareAndSwap(false, true) {
		metrics.Count("quarantine_not_known")
		n.log.Warn("node serves without knowing the quarantined prompt parts")
	}
	return true
}

// quarantineReport adds what this node has observed of prompt parts to its state.
func (n *Node) quarantineReport(s *exchangev1.NodeState) {
	report := n.relay.Quarantine.Report()
	for _, c := range report.Crashes {
		s.PartCrashes = append(s.PartCrashes, &exchangev1.PartCrash{Endpoint: c.Endpoint, AgeMs: uint32(c.Age.Milliseconds()), Parts: quarantine.IDs(c.Parts)})
	}
	for _, v := range report.Survivals {
		s.PartSurvivals = append(s.PartSurvivals, &exchangev1.PartSurvival{Part: uint64(v.Part), AgeMs: uint32(v.Age.Milliseconds())})
	}
	s.Quarantines = encodeVerdicts(report.Verdicts)
}

func (n *Node) applyPeerQuarantine(s *exchangev1.NodeState) {
	report := quarantine.Report{Verdicts: readVerdicts(s.GetQuarantines())}
	for _, c := range s.GetPartCrashes() {
		report.Crashes = append(report.Crashes, quarantine.CrashReport{Endpoint: c.GetEndpoint(), Age: millis(uint64(c.GetAgeMs())), Parts: quarantine.PartsOf(c.GetParts())})
	}
	for _, v := range s.GetPartSurvivals() {
		report.Survivals = append(report.Survivals, quarantine.Survival{Part: quarantine.Part(v.GetPart()), Age: millis(uint64(v.GetAgeMs()))})
	}
	n.relay.Quarantine.Merge(s.GetAddress(), report)
}

func encodeVerdicts(verdicts []quarantine.Verdict) []*exchangev1.Quarantine {
	var encoded []*exchangev1.Quarantine
	for _, v := range verdicts {
		m := &exchangev1.Quarantine{
			Parts: quarantine.IDs(v.Parts), Crashes: uint32(v.Crashes), CrashAgeMs: uint64(max(v.CrashAge.Milliseconds(), 0)), Stored: v.Stored,
		}
		if v.RefusedAge >= 0 {
			age := uint64(v.RefusedAge.Milliseconds())
			m.RefusedAgeMs = &age
		}
		encoded = append(encoded, m)
	}
	return encoded
}

func readVerdicts(encoded []*exchangev1.Quarantine) []quarantine.Verdict {
	var verdicts []quarantine.Verdict
	for _, m := range encoded {
		v := quarantine.Verdict{
			Parts: quarantine.PartsOf(m.GetParts()), Crashes: int(m.GetCrashes()), CrashAge: millis(m.GetCrashAgeMs()), RefusedAge: -1, Stored: m.GetStored(),
		}
		if m.RefusedAgeMs != nil {
			v.RefusedAge = millis(m.GetRefusedAgeMs())
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}
