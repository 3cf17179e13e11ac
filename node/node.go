// Package node is one process of the system on a VM of the platform: it serves callers,
// tells them where to connect, and knows the configuration, the endpoints and the other
// nodes.
package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/entry"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
)

var errNoConfiguration = eris.New("no configuration yet")

const (
	// memoryShare is the part of the VM's memory at which the garbage collector works
	// harder: what is received and not yet read counts as well, outside the heap.
	memoryShare = 0.55
	// bodiesShare is the part of the VM's memory that callers' bodies may take together;
	// each is held twice while it is sent.
	bodiesShare = 0.2
	// freshnessShare is the part of the revocation limit up to which keys are served:
	// the rest covers the way to the endpoint.
	freshnessShare = 0.92
	// lenientKeys is that limit where keys need not be revoked at nodes that are cut off:
	// service goes on through any outage that operators would sit out.
	lenientKeys = time.Hour
	// storeTimeout bounds a call to the store, whose slowest answers take some hundred
	// times its usual 4 ms.
	storeTimeout = 1500 * time.Millisecond
	// denialAge is the age of the configuration from which an unknown key or route is
	// not denied: it may have been added since.
	denialAge = changesWait + 800*time.Millisecond
)

// Node is one process.
type Node struct {
	settings    *platform.NodeSettings
	log         *zap.Logger
	incarnation uint64
	started     time.Duration

	store  *platform.Store
	config *knowledge.Configuration
	// evacuations are the operator's, evacuated their names as they were last put in force
	// under evacuationsMu.
	evacuations   knowledge.Evacuations
	evacuationsMu sync.Mutex
	evacuated     []string
	population    population
	roster        roster
	fleet         *fleet.Fleet
	gossip        *gossip.Gossip
	relay         *relay.Relay
	client        *h1.Client
	engines       *platform.Engines
	gate          *entry.Gate
	entries       entries
	registry      registry
	follower      follower
	news          news
	// uptime is the store's, by its own clock.
	uptime *knowledge.UptimeRecord
	// awayPeer is set while the store does not tell that node in time who leaves.
	awayPeer     atomic.Bool
	endpointFeed *feed
	configFeed   *feed
	starter      *starter
	// toldReady is the readiness that the other nodes were last told of at once.
	toldReady    atomic.Bool
	packedConfig packedConfiguration
	wholes       pacer
	peerClient   *http.Client
	limits       *limits
}

// New builds the process from its settings, without some mechanisms.
func New(s *platform.NodeSettings, without fleet.DisabledMechanisms, log *zap.Logger) *Node {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	n := &Node{
		settings:    s,
		log:         log,
		incarnation: uint64(time.Now().UnixNano()),
		started:     boottime.Now(),
		store:       platform.NewStore(s.StoreAddress, storeTimeout),
		config:      knowledge.NewConfiguration(boottime.Now),
		uptime:      knowledge.NewUptimeRecord(s.Heartbeat),
		fleet:       fleet.New(s.DataCentre, boottime.Now),
		client:      h1.NewClient(),
		gate:        entry.NewGate(),
		peerClient:  peer.NewHTTPClient(nil),
	}
	n.engines = platform.NewEngines(n.client)
	n.client.Opened = func() { metrics.Count("endpoint_connections") }
	n.gossip = gossip.New(gossip.Options{
		IP:          s.IP,
		Port:        s.GossipPort,
		DataCentre:  s.DataCentre,
		TellAllUpTo: gossip.TellAllUpTo,
		Now:         boottime.Now,
		State:       n.state,
		Heard:       n.heard,
		Lost:        n.lost,
		Log:         log,
	})
	n.fleet.Name, n.fleet.Disabled = s.IP, without
	n.evacuations.Known = n.knowsDataCentre
	metrics.GaugeFunc("evacuations", func() any { return n.fleet.Evacuations() })
	n.fleet.Regions = s.Regions
	n.fleet.ClusterSize = n.population.current
	n.fleet.Roster = n.roster.current.Load
	n.fleet.Broadcast = n.tell
	n.fleet.OnExclusion = n.believed
	n.fleet.OnNotice = n.noticed
	n.engines.Noticed = n.fleet.NoteAt
	n.fleet.ScheduleTick = func(after time.Duration) { time.AfterFunc(after, n.fleet.Tick) }
	n.relay = &relay.Relay{
		Fleet:    n.fleet,
		Client:   n.client,
		Protocol: platform.Wire{},
		Mover:    n.engines,
		Budgets: &retry.Windows{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Length: s.RetryWindow,
			Now:    boottime.Now,
			Nodes:  n.retryingNodes,
		},
		Strikes: relay.NewStrikes(boottime.Now),
		Claims:  relay.NewClaims(),
		Vacated: relay.NewVacated(boottime.Now),
		Log:     log,
	}
	n.relay.Vacated.Tell = n.gossip.TellAll
	n.relay.Strikes.Tell = n.gossip.TellNow
	n.relay.Claims.Tell = n.gossip.TellNow
	n.starter = n.newStarter()
	n.configFeed = &feed{
		store: n.store, table: platform.TableOperator, wait: changesWait, log: log,
		listed: n.configurationListed, changed: n.configurationChanged,
		learned:  n.evacuations.Version,
		patience: n.storePatience, linkChanged: n.gossip.TellAll,
	}
	n.configFeed.direct = func() bool { return n.asksStore(n.configFeed) }
	n.endpointFeed = &feed{
		store: n.store, table: platform.TableEndpoints, wait: endpointsWait, log: log,
		listed: n.ownEndpoints(n.endpointsListed), changed: n.ownEndpoints(n.endpointsChanged),
		learned: n.entries.known, patience: n.storePatience, linkChanged: n.gossip.TellAll, longest: n.settlingWait,
		unanswered: n.uptime.Failed,
	}
	n.endpointFeed.direct = func() bool { return n.asksStore(n.endpointFeed) }
	return n
}

