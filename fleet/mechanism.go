package fleet

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Mechanism is a part of the decisions that can be left out: to measure what it is worth,
// or to keep a deployment going while it is at fault.
type Mechanism string

const (
	// Moves copy runs away from engines that leave.
	Moves Mechanism = "moves"
	// MoveTurns let the runs of an engine be copied one after another.
	MoveTurns Mechanism = "move-turns"
	// Backups keep a copy of each long answer at another engine.
	Backups Mechanism = "backups"
	// Turns let waiting work take its turn over all nodes.
	Turns Mechanism = "turns"
	// ShortLine gives short answers a line and a part of the memory of their own.
	ShortLine Mechanism = "short-line"
	// LateBehind lets work that is late pass what can be in time.
	LateBehind Mechanism = "late-behind"
	// UnreadBound keeps prompts from engines on which much waits to be read.
	UnreadBound Mechanism = "unread-bound"
	// Ejection keeps work from endpoints that fail.
	Ejection Mechanism = "ejection"
	// HealthChecks ask engines whether they leave while the store does not tell.
	HealthChecks Mechanism = "health-checks"
	// OneReader lets one node read the store for all.
	OneReader Mechanism = "one-reader"
	// ColdTurns bound what a cold endpoint gets from all nodes together.
	ColdTurns Mechanism = "cold-turns"
	// Retries repeat work that is safe to repeat, or certainly has not run.
	Retries Mechanism = "retries"
)

// Mechanisms are all that can be left out.
var Mechanisms = []Mechanism{
	Moves, MoveTurns, Backups, Turns, ShortLine, LateBehind, UnreadBound, Ejection, HealthChecks, OneReader, ColdTurns, Retries,
}

// Without is a set of mechanisms that are left out. It does not change while it is in use.
type Without map[Mechanism]bool

// ParseWithout reads names of mechanisms.
func ParseWithout(names []string) (Without, error) {
	w := make(Without, len(names))
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms, m) {
			return nil, eris.Errorf("%q is no mechanism; there are %s", name, allMechanisms())
		}
		w[m] = true
	}
	return w, nil
}

func allMechanisms() string {
	names := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
