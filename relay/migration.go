package relay

import (
	"cmp"
	"context"
	"math"
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
// engine's link, and those that are made at the same time all end late, or too late. Each
// node asks the engine once for its runs, works out the same order, and tells the others
// when it is done with one.
const (
	// reportTimeout bounds the question for the runs; without an answer runs are moved
	// as if they were alone.
	reportTimeout = 150 * time.Millisecond
	// orderLifetime is how long an order holds: longer than any notice.
	orderLifetime = 10 * time.Second
	// moveOverhead is the time of a move beside its copy: three calls, and the way of the
	// news that it is done.
	moveOverhead = 25 * time.Millisecond
	// turnSlack is by how much a run may take longer than expected before the next one
	// no longer waits for it: its copy may go to another data centre, which takes twice
	// as long, or its node may be gone.
	turnSlack = 2.2
)

// migrationOrder returns the runs in the order in which they move. Small runs go first:
// with little time, more of them are saved. Nodes ask at slightly different moments, and
// must find the same order all the same, so a run counts by its prompt, which does not grow.
// A prompt that is still being read comes last.
func migrationOrder(runs []EngineRun, spec *routing.EngineSpec) []EngineRun {
	ordered := slices.Clone(runs)
	size := func(r EngineRun) int {
		if r.Events == 0 {
			return math.MaxInt
		}
		return r.Tokens - r.Events*spec.TokensPerEvent
	}
	slices.SortFunc(ordered, func(a, b EngineRun) int {
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// moveTime is the time in which a run of so many tokens is expected to move.
func moveTime(tokens int, spec *routing.EngineSpec) time.Duration {
	return spec.CopyTime(tokens) + moveOverhead
}

// migration is the departure of one engine.
type migration struct {
	ready chan struct{}
	// began is when the first run asked for the order.
	began time.Time
	// order holds the engine's runs in the order in which they move; spec is the engine's.
	order  []EngineRun
	spec   *routing.EngineSpec
	engine fleet.EndpointKey
}

// ahead returns the runs that move before the given one; all for a run that the engine
// did not name.
func (e *migration) ahead(runID string) []EngineRun {
	for i, run := range e.order {
		if run.ID == runID {
			return e.order[:i]
		}
	}
	return e.order
}

// migrations are the departures under way, by endpoint.
type migrations struct {
	mu  sync.Mutex
	all map[fleet.Incarnation]*migration
}

// maxMigrations bounds the remembered departures; a node's runs leave few at a time.
const maxMigrations = 64

// migration returns the order in which the runs of the leaving endpoint move.
func (l *Relay) migration(ctx context.Context, p *fleet.Placement, spec *routing.EngineSpec) *migration {
	id := p.Instance().Incarnation()
	l.departures.mu.Lock()
	e, known := l.departures.all[id]
	if known && time.Since(e.began) > orderLifetime {
		// The endpoint has stayed after all, and leaves again.
		known = false
	}
	if !known {
		if l.departures.all == nil || len(l.departures.all) >= maxMigrations {
			l.departures.all = make(map[fleet.Incarnation]*migration)
		}
		e = &migration{ready: make(chan struct{}), began: time.Now()}
		l.departures.all[id] = e
	}
	l.departures.mu.Unlock()
	if !known {
		l.planMigration(e, p, spec)
		close(e.ready)
	}
	select {
	case <-e.ready:
	case <-ctx.Done():
	}
	return e
}

func (l *Relay) planMigration(e *migration, p *fleet.Placement, spec *routing.EngineSpec) {
	e.spec = spec
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := l.Mover.Report(ctx, p.Instance().Address)
	if err != nil {
		metrics.Count("report_failed")
		l.Log.Warn("runs of a leaving endpoint not known", zap.String("endpoint", p.Instance().ID), zap.Error(err))
		return
	}
	if born := p.Instance().StartedAtMS; report.Born != 0 && report.Born != born {
		metrics.Count("report_of_another_start")
		l.Log.Warn("leaving endpoint has started again, its runs are lost", zap.String("endpoint", p.Instance().ID),
			zap.Int64("born", born), zap.Int64("reported_born", report.Born))
		return
	}
	e.order = migrationOrder(report.Runs, spec)
	e.engine = p.Instance().Incarnation().Key()
	l.Vacated.endedAmong(e.order, e.engine)
	l.Log.Info("runs of a leaving endpoint migrate", zap.String("endpoint", p.Instance().ID), zap.Int("runs", len(report.Runs)),
		zap.Duration("leaves_in", report.LeavesIn), zap.Duration("since_notice", p.Departure().Since))
}

// awaitTurn waits until the runs before the given one have moved, or have had their time.
func (l *Relay) awaitTurn(ctx context.Context, e *migration, runID string) {
	if l.Fleet.Disabled[fleet.MoveTurns] {
		return
	}
	since := time.Now()
	pending := math.MaxInt
	for ctx.Err() == nil {
		changed := l.Vacated.changes()
		var left time.Duration
		count := 0
		for _, run := range e.ahead(runID) {
			if !l.Vacated.has(runKey(run.ID, e.engine)) {
				count++
				left += moveTime(run.Tokens, e.spec)
			}
		}
		if count == 0 {
			return
		}
		if count < pending {
			pending, since = count, time.Now()
		}
		wait := time.Until(since.Add(time.Duration(turnSlack * float64(left))))
		if wait <= 0 {
			metrics.Count("move_turn_overdue")
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
