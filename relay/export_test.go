package relay

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// Names for tests of decisions that need no endpoint.
var (
	MigrationOrder = migrationOrder
	MoveTime       = moveTime
	NewEventReader = newEventReader
	SplitEvent     = splitEvent
	LeftKey        = runKey
)

// Next gives tests the events of a reader.
func (r *eventReader) Next() ([]byte, error) { return r.next() }

// MoveOverhead is the time that a move takes beside its copy; TurnSlack is by how much a
// run may take longer before the next one no longer waits.
const (
	MoveOverhead = moveOverhead
	TurnSlack    = turnSlack
	RefreshEvery = refreshEvery
)

// StrikeLimit is the number of endpoints that may die of one request.
const StrikeLimit = strikeLimit

// Departure is one engine that leaves, as one node sees it.
type Departure struct {
	relay *Relay
	e     *migration
}

// NewDeparture returns the departure of an engine with the given runs.
func NewDeparture(v *Vacated, runs []EngineRun, spec *routing.EngineSpec) *Departure {
	e := &migration{order: migrationOrder(runs, spec), spec: spec, engine: departing}
	return &Departure{relay: &Relay{Vacated: v, Fleet: &fleet.Fleet{}}, e: e}
}

const departing fleet.EndpointKey = 7

// Await waits for the run's turn and returns the time that it took.
func (d *Departure) Await(ctx context.Context, runID string) time.Duration {
	began := time.Now()
	d.relay.awaitTurn(ctx, d.e, runID)
	return time.Since(began)
}

// Leave records that a run has left the engine.
func (d *Departure) Leave(runID string) { d.relay.Vacated.leave(runKey(runID, departing)) }
