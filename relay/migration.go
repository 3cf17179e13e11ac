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

// EngineReport is an engine's report on itself. It is a few hundred milliseconds old.
type EngineReport struct {
	// StartedAtMS is the start time of the engine in Unix milliseconds, 0 if unknown.
	StartedAtMS int64
	// LeavesIn is the time until the engine stops, 0 if the engine does not know.
	LeavesIn time.Duration
	Runs     []EngineRun
}

// EngineRun is a run on an engine, started by any node.
type EngineRun struct {
	ID     string
	Tokens int
	Events int
}

// Runs of a leaving engine are moved one after another: their copies share the engine's link, and
// copies that are made concurrently all finish late, or too late. Each node asks the engine once
// for its runs, derives the same order from the answer, and notifies the other nodes when one of
// its runs has moved.
const (
	// reportTimeout limits the request for the engine's runs. Without an answer, each run is moved
	// as if it were the only one.
	reportTimeout = 150 * time.Millisecond
	// orderLifetime is how long an order is valid. It is longer than any notice period.
	orderLifetime = 10 * time.Second
	// moveOverhead is the duration of a move without its copy: three calls, and the delivery of the
	// message that the run has moved.
	moveOverhead = 25 * time.Millisecond
	// turnSlackFactor is the multiple of the expected time of a run's move after which the next run
	// stops waiting for it. A copy to another data centre takes twice as long, and the node that
	// moves the run may have failed.
	turnSlackFactor = 2.2
)

// migrationOrder returns the runs in the order in which they move. Small runs go first, because
// that saves more runs when time is short. Nodes ask the engine at slightly different times and
// must still derive the same order, so runs are compared by the length of their prompts, which does
// not change. A run whose prompt is still being processed comes last.
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

// moveTime returns the expected duration of the move of a run with this many tokens.
func moveTime(tokens int, spec *routing.EngineSpec) time.Duration {
	return spec.CopyTime(tokens) + moveOverhead
}

// migration holds the order in which the runs of one leaving engine move. order, spec and engine
// are written before ready is closed.
type migration struct {
	ready chan struct{}
	// began is when the first run requested the order.
	began time.Time
	// order is the order in which the engine's runs move, spec is the specification of the engine.
	order  []EngineRun
	spec   *routing.EngineSpec
	engine fleet.EndpointKey
}

// runsAhead returns the runs that move before the given one, or all runs if the engine did not
// report the given one.
func (m *migration) runsAhead(runID string) []EngineRun {
	for i, run := range m.order {
		if run.ID == runID {
			return m.order[:i]
		}
	}
	return m.order
}

// migrations holds the current migrations by endpoint incarnation.
type migrations struct {
	mu  sync.Mutex
	all map[fleet.Incarnation]*migration
}

// maxMigrations is the maximum number of migrations kept; when it is reached, all are dropped. Only
// a few endpoints that run work of this node leave at a time.
const maxMigrations = 64

// migrationFor returns the migration of the leaving endpoint. The first caller asks the engine for
// its runs; the others wait for the answer or for the end of ctx.
func (l *Relay) migrationFor(ctx context.Context, p *fleet.Placement, spec *routing.EngineSpec) *migration {
	id := p.Instance().Incarnation()
	l.migrations.mu.Lock()
	m, known := l.migrations.all[id]
	if known && time.Since(m.began) > orderLifetime {
		// The endpoint did not stop after its previous notice and is leaving again.
		known = false
	}
	if !known {
		if l.migrations.all == nil || len(l.migrations.all) >= maxMigrations {
			l.migrations.all = make(map[fleet.Incarnation]*migration)
		}
		m = &migration{ready: make(chan struct{}), began: time.Now()}
		l.migrations.all[id] = m
	}
	l.migrations.mu.Unlock()
	if !known {
		l.planMigration(m, p, spec)
		close(m.ready)
	}
	select {
	case <-m.ready:
	case <-ctx.Done():
	}
	return m
}

func (l *Relay) planMigration(m *migration, p *fleet.Placement, spec *routing.EngineSpec) {
	m.spec = spec
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := l.Mover.Report(ctx, p.Instance().Address)
	if err != nil {
		metrics.Count("report_failed")
		l.Log.Warn("cannot get the runs of a leaving endpoint", zap.String("endpoint", p.Instance().ID), zap.Error(err))
		return
	}
	if startedAt := p.Instance().StartedAtMS; report.StartedAtMS != 0 && report.StartedAtMS != startedAt {
		metrics.Count("report_of_another_start")
		l.Log.Warn("leaving endpoint has restarted, its runs are lost", zap.String("endpoint", p.Instance().ID),
			zap.Int64("born", startedAt), zap.Int64("reported_born", report.StartedAtMS))
		return
	}
	m.order = migrationOrder(report.Runs, spec)
	m.engine = p.Instance().Incarnation().Key()
	l.Vacated.announceEnded(m.order, m.engine)
	l.Log.Info("runs of a leaving endpoint migrate", zap.String("endpoint", p.Instance().ID), zap.Int("runs", len(report.Runs)),
		zap.Duration("leaves_in", report.LeavesIn), zap.Duration("since_notice", p.Departure().Since))
}

// awaitTurn waits until the runs ahead of the given one have moved or have used up their time.
func (l *Relay) awaitTurn(ctx context.Context, m *migration, runID string) {
	if l.Fleet.Disabled[fleet.MoveTurns] {
		return
	}
	since := time.Now()
	pending := math.MaxInt
	for ctx.Err() == nil {
		changed := l.Vacated.changes()
		var remaining time.Duration
		count := 0
		for _, run := range m.runsAhead(runID) {
			if !l.Vacated.has(newRunKey(run.ID, m.engine)) {
				count++
				remaining += moveTime(run.Tokens, m.spec)
			}
		}
		if count == 0 {
			return
		}
		if count < pending {
			pending, since = count, time.Now()
		}
		wait := time.Until(since.Add(time.Duration(turnSlackFactor * float64(remaining))))
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
