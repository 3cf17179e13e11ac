package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// Feed gives tests a feed by itself.
type Feed = feed

// NewFeed returns a feed that drops what it learns.
func NewFeed(store *platform.Store, direct func() bool) *Feed {
	drop := func(platform.Listing, knowledge.Seen) {}
	return &feed{
		store: store, table: "t", wait: time.Second, log: zap.NewNop(), direct: direct, listed: drop, changed: drop,
		learned:  func() int64 { return 0 },
		patience: func() time.Duration { return longestBackoff },

		linkChanged: func() {},
		othersRead:  func() bool { return false },
	}
}

// NewListingFeed returns a feed that tells of each reading of the whole table.
func NewListingFeed(store *platform.Store, listed func(platform.Listing)) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.listed = func(l platform.Listing, _ knowledge.Seen) { listed(l) }
	return f
}

// NewFeedBeside returns a feed beside other nodes that the store answers, or does not.
func NewFeedBeside(store *platform.Store, othersRead bool) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.othersRead = func() bool { return othersRead }
	return f
}

// LostHereOnly tells whether the last loss of the store was the node's alone.
var LostHereOnly = (*feed).lostHereOnly

// Run follows the table; Unsteady tells whether the store counts as lost.
var (
	Run      = (*feed).run
	Unsteady = (*feed).unsteady
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
