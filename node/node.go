// Package node implements the node, the process that runs on each VM of the platform: it serves
// callers, answers their queries for nodes to connect to, and tracks the configuration, the
// endpoints and the other nodes.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/entry"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/liveness"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/runtimes"
)

var errNoConfiguration = eris.New("no configuration yet")

const (
	// memoryShare is the fraction of the VM's memory that the Go runtime may use before it collects
	// garbage more often. The rest is left for data that was received but not read yet, which
	// occupies the VM's memory outside the Go heap.
	memoryShare = 0.55
	// requestBodiesShare is the fraction of the VM's memory that request bodies may use together.
	// Each body is held twice while it is sent.
	requestBodiesShare = 0.2
	// freshnessShare is the fraction of the revocation limit up to which keys are accepted. The
	// rest covers the time a request takes to reach the endpoint.
	freshnessShare = 0.92
	// lenientMaxKeyAge replaces the revocation limit where keys need not be revoked on nodes that
	// are disconnected. It is longer than any outage that operators would wait out without
	// intervening.
	lenientMaxKeyAge = time.Hour
	// storeTimeout bounds a call to the store. The store's slowest answers take about a hundred
	// times its usual 4 ms.
	storeTimeout = 1500 * time.Millisecond
	// maxDenialAge is the time since the store's last answer after which an unknown key or route is
	// no longer denied for good, because it may have been added since.
	maxDenialAge = changesWait + 800*time.Millisecond
)

// Node is the state of one node process.
type Node struct {
	settings    *platform.NodeSettings
	log         *zap.Logger
	incarnation uint64
	started     time.Duration

	store  *platform.Store
	config *knowledge.ConfigurationTracker
	// evacuations holds the operator's evacuation orders. evacuatedNames holds the data centres
	// last put into force, guarded by evacuationsMu.
	evacuations    knowledge.EvacuationTracker
	restorations   *knowledge.RestorationTracker
	evacuationsMu  sync.Mutex
	evacuatedNames []string
	population     population
	roster         roster
	fleet          *fleet.Fleet
	reach          *reach.Tracker
	gossip         *gossip.Gossip
	relay          *relay.Relay
	client         *h1.Client
	engines        *platform.EngineClient
	gate           *drain.Gate
	entry          *entry.Handler
	bodyMemory     *entry.BodyMemory
	// forwards are the requests that other nodes serve for this one, forwarded counts those that
	// this one serves for others.
	forwards *forwards
	// invalidBacklogs holds the addresses of nodes whose last reported backlog was not valid.
	invalidBacklogs sync.Map
	forwarded       forwardedCount
	endpointTable   endpointTable
	// quarantineRows are the rows of quarantined prompt parts; configKnownSince is when this node first
	// knew a configuration, in nanoseconds of its clock.
	quarantineRows   *quarantineRows
	configKnownSince atomic.Int64
	// registrationLost requests to check this node's row in the store after a restoration.
	registrationLost chan struct{}
	endpointUpdates  endpointUpdates
	follower         follower
	changes          changeNotifier
	// uptime records when the store was up, by the store's own clock.
	uptime *knowledge.UptimeTracker
	// peerStoreDegraded is set while the node that this one follows reports that the store does not
	// show in time which endpoints are leaving.
	peerStoreDegraded atomic.Bool
	endpointFeed      *feed
	configFeed        *feed
	starter           *starter
	// announcedReady is the readiness last broadcast to the other nodes.
	announcedReady atomic.Bool
	packedConfig   packedConfiguration
	tableLimiter   tableLimiter
	peerClient     *http.Client
	callerServer   *callerServer
	// servers are those of the other listeners.
	servers []*http.Server
}

