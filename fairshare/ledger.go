// Package fairshare accounts for the service that workspaces have received over a whole fleet and
// derives the order among them. It has no clock and no network access of its own.
package fairshare

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// DecayTime is the time in which received service decays by a factor of e. It spans a few runs,
	// so that a workspace that was idle has a bounded claim on the capacity that others used.
	DecayTime = 5 * time.Second
	// MaxReported bounds the entries of one report. With 16 bytes each they take less than a third
	// of a datagram.
	MaxReported = 24
	// minTokens is the received service, in tokens, below which a workspace counts as idle. It is
	// about a hundredth of one long request.
	minTokens = 32.0
	// maxTokens bounds a plausible entry of a report, in tokens. It is above what the engines of the
	// largest fleet generate and prefill within DecayTime.
	maxTokens = 1 << 30
	// maxRemoteEntries bounds the entries kept of all other nodes together, so that the ledger stays
	// small whatever the number of workspaces.
	maxRemoteEntries = 1 << 14
)

// Key identifies a workspace or a service in messages: a hash of its name, 0 for an empty name.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key {
	if name == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return Key(h.Sum32())
}

// Use is the service, in tokens, that a workspace has received, decayed to the time of the report.
type Use struct {
	Service, Workspace Key
	Tokens             float64
}

type account struct{ service, workspace Key }

// amount is a number of tokens that decays from the time at.
type amount struct {
	tokens float64
	at     time.Duration
}

func (a amount) value(now time.Duration) float64 {
	// A clock that runs backwards does not let an amount grow.
	return a.tokens * math.Exp(-max(now-a.at, 0).Seconds()/DecayTime.Seconds())
}

// Ledger holds the service that each workspace has received from each service, through this node
// and through others. It is not safe for concurrent use. Times are of any monotonic clock.
type Ledger struct {
	own    map[account]amount
	remote map[string]map[account]amount
	// totals holds the sum over all nodes, so that reading it does not depend on their number.
	totals  map[account]amount
	entries int
	// Dropped counts the reported entries that were ignored because their values are impossible.
	Dropped int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: make(map[account]amount), remote: make(map[string]map[account]amount), totals: make(map[account]amount)}
}

// Charge records tokens that a workspace receives through this node.
func (l *Ledger) Charge(now time.Duration, service, workspace Key, tokens float64) {
	if !plausible(tokens) {
		l.Dropped++
		return
	}
	id := account{service, workspace}
	l.own[id] = amount{l.own[id].value(now) + tokens, now}
	l.add(now, id, tokens)
}

func plausible(tokens float64) bool { return tokens >= 0 && tokens <= maxTokens }

func (l *Ledger) add(now time.Duration, id account, tokens float64) {
	l.totals[id] = amount{max(l.totals[id].value(now)+tokens, 0), now}
}

// Own returns the largest amounts received through this node, at most MaxReported.
func (l *Ledger) Own(now time.Duration) []Use {
	uses := make([]Use, 0, len(l.own))
	for id, a := range l.own {
		if tokens := a.value(now); tokens >= minTokens {
			uses = append(uses, Use{id.service, id.workspace, tokens})
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return uses[:min(len(uses), MaxReported)]
}

// SetRemote replaces the report of another node. An empty report means that nothing is known of the
// node's recent use, which is also what a node of an older version sends: its previous report then
// remains and decays. If an entry is implausible, the previous value of its workspace is kept.
func (l *Ledger) SetRemote(now time.Duration, node string, uses []Use) {
	if len(uses) == 0 {
		return
	}
	before := l.remote[node]
	after := make(map[account]amount, min(len(uses), MaxReported))
	for _, u := range uses[:min(len(uses), MaxReported)] {
		id := account{u.Service, u.Workspace}
		if plausible(u.Tokens) {
			after[id] = amount{u.Tokens, now}
			continue
		}
		l.Dropped++
		if previous, ok := before[id]; ok {
			after[id] = previous
		}
	}
	if l.entries-len(before)+len(after) > maxRemoteEntries {
		l.Dropped += len(after)
		return
	}
	for id, a := range before {
		l.add(now, id, -a.value(now))
	}
	for id, a := range after {
		l.add(now, id, a.value(now))
	}
	l.entries += len(after) - len(before)
	l.remote[node] = after
}

// Received returns the tokens that a workspace has received over all nodes.
func (l *Ledger) Received(now time.Duration, service, workspace Key) float64 {
	return l.totals[account{service, workspace}].value(now)
}

// Workspaces returns what each workspace that is not idle has received from a service, in tokens.
func (l *Ledger) Workspaces(now time.Duration, service Key) map[Key]float64 {
	received := make(map[Key]float64)
	for id, a := range l.totals {
		if tokens := a.value(now); id.service == service && tokens >= minTokens {
			received[id.workspace] = tokens
		}
	}
	return received
}

// Prune discards what has decayed, including the reports of nodes that are gone.
func (l *Ledger) Prune(now time.Duration) {
	prune(l.own, now)
	for node, report := range l.remote {
		l.entries -= prune(report, now)
		if len(report) == 0 {
			delete(l.remote, node)
		}
	}
	prune(l.totals, now)
}

func prune(amounts map[account]amount, now time.Duration) (pruned int) {
	for id, a := range amounts {
		if a.value(now) < minTokens/100 {
			delete(amounts, id)
			pruned++
		}
	}
	return pruned
}
