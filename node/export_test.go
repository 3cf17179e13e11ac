package node

import (
	"context"
	"net"
	"net/http"
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
func NewFeed(store *platform.Store, enabled func() bool) *Feed {
	drop := func(platform.Listing, knowledge.Confirmation) {}
	return &feed{
		store: store, table: "t", wait: time.Second, log: zap.NewNop(), enabled: enabled, onListing: drop, onChanges: drop,
		peerRevision:  func() platform.Revision { return platform.Revision{} },
		backoffBounds: func() backoffBounds { return backoffBoundsFor(true) },

		onLinkChange: func() {},
	}
}

// NewFollowerFeed returns the feed of a node on whose polls no other node depends.
func NewFollowerFeed(store *platform.Store) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.backoffBounds = func() backoffBounds { return backoffBoundsFor(false) }
	return f
}

// NewListingFeed returns a feed that reports each listing of the full table.
func NewListingFeed(store *platform.Store, listed func(platform.Listing)) *Feed {
	f := NewFeed(store, func() bool { return true })
	f.onListing = func(l platform.Listing, _ knowledge.Confirmation) { listed(l) }
	return f
}

// SetVersion sets the version from which the feed requests changes.
func SetVersion(f *Feed, version int64) {
	f.position = platform.Revision{Era: f.store.Era(), Version: version}
}

// Run polls the table. IsLost reports whether the feed polls the store and gets no answer.
var (
	Run    = (*feed).run
	IsLost = (*feed).isLost
)

// EndpointTable exports endpointTable.
type EndpointTable = endpointTable

// Replace stores a full listing and reports whether it is newer than the known rows.
func Replace(e *EndpointTable, l platform.Listing, at time.Duration) bool {
	replaced, _ := e.replace(l, at)
	return replaced
}

// Update stores changed rows.
var Update = (*endpointTable).update

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
	Draw            float64
	Seed            bool
	Incomplete      func() bool
	ReadyPeers      func() []gossip.Peer
	OthersReadStore func() bool
	Fetch           func(context.Context, gossip.Peer) error
	Exclude         func(gossip.Peer)
}

// NewStarter returns the starter of a node that starts now.
func NewStarter(o StarterOptions) Starter {
	wait := startWaitFor(o.Draw)
	if o.Seed {
		wait = 0
	}
	return Starter{&starter{
		log: zap.NewNop(), now: o.Now, started: o.Now(), wait: wait,
		incomplete: o.Incomplete, readyPeers: o.ReadyPeers, othersReadStore: o.OthersReadStore, fetch: o.Fetch, exclude: o.Exclude,
	}}
}

// FetchFromPeer requests a snapshot from a ready node, or pauses if there is none. It returns false
// if the node must not wait for one.
func (s Starter) FetchFromPeer(ctx context.Context) bool { return s.s.fetchFromPeer(ctx) }

// WaitsForPeers reports whether the node waits for other nodes instead of reading the store.
func (s Starter) WaitsForPeers() bool { return s.s.waitsForPeers() }

// TableLimiter exports the limit on sending full tables.
type TableLimiter = tableLimiter

// Allow reports whether one more table may be sent, and counts its bytes if so.
var Allow = (*tableLimiter).allow

// ErrBusy is returned by a node that has reached its limit on sending full tables.
var ErrBusy = errBusy

// TableBytesPerWindow and TableWindow bound the tables that a node sends.
const (
	TableBytesPerWindow = tableBytesPerWindow
	TableWindow         = tableWindow
)

// FillResponse adds to a response what a follower at the given version lacks.
var FillResponse = (*endpointTable).fillResponse

// FullListing returns the full table of a response.
var FullListing = fullListing

// ChangedRows returns the changes that a response holds.
var ChangedRows = changedRows

// FollowerRevision returns the revision of the endpoints that a requesting node has.
var FollowerRevision = (*endpointTable).followerRevision

// ConfigurationNewer reports whether a configuration is newer than that of a requesting node.
var ConfigurationNewer = configurationNewer

// KnownRevision returns the revision of the latest change.
var KnownRevision = (*endpointTable).knownRevision

// Rows returns the versions of the known rows by key.
func Rows(e *EndpointTable) map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := make(map[string]int64)
	for key, row := range e.rows {
		rows[key] = row.Version
	}
	return rows
}

// Population and Roster export population and roster.
type (
	Population = population
	Roster     = roster
)

var (
	PopulationRecord  = (*population).record
	PopulationCurrent = (*population).current
	RosterRecord      = (*roster).record
)

// ChooseAddresses answers an address request at a node of the data centre ownDataCentre.
func ChooseAddresses(nodes []gossip.Peer, regions map[string]string, boundRegions []string, ownDataCentre string, farFresh bool, q platform.AddressQuery) []string {
	v := addressView{nodes: nodes, regions: regions, boundRegions: boundRegions, ownDataCentre: ownDataCentre, farFresh: farFresh}
	return v.choose(q)
}

// RosterCurrent returns the current list of nodes, or nil.
func RosterCurrent(r *Roster) *fleet.Roster { return r.current.Load() }

// ReachingNodes returns the nodes that callers are sent to with regard to the endpoints that they
// reach.
var ReachingNodes = reachingNodes

// ServiceSetOf returns the set of the named services.
func ServiceSetOf(names ...string) gossip.ServiceSet { return gossip.NewServiceSet(serviceKeys(names)) }

// ForwardCandidates returns the nodes that may serve requests of a service for a node of the data
// centre. boundRegions restricts them if it is not nil.
func ForwardCandidates(nodes []gossip.Peer, service string, regions map[string]string, dataCentre string, boundRegions []string) []gossip.Peer {
	v := forwardView{
		nodes: nodes, service: gossip.KeyOf(service), regions: regions, ownDataCentre: dataCentre,
		bound: boundRegions != nil, boundRegions: boundRegions,
	}
	return v.candidates(func(gossip.Peer) bool { return false })
}

// EncodeBacklogs and DecodeBacklogs convert the waiting work of a node to and from messages.
var (
	EncodeBacklogs = encodeBacklogs
	DecodeBacklogs = decodeBacklogs
)

var (
	// RateMessages and ReportedRates convert rates of engines to messages and back.
	RateMessages  = rateMessages
	ReportedRates = reportedRates
)

// NewConfigurable returns a node that is not running and to which configurations can be applied.
func NewConfigurable(callers net.Listener, log *zap.Logger) *Node {
	n := New(&platform.NodeSettings{IP: "127.0.0.1", MemoryMB: 134}, nil, log)
	n.callerServer = newCallerServer(n.entry, callers, n.log)
	return n
}

// Configure applies a configuration as it was read from the store.
func (n *Node) Configure(s knowledge.Snapshot) { n.applyConfiguration(s) }

// ConfigVersion returns the version of the known configuration, 0 if there is none.
func (n *Node) ConfigVersion() int64 {
	known, _ := n.config.Current()
	return known.Number()
}

// CallerServer is the server for callers.
type CallerServer struct{ *callerServer }

// NewCallerServer returns a server for callers on the listener.
func NewCallerServer(handler http.Handler, l net.Listener) CallerServer {
	return CallerServer{newCallerServer(handler, l, zap.NewNop())}
}

// Serve accepts connections until the server is closed.
func (s CallerServer) Serve() error { return s.serve() }

// ShutDown ends the server in order.
func (s CallerServer) ShutDown(ctx context.Context) { s.shutDown(ctx) }

// Close ends the server at once.
func (s CallerServer) Close() { s.close() }