// New returns a node with the given settings. The mechanisms in disabled are switched off.
func New(s *platform.NodeSettings, disabled fleet.DisabledMechanisms, log *zap.Logger) *Node {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	n := &Node{
		settings:    s,
		log:         log,
		incarnation: uint64(time.Now().UnixNano()),
		started:     boottime.Now(),
		store:       platform.NewStore(s.StoreAddress, storeTimeout),
		config:      knowledge.NewConfigurationTracker(boottime.Now),
		uptime:      knowledge.NewUptimeTracker(s.Heartbeat),

		restorations:     knowledge.NewRestorationTracker(boottime.Now),
		registrationLost: make(chan struct{}, 1),
		fleet:            fleet.New(s.DataCentre, boottime.Now),
		client:           h1.NewClient(),
		gate:             drain.NewGate(),
		peerClient:       peer.NewHTTPClient(nil),
		bodyMemory:       entry.NewBodyMemory(int64(requestBodiesShare * float64(s.MemoryMB) * (1 << 20))),
	}
	n.forwards = newForwards(n)
	n.reach = n.newReach()
	n.engines = platform.NewEngineClient(n.client)
	n.client.OnOpen = func() { metrics.Count("endpoint_connections") }
	n.gossip = gossip.New(gossip.Options{
		IP:                  s.IP,
		Port:                s.GossipPort,
		DataCentre:          s.DataCentre,
		MaxAnnounceAllNodes: gossip.DefaultMaxAnnounceAllNodes,
		Now:                 boottime.Now,
		State:               n.state,
		OnState:             n.applyPeerState,
		OnLost:              n.forgetPeer,
		Log:                 log,
	})
	n.fleet.Name, n.fleet.Disabled = s.IP, disabled
	n.evacuations.IsKnown = n.knowsDataCentre
	metrics.GaugeFunc("evacuations", func() any { return n.fleet.Evacuations() })
	n.fleet.Regions = s.Regions
	n.fleet.ClusterSize = n.population.current
	n.fleet.Roster = n.roster.current.Load
	n.fleet.Broadcast = n.announce
	n.fleet.OnExclusion = n.logExclusion
	n.fleet.OnNotice = n.logNoticeChange
	n.fleet.OnBrittle = n.logBrittleChange
	n.fleet.OnAdmissionRefusal = n.logAdmissionRefusal
	n.fleet.OnUnreachable = n.logUnreachable
	n.fleet.OnRates = n.logRatesChange
	n.fleet.OnShares = n.logSharesChange
	n.engines.OnNotice = n.fleet.RecordNoticeByAddress
	n.client.OnSkipped = n.logSkippedAnswer
	n.fleet.ScheduleTick = func(after time.Duration) { time.AfterFunc(after, n.fleet.Tick) }
	n.relay = &relay.Relay{
		Fleet:    n.fleet,
		Client:   n.client,
		Protocol: platform.Protocol{},
		Mover:    n.engines,
		Budgets:  n.newRetryBudgets(),
		Strikes:  relay.NewStrikes(boottime.Now),
		Claims:   relay.NewClaims(),
		Vacated:  relay.NewVacatedRuns(boottime.Now),
		Log:      log,
		Reach:    reachRecorder{n},

		Forwarder: n.forwards,
		Runtimes:  runtimes.NewTracker(boottime.Now),
		Witness:   n.askWitness,
		Liveness:  liveness.NewProber(h1.ToleratedSilence, n.askWhetherRunning),
	}
	n.quarantineRows = newQuarantineRows()
	n.relay.Quarantine = n.newQuarantine()
	n.entry = n.newEntry()
	n.relay.Vacated.Broadcast = n.gossip.AnnounceAll
	n.relay.Strikes.Broadcast = n.gossip.AnnounceAllUrgent
	n.relay.Strikes.Announce = n.gossip.AnnounceAllAndWait
	n.relay.Claims.Broadcast = n.gossip.AnnounceAllUrgent
	n.starter = n.newStarter()
	n.configFeed = &feed{
		store: n.store, table: platform.TableOperator, wait: changesWait, log: log,
		onListing: n.applyConfigurationListing, onChanges: n.applyConfigurationChanges,
		peerRevision:  n.evacuations.Revision,
		backoffBounds: n.storeBackoffBounds, onLinkChange: n.gossip.AnnounceAll,
	}
	n.configFeed.enabled = func() bool { return n.shouldPollStore(n.configFeed) }
	n.endpointFeed = &feed{
		store: n.store, table: platform.TableEndpoints, wait: endpointsWait, log: log,
		onListing: n.fromStore(n.applyEndpointListing), onChanges: n.fromStore(n.applyEndpointChanges),
		peerRevision: n.endpointTable.knownRevision, backoffBounds: n.storeBackoffBounds, onLinkChange: n.gossip.AnnounceAll, maxWait: n.endpointsMaxWait,
		onFailure: n.uptime.RecordFailure,
	}
	n.endpointFeed.enabled = func() bool { return n.shouldPollStore(n.endpointFeed) }
	return n
}

