package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/routing"
)

// EngineReport is what an engine tells of itself, as of some hundred milliseconds ago.
type EngineReport struct {
	// Born is the Unix millisecond of the engine's start; 0 if it does not tell.
	Born int64
	// LeavesIn is the time until the engine stops; 0 if it does not know.
	LeavesIn time.Duration
	Runs     []EngineRun
}

// EngineRun is a run on an engine, of any node.
type EngineRun struct {
	ID     string
	Tokens int
	Events int
}

// Runs of an engine that leaves are moved one after another: their copies share the
// engine's link, and copies that are made at the same time all end late, or too late.
// Each node asks the engine once for its runs and works out the same order, so that the
// nodes need not agree on it.
const (
	// defaultNotice is the time that an engine has left if it does not tell: the
	// shortest notice of engines that are reclaimed.
	defaultNotice = 1500 * time.Millisecond
	// reportTimeout bounds the question for the runs; without an answer runs are moved
	// as if they were alone.
	reportTimeout = 150 * time.Millisecond
	// orderLifetime is how long an order holds: longer than any notice.
	orderLifetime = 10 * time.Second
	// moveOverhead is the time of a move beside its copy: the last copy and the way of
	// three calls.
	moveOverhead = 25 * time.Millisecond
	// copySlack is for queues at targets and the few copies to other data centres, which
	// take twice as long. With 1.0 moves overlap, and of 200 streams 7 stall; from 1.3 on
	// the last runs of a full engine have no time left.
	copySlack      = 1.15
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// evacuationOrder returns for each run the time from now at which its move may begin.
// Small runs go first: with little time, more of them are saved.
func evacuationOrder(runs []EngineRun, spec *routing.EngineSpec) map[string]time.Duration {
	ordered := slices.Clone(runs)
	slices.SortFunc(ordered, func(a, b EngineRun) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	starts := make(map[string]time.Duration, len(ordered))
	at := time.Duration(0)
	for _, run := range ordered {
		starts[run.ID] = at
		at += copyTime(run.Tokens, spec) + moveOverhead
	}
	return starts
}

// copyTime is the time in which the memory of so many tokens passes an engine's link.
func copyTime(tokens int, spec *routing.EngineSpec) time.Duration {
	bits := float64(tokens) * spec.BytesPerToken * bitsPerByte
	seconds := bits / (max(spec.LinkMbps, 1) * bitsPerMegabit)
	return time.Duration(copySlack * seconds * float64(time.Second))
}

// evacuation is the departure of one engine.
type evacuation struct {
	ready chan struct{}
	// began is when the first run asked for the order.
	began time.Time
	// leavesAt is when the engine stops; starts when the move of each run may begin.
	leavesAt time.Time
	starts   map[string]time.Time
}

// evacuations are the departures under way, by endpoint.
type evacuations struct {
	mu  sync.Mutex
	all map[fleet.Incarnation]*evacuation
}

// maxEvacuations bounds the remembered departures; a node's runs leave few at a time.
const maxEvacuations = 64

// evacuation returns the order in which the runs of the leaving endpoint move.
func (l *Relay) evacuation(ctx context.Context, p *fleet.Placement, spec *routing.EngineSpec) *evacuation {
	id := p.Instance().Incarnation()
	l.departures.mu.Lock()
	e, known := l.departures.all[id]
	if known && time.Since(e.began) > orderLifetime {
		// The endpoint has stayed after all, and leaves again.
		known = false
	}
	if !known {
		if l.departures.all == nil || len(l.departures.all) >= maxEvacuations {
			l.departures.all = make(map[fleet.Incarnation]*evacuation)
		}
		e = &evacuation{ready: make(chan struct{}), began: time.Now()}
		l.departures.all[id] = e
	}
	l.departures.mu.Unlock()
	if !known {
		l.planEvacuation(e, p, spec)
		close(e.ready)
	}
	select {
	case <-e.ready:
	case <-ctx.Done():
	}
	return e
}

func (l *Relay) planEvacuation(e *evacuation, p *fleet.Placement, spec *routing.EngineSpec) {
	notice := time.Now().Add(-p.Departure().Since)
	e.leavesAt = notice.Add(defaultNotice)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := l.Mover.Report(ctx, p.Instance().Address)
	if err != nil {
		metrics.Count("report_failed")
		l.Log.Warn("runs of a leaving endpoint not known", zap.String("endpoint", p.Instance().ID), zap.Error(err))
		return
	}
	if born := p.Instance().Born; report.Born != 0 && report.Born != born {
		metrics.Count("report_of_another_start")
		l.Log.Warn("leaving endpoint has started again, its runs are lost", zap.String("endpoint", p.Instance().ID),
			zap.Int64("born", born), zap.Int64("reported_born", report.Born))
		return
	}
	if report.LeavesIn > 0 {
		e.leavesAt = time.Now().Add(report.LeavesIn)
	}
	e.starts = make(map[string]time.Time, len(report.Runs))
	now := time.Now()
	for id, after := range evacuationOrder(report.Runs, spec) {
		e.starts[id] = now.Add(after)
	}
	l.Log.Info("endpoint is evacuated", zap.String("endpoint", p.Instance().ID), zap.Int("runs", len(report.Runs)),
		zap.Duration("leaves_in", report.LeavesIn), zap.Duration("since_notice", now.Sub(notice)))
}
