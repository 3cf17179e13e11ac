package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// Feed exports feed.
type Feed = feed

// NewFeed returns a feed that discards what it receives.
func NewFeed(store *platform.Store, direct func() bool) *Feed {
	drop := func(platform.Listing, knowledge.Seen) {}
	return &feed{
		store: store, table: "t", wait: time.Second, log: zap.NewNop(), direct: direct, listed: drop, changed: drop,
		learned:  func() int64 { return 0 },
		patience: func() patience { return patienceOf(true) },

		linkChanged: func() {},
	}
}

// NewFollowersFeed returns the feed of a node on whose polls no other node depends.
func NewFollowersFeed(store *platform.Store) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.patience = func() patience { return patienceOf(false) }
	return f
}

// NewListingFeed returns a feed that reports each listing of the full table.
func NewListingFeed(store *platform.Store, listed func(platform.Listing)) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.listed = func(l platform.Listing, _ knowledge.Seen) { listed(l) }
	return f
}

// SetVersion sets the version from which the feed requests changes.
func SetVersion(f *Feed, version int64) { f.version = version }

// Run polls the table; IsLost reports whether the store counts as lost.
var (
	Run    = (*feed).run
	IsLost = (*feed).isLost
)

// Entries exports entries.
type Entries = entries

// Replace stores a full listing; Update stores changed rows.
var (
	Replace = (*entries).replace
	Update  = (*entries).update
)

// Absences exports absences.
type Absences = absences

// Stale returns the rows that may be removed.
var Stale = (*absences).stale

// PruneAfter is how long a node must be absent before its row is removed.
const PruneAfter = pruneAfter

// Starter exports the starter of one node.
type Starter struct{ s *starter }

// StarterOptions are the dependencies of a Starter.
type StarterOptions struct {
	Now func() time.Duration
	// Draw is the random number from which the wait of a node that is not a seed is derived.
	Draw       float64
	Seed       bool
	Lacking    func() bool
	Informants func() []gossip.Peer
	OthersRead func() bool
	Ask        func(context.Context, gossip.Peer) error
	Shun       func(gossip.Peer)
}

// NewStarter returns the starter of a node that starts now.
func NewStarter(o StarterOptions) Starter {
	wait := startWaitOf(o.Draw)
	if o.Seed {
		wait = 0
	}
	return Starter{&starter{
		log: zap.NewNop(), now: o.Now, started: o.Now(), wait: wait,
		lacking: o.Lacking, informants: o.Informants, othersRead: o.OthersRead, ask: o.Ask, shun: o.Shun,
	}}
}

// Learn asks another node; it returns false if the node is not to wait for one.
func (s Starter) Learn(ctx context.Context) bool { return s.s.learn(ctx) }

// Waits reports whether the node still leaves reading the store to others.
func (s Starter) Waits() bool { return s.s.waits() }

// Pacer exports the limit on sending full tables.
type Pacer = pacer

// Take reports whether one more table may be sent, and counts it.
var Take = (*pacer).take

// ErrBusy is the refusal of a node that has sent too many tables.
var ErrBusy = errBusy

// WholeBytes and WholesWindow bound the tables that a node sends.
const (
	WholeBytes   = wholeBytes
	WholesWindow = wholesWindow
)

// Fill adds to a response what a follower at the given version lacks.
var Fill = (*entries).fill

// WholeListing returns the full table of a response.
var WholeListing = wholeListing

// ChangedRows returns the changes that a response holds.
var ChangedRows = changedRows

// Known returns the version of the latest change.
var Known = (*entries).known

// Rows returns the versions of the known rows by key.
func Rows(e *Entries) map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := make(map[string]int64)
	for key, row := range e.rows {
		rows[key] = row.Version
	}
	return rows
}

// Population and Roster export the records of how many nodes there are, and which.
type (
	Population = population
	Roster     = roster
)

var (
	PopulationSee     = (*population).see
	PopulationCurrent = (*population).current
	RosterSee         = (*roster).see
)

// ChooseAddresses answers an address request at a node of the data centre own.
func ChooseAddresses(nodes []gossip.Peer, regions map[string]string, bound []string, own string, farFresh bool, q platform.AddressQuestion) []string {
	v := addressView{nodes: nodes, regions: regions, bound: bound, own: own, farFresh: farFresh}
	return v.choose(q)
}

// RosterCurrent returns the current list of nodes, or nil.
func RosterCurrent(r *Roster) *fleet.Roster { return r.current.Load() }
