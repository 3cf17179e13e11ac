package node

import (
	"expvar"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/reach"
)

const (
	// MetricsPort and PathMetrics are the port and the path of the metrics.
	MetricsPort = 9464
	PathMetrics = "/debug/vars"

	// addressTTL is how long callers may cache an address answer. It is short so that they soon
	// leave a node that is about to stop, at the cost of about one request per caller and second.
	addressTTL = 1500 * time.Millisecond
	// startupTTL replaces addressTTL during the first startupPeriod of a node. The first node that
	// is up after a restart of all nodes would otherwise keep every caller.
	startupTTL    = 400 * time.Millisecond
	startupPeriod = 3 * time.Second
	// minNearbyNodes is the number of ready nodes in the caller's data centre from which an answer
	// names no others.
	minNearbyNodes = 2
	// maxAddresses bounds an answer; callers read no more.
	maxAddresses = 64
)

// ready reports whether callers may be sent to this node.
func (n *Node) ready() bool {
	known, ages := n.config.Current()
	return known.Table != nil && n.evacuations.Revision().Version > 0 && n.quarantineKnown() && !n.gate.Leaving() && ages.Confirmed < n.maxKeyAge()
}

// announceReadiness broadcasts a change of this node's readiness at once. Starting nodes wait for
// the first ready node, and callers are sent to ready nodes only; the next regular round may be
// seconds away among hundreds of nodes.
func (n *Node) announceReadiness() {
	if now := n.ready(); n.announcedReady.Swap(now) != now {
		n.gossip.AnnounceAll()
	}
}

func (n *Node) readyHandler() http.Handler {
	e := echo.New()
	e.GET(platform.PathReady, func(c echo.Context) error {
		if !n.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, expvar.Handler())
	return mux
}

func (n *Node) metricsAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort))
}

func (n *Node) addressHandler() http.Handler {
	e := echo.New()
	e.GET(platform.PathAddresses, func(c echo.Context) error {
		query, err := platform.ParseAddressQuery(c.Request())
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		addresses := n.addresses(query)
		if len(addresses) == 0 {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "no node is ready")
		}
		return c.JSON(http.StatusOK, platform.AddressAnswer{Addresses: addresses, TTLSeconds: n.addressTTL().Seconds()})
	})
	return e
}

func (n *Node) addressTTL() time.Duration {
	ttl := addressTTL
	if boottime.Now()-n.started < startupPeriod {
		ttl = startupTTL
	}
	return min(ttl, n.settings.AddressTTLLimit)
}

// addresses returns the addresses of ready nodes for a caller.
func (n *Node) addresses(q platform.AddressQuery) []string {
	nodes := n.gossip.Live()
	if n.ready() {
		nodes = append(nodes, gossip.Peer{
			CallerAddress: n.settings.CallerAddress,
			DataCentre:    n.settings.DataCentre,
			Ready:         true,
			Lost:          gossip.NewServiceSet(serviceKeys(n.reach.Services(reach.Lost))),
			Reached:       gossip.NewServiceSet(serviceKeys(n.reach.Services(reach.Reached))),
		})
	}
	v := addressView{
		nodes: reachingNodes(nodes), regions: n.settings.Regions, boundRegions: n.hostRegions(q.Host),
		ownDataCentre: n.settings.DataCentre, farFresh: n.gossip.FarLiveTime() <= addressFreshness,
	}
	return v.choose(q)
}

// reachingNodes returns the nodes that callers are sent to with regard to the endpoints that they
// reach: all but those that have lost a service that another ready node reaches. If that leaves no
// ready node, it returns all nodes.
func reachingNodes(nodes []gossip.Peer) []gossip.Peer {
	if !slices.ContainsFunc(nodes, func(p gossip.Peer) bool { return p.Lost != "" }) {
		return nodes
	}
	reached := make(map[gossip.ServiceKey]bool)
	for _, p := range nodes {
		if p.Ready && !p.Leaving {
			for key := range p.Reached.All {
				reached[key] = true
			}
		}
	}
	var reaching []gossip.Peer
	ready := false
	for _, p := range nodes {
		if !p.Lost.HasAny(reached) {
			reaching = append(reaching, p)
			ready = ready || p.Ready && !p.Leaving
		}
	}
	if !ready {
		return nodes
	}
	return reaching
}

// addressFreshness is the maximum time for which answers may name a node that is gone.
const addressFreshness = 5 * time.Second

// addressView is the input from which address answers are made.
type addressView struct {
	nodes   []gossip.Peer
	regions map[string]string
	// boundRegions holds the regions that the host's routes are bound to; it is empty if there are
	// none.
	boundRegions []string
	// ownDataCentre is this node's data centre. farFresh reports whether the loss of a node in
	// another data centre is detected within addressFreshness.
	ownDataCentre string
	farFresh      bool
}

// choose returns the nodes of the caller's data centre if there are enough, else those of its
// region, else those of its region and of the regions that the host's routes are bound to, so that
// the request does not leave these needlessly, else all. One node is enough if the host's routes
// are bound. If losses in other data centres are detected late, a caller from another data centre
// of this node's region is sent to this node's data centre.
func (v *addressView) choose(q platform.AddressQuery) []string {
	dataCentre := q.DataCentre
	if !v.farFresh && v.regions[v.ownDataCentre] == q.Region {
		dataCentre = v.ownDataCentre
	}
	var sameDataCentre, regional, eligible, all []string
	for _, p := range v.nodes {
		if !p.Ready || p.Leaving {
			continue
		}
		all = append(all, p.CallerAddress)
		region := v.regions[p.DataCentre]
		if p.DataCentre == dataCentre {
			sameDataCentre = append(sameDataCentre, p.CallerAddress)
		}
		if region == q.Region {
			regional = append(regional, p.CallerAddress)
		}
		if region == q.Region || slices.Contains(v.boundRegions, region) {
			eligible = append(eligible, p.CallerAddress)
		}
	}
	enough := minNearbyNodes
	if len(v.boundRegions) > 0 {
		enough = 1
	}
	for _, list := range [][]string{sameDataCentre, regional} {
		if len(list) >= enough {
			return list[:min(len(list), maxAddresses)]
		}
	}
	if len(v.boundRegions) > 0 && len(eligible) > 0 {
		all = eligible
	}
	return all[:min(len(all), maxAddresses)]
}

// hostRegions returns the regions that routes of the host are bound to.
func (n *Node) hostRegions(host string) []string {
	known, _ := n.config.Current()
	if known.Table == nil {
		return nil
	}
	return known.Table.HostRegions(host)
}
