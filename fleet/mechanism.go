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
	// UnreachableReports tells the other nodes which endpoints refuse connections.
	UnreachableReports Mechanism = "unreachable"
)

// Mechanisms lists all mechanisms that can be disabled.
var Mechanisms = []Mechanism{
	Moves, MoveTurns, Backups, Turns, ShortQueue, LateWorkLast, PrefillBound, Ejection, HealthChecks, OneReader, ColdTurns, Retries,
	Resume, EngineRates, WorkspaceShares, Admission, UnreachableReports,
}

// OptionalMechanisms lists the mechanisms that are disabled unless they are asked for.
//
// Workspace shares order waiting work by what each workspace has received. Where a few workspaces
// are large by nature and nobody floods, that order makes more long answers late than the order by
// age.
var OptionalMechanisms = []Mechanism{WorkspaceShares}

// DisabledMechanisms is a set of disabled mechanisms. It must not be changed while it is in use.
type DisabledMechanisms map[Mechanism]bool

// ParseDisabledMechanisms returns the set of the mechanisms to leave out: those named in without, and
// the optional ones that are not named in with. It returns an error for an unknown name, for one in
// with that is not optional, and for one in both.
func ParseDisabledMechanisms(without, with []string) (DisabledMechanisms, error) {
	disabled := make(DisabledMechanisms, len(without)+len(OptionalMechanisms))
	for _, m := range OptionalMechanisms {
		disabled[m] = true
	}
	for _, name := range with {
		m := Mechanism(name)
		if !slices.Contains(OptionalMechanisms, m) {
			return nil, eris.Errorf("unknown optional mechanism %q, optional mechanisms are %s", name, joinMechanisms(OptionalMechanisms))
		}
		delete(disabled, m)
	}
	for _, name := range without {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms, m) {
			return nil, eris.Errorf("unknown mechanism %q, known mechanisms are %s", name, joinMechanisms(Mechanisms))
		}
		if slices.Contains(with, name) {
			return nil, eris.Errorf("mechanism %q is both asked for and left out", name)
		}
		disabled[m] = true
	}
	return disabled, nil
}

func joinMechanisms(all []Mechanism) string {
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
