package relay

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// Exports for tests that need no endpoint.
var (
	MigrationOrder = migrationOrder
	MoveTime       = moveTime
	NewEventReader = newEventReader
	SplitEvent     = splitEvent
	NewRunKey      = newRunKey
)

// Next returns the next events of the reader.
func (r *eventReader) Next() ([]byte, error) { return r.next() }

// MoveOverhead is the duration of a move without its copy. TurnSlackFactor is the multiple of the
// expected time after which the next run stops waiting.
const (
	MoveOverhead    = moveOverhead
	TurnSlackFactor = turnSlackFactor
	RefreshInterval = refreshInterval
)

// StrikeLimit is the number of endpoints that may die of one request.
const StrikeLimit = strikeLimit

// Departure is one leaving engine, as seen by one node.
type Departure struct {
	relay     *Relay
	migration *migration
}

// NewDeparture returns the departure of an engine with the given runs.
func NewDeparture(v *VacatedRuns, runs []EngineRun, spec *routing.EngineSpec) *Departure {
	e := &migration{order: migrationOrder(runs, spec), spec: spec, engine: testEngineKey}
	return &Departure{relay: &Relay{Vacated: v, Fleet: &fleet.Fleet{}}, migration: e}
}

const testEngineKey fleet.EndpointKey = 7

// Await waits for the run's turn and returns how long that took.
func (d *Departure) Await(ctx context.Context, runID string) time.Duration {
	began := time.Now()
	d.relay.awaitTurn(ctx, d.migration, runID)
	return time.Since(began)
}

// Leave records that a run has left the engine.
func (d *Departure) Leave(runID string) { d.relay.Vacated.markVacated(newRunKey(runID, testEngineKey)) }

// EndDeadlyRun records, as a request does, that an endpoint died of its run, and drops its claim.
func (l *Relay) EndDeadlyRun(claim Claim, endpoint uint32) {
	l.Strikes.Add(claim.Work, endpoint)
	l.Claims.drop(claim)
}

// SetClaim adds a claim of this node.
func (l *Relay) SetClaim(claim Claim) { l.Claims.set(claim) }
