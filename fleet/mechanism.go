package fleet

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism names a part of the placement logic that can be disabled, either to measure its effect
// or to keep a deployment running while that part is faulty.
type Mechanism string

const (
	// Moves copies runs away from engines that are leaving.
	Moves Mechanism = "moves"
	// MoveTurns copies the runs of an engine one after another.
	MoveTurns Mechanism = "move-turns"
	// Backups keeps a copy of each long answer on another engine.
	Backups Mechanism = "backups"
	// Turns serves waiting work in order across all nodes.
	Turns Mechanism = "turns"
	// ShortQueue gives short answers their own queue and their own share of memory.
	ShortQueue Mechanism = "short-line"
	// LateWorkLast serves work that is already late after work that can still start in time.
	LateWorkLast Mechanism = "late-behind"
	// PrefillBound keeps prompts away from engines with many prompt tokens pending prefill.
	PrefillBound Mechanism = "unread-bound"
	// Ejection keeps work away from endpoints that fail.
	Ejection Mechanism = "ejection"
	// HealthChecks asks engines whether they are leaving while the store is unavailable.
	HealthChecks Mechanism = "health-checks"
	// OneReader lets one node read the store for all nodes.
	OneReader Mechanism = "one-reader"
	// ColdTurns limits the rate of requests from all nodes together to a cold endpoint.
	ColdTurns Mechanism = "cold-turns"
	// Retries repeats work that is safe to repeat or has certainly not run.
	Retries Mechanism = "retries"
	// Resume runs resumable streams again when their engine is lost.
	Resume Mechanism = "resume"
	// EngineRates places work by the measured service rates of engines that differ.
	EngineRates Mechanism = "engine-rates"
	// WorkspaceShares divides scarce capacity fairly among workspaces.
	WorkspaceShares Mechanism = "workspace-shares"
	// Admission refuses work at once that is predicted to wait too long.
	Admission Mechanism = "admission"
	// NodeRoom names nodes to callers in proportion to their free capacity.
	NodeRoom Mechanism = "node-room"
	// RequestPriority sends engines the priority of each request.
	RequestPriority Mechanism = "request-priority"
	// LengthEstimates reserves memory by the lengths of earlier answers.
	LengthEstimates Mechanism = "length-estimates"
	// UnreachableReports tells the other nodes which endpoints refuse connections.
	UnreachableReports Mechanism = "unreachable"
	// Yield lets less urgent work wait for more urgent work while it can still start in time.
	Yield Mechanism = "yield"
)

// Mechanisms lists all mechanisms that can be disabled.
var Mechanisms = []Mechanism{
	Moves, MoveTurns, Backups, Turns, ShortQueue, LateWorkLast, PrefillBound, Ejection, HealthChecks, OneReader, ColdTurns, Retries,
	Resume, EngineRates, WorkspaceShares, Admission, NodeRoom, RequestPriority, LengthEstimates, UnreachableReports, Yield,
}

// DisabledMechanisms is a set of disabled mechanisms. It must not be changed while it is in use.
type DisabledMechanisms map[Mechanism]bool

// ParseDisabledMechanisms converts names of mechanisms to a set. It returns an error for an unknown
// name.
func ParseDisabledMechanisms(names []string) (DisabledMechanisms, error) {
	disabled := make(DisabledMechanisms, len(names))
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms, m) {
			return nil, eris.Errorf("unknown mechanism %q, known mechanisms are %s", name, mechanismNames())
		}
		disabled[m] = true
	}
	return disabled, nil
}

func mechanismNames() string {
	names := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