func (n *Node) newEntry() *entry.Handler {
	h := &entry.Handler{
		Config:     n.config,
		Relay:      n.relay,
		Gate:       n.gate,
		BodyMemory: n.bodyMemory,
		Freshness: entry.FreshnessLimits{
			MaxKeyAge:    n.maxKeyAge(),
			MaxDenialAge: maxDenialAge,
		},
		Log: n.log,
	}
	n.relay.Admit = h.Recheck
	return h
}

// maxKeyAge returns the age of the configuration up to which keys are accepted.
func (n *Node) maxKeyAge() time.Duration {
	if !n.settings.RevocationStrict {
		return lenientMaxKeyAge
	}
	return time.Duration(freshnessShare * float64(n.settings.RevocationLimit))
}

// Run serves until SIGTERM or SIGINT, or until a server or task fails.
func (n *Node) Run() error {
	signals := watchSignals()
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen on the caller address")
	}
	n.callerServer = newCallerServer(n.entry, callers, n.log)
	var group run.Group
	group.Add(n.callerServer.serve, func(error) { n.callerServer.close() })
	servers := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.LookupAddress, n.addressHandler()},
		{n.settings.ReadyAddress, n.readyHandler()},
		{n.metricsAddress(), metricsHandler()},
	}
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		n.addServer(&group, &http.Server{Handler: s.handler, ReadHeaderTimeout: defaultHeaderTimeout}, l)
	}
	peers, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen on the peer address")
	}
	n.addServer(&group, peer.NewServer(n.peerHandler(), nil), peers)
	for _, task := range []func(context.Context) error{
		n.configFeed.run, n.endpointFeed.run, n.gossip.Run, n.join, n.follow, n.housekeeping, n.checkHealth, n.watchReach, n.keepQuarantine,
		func(ctx context.Context) error { return n.awaitSignal(ctx, signals) },
	} {
		daemon.AddTask(&group, task)
	}
	n.log.Info("node started", zap.Any("without", n.fleet.Disabled),
		zap.String("data_centre", n.settings.DataCentre),
		zap.String("caller_address", n.settings.CallerAddress), zap.Uint64("incarnation", n.incarnation))
	return group.Run()
}

// addServer adds a server to the group that serves the listener until the group ends. Requests in
// flight are then aborted: if the process leaves in order, it has shut the server down before.
func (n *Node) addServer(g *run.Group, s *http.Server, l net.Listener) {
	n.servers = append(n.servers, s)
	stopped := make(chan struct{})
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// The group ends with the task that shuts the servers down, not before.
			<-stopped
		}
		return err
	}, func(error) {
		_ = s.Close()
		close(stopped)
	})
}

// housekeepingInterval is the interval at which expired connections are closed and work that
// becomes possible with time alone is dispatched.
const housekeepingInterval = 250 * time.Millisecond

func (n *Node) housekeeping(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, housekeepingInterval)
		n.client.Prune()
		n.recordLiveNodes()
		n.observeLedgerEra()
		n.announceReadiness()
		n.endLostEvacuations()
		n.fleet.Tick()
	}
	return nil
}