func (n *Node) callerHandler() http.Handler {
	h := &entry.Handler{
		Config: n.config,
		Relay:  n.relay,
		Gate:   n.gate,
		Bodies: entry.NewBodies(int64(bodiesShare * float64(n.settings.MemoryMB) * (1 << 20))),
		Freshness: entry.Freshness{
			Keys:    n.keysLimit(),
			Denials: denialAge,
		},
		Log: n.log,
	}
	n.relay.Admit = h.Recheck
	return h
}

// keysLimit is the age of the configuration up to which keys are served.
func (n *Node) keysLimit() time.Duration {
	if !n.settings.RevocationStrict {
		return lenientKeys
	}
	return time.Duration(freshnessShare * float64(n.settings.RevocationLimit))
}

// Run serves until SIGTERM.
func (n *Node) Run() error {
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.limits = newLimits(n.callerHandler(), callers)
	var group run.Group
	group.Add(n.limits.serve, func(error) {
		_ = callers.Close()
		n.limits.close()
	})
	servers := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.AddressesAddress, n.addressHandler()},
		{n.settings.ReadyAddress, n.readyHandler()},
		{n.metricsAddress(), metricsHandler()},
	}
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		addServer(&group, &http.Server{Handler: s.handler, ReadHeaderTimeout: defaultHeaderTimeout}, l)
	}
	peers, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	addServer(&group, peer.NewServer(n.peerHandler(), nil), peers)
	for _, task := range []func(context.Context) error{
		n.configFeed.run, n.endpointFeed.run, n.gossip.Run, n.join, n.follow, n.housekeeping, n.checkHealth, n.awaitSignal,
	} {
		daemon.AddTask(&group, task)
	}
	n.log.Info("node started", zap.Any("without", n.fleet.Disabled),
		zap.String("data_centre", n.settings.DataCentre),
		zap.String("caller_address", n.settings.CallerAddress), zap.Uint64("incarnation", n.incarnation))
	return group.Run()
}

// addServer serves a listener in the group until the group ends. Answers to questions
// under way are cut off then: the process has drained before, and waiting for peers
// would use up the rest of the grace time.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
}

// housekeepingEvery is how often connections that are too old are closed and work that
// waits for time alone is looked at.
const housekeepingEvery = 250 * time.Millisecond

func (n *Node) housekeeping(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, housekeepingEvery)
		n.client.Prune()
		n.countNodes()
		n.tellReadiness()
		n.fleet.Tick()
	}
	return nil
}
