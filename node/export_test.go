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

// Feed gives tests a feed by itself.
type Feed = feed

// NewFeed returns a feed that drops what it learns.
func NewFeed(store *platform.Store, direct func() bool) *Feed {
	drop := func(platform.Listing, knowledge.Confirmation) {}
	return &feed{
		store: store, table: "t", wait: time.Second, log: zap.NewNop(), direct: direct, listed: drop, changed: drop,
		learned:  func() int64 { return 0 },
		patience: func() patience { return patienceOf(true) },

		linkChanged: func() {},
	}
}

// NewFollowersFeed returns a feed of a node whose questions nobody waits for.
func NewFollowersFeed(store *platform.Store) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.patience = func() patience { return patienceOf(false) }
	return f
}

// NewListingFeed returns a feed that tells of each reading of the whole table.
func NewListingFeed(store *platform.Store, listed func(platform.Listing)) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.listed = func(l platform.Listing, _ knowledge.Confirmation) { listed(l) }
	return f
}

// SetVersion sets the version from which the feed asks for changes.
func SetVersion(f *Feed, version int64) { f.version = version }

// Run follows the table; IsLost tells whether the store counts as lost.
var (
	Run    = (*feed).run
	IsLost = (*feed).isLost
)

// Entries gives tests the record of the endpoints' rows.
type Entries = entries

// Replace takes a whole listing, Update changed rows.
var (
	Replace = (*entries).replace
	Update  = (*entries).update
)

// Absences gives tests the record of nodes that are not live.
type Absences = absences

// Stale returns the rows that may be removed.
var Stale = (*absences).stale

// PruneAfter is the time without a sign of life after which a row is removed.
const PruneAfter = pruneAfter

// Starter gives tests the start of one node. Lacking, informants, ask and shun are the node's.
type Starter struct{ s *starter }

// StarterOptions are what surrounds a node that starts.
type StarterOptions struct {
	Now func() time.Duration
	// Draw is the random number by which the wait of a node that is no seed is drawn.
	Draw       float64
	Seed       bool
	Lacking    func() bool
	Informants func() []gossip.Peer
	OthersRead func() bool
	Ask        func(context.Context, gossip.Peer) error
	Shun       func(gossip.Peer)
}

// NewStarter returns the start of a node that starts now.
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

// Learn asks another node; it returns false if the store is to be read.
func (s Starter) Learn(ctx context.Context) bool { return s.s.learn(ctx) }

// Waits tells whether the node leaves the store to others still.
func (s Starter) Waits() bool { return s.s.waits() }

// Pacer gives tests the bound on whole tables, and ErrBusy the refusal beyond it.
type Pacer = pacer

// Take tells whether one more table may be sent.
var Take = (*pacer).take

// ErrBusy is the refusal of a node that sends too many tables.
var ErrBusy = errBusy

// WholeBytes and WholesWindow bound the tables that a node sends.
const (
	WholeBytes   = wholeBytes
	WholesWindow = wholesWindow
)

// Fill adds what a follower lacks that knows the given version.
var Fill = (*entries).fill

// WholeListing returns the table that an answer holds.
var WholeListing = wholeListing

// ChangedRows returns the changes that an answer holds.
var ChangedRows = changedRows

// Known is the version of the last change; Rows returns the rows that are known.
var Known = (*entries).known

// Rows returns the versions of the known rows.
func Rows(e *Entries) map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := make(map[string]int64)
	for key, row := range e.rows {
		rows[key] = row.Version
	}
	return rows
}

// Population gives tests the record of how many nodes there are.
type (
	Population = population
	Roster     = roster
)

var (
	PopulationSee     = (*population).see
	PopulationCurrent = (*population).current
	RosterSee         = (*roster).see
)

// ChooseAddresses answers an address question at a node of the data centre own.
func ChooseAddresses(nodes []gossip.Peer, regions map[string]string, bound []string, own string, farFresh bool, q platform.AddressQuestion) []string {
	v := addressView{nodes: nodes, regions: regions, bound: bound, own: own, farFresh: farFresh}
	return v.choose(q)
}

// RosterCurrent returns the list that is known; nil for none.
func RosterCurrent(r *Roster) *fleet.Roster { return r.current.Load() }
