package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// MetricsPort and PathMetrics are where counters and histograms are served.
	MetricsPort = 9464
	PathMetrics = "/debug/vars"

	// addressTTL is how long callers may keep an answer: short, so that they leave a
	// node soon that is about to stop, at the price of a question a caller and second.
	addressTTL = 1500 * time.Millisecond
	// youngTTL is used while the node is young: the first node that is up after a
	// restart of all would otherwise keep every caller.
	youngTTL = 400 * time.Millisecond
	youngFor = 3 * time.Second
	// enoughNearby is the number of ready nodes in the caller's data centre from which
	// no others are named.
	enoughNearby = 2
	// maxAddresses bounds an answer; callers read no more.
	maxAddresses = 64
)

// ready tells whether callers may be sent here.
func (n *Node) ready() bool {
	known, ages := n.config.Current()
	return known.Table != nil && n.evacuations.Version() > 0 && !n.gate.Leaving() && ages.Confirmed < n.keysLimit()
}

// tellReadiness has all nodes told at once when callers may be sent here, or no longer. Nodes
// that start wait for the first one that is ready, and callers are sent to those that are;
// the next regular round may be seconds away where there are hundreds of nodes.
func (n *Node) tellReadiness() {
	if now := n.ready(); n.toldReady.Swap(now) != now {
		n.gossip.TellAll()
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
		question, err := platform.ReadAddressQuestion(c.Request())
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		addresses := n.addresses(question)
		if len(addresses) == 0 {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "no node is ready")
		}
		return c.JSON(http.StatusOK, platform.AddressAnswer{Addresses: addresses, TTLSeconds: n.addressTTL().Seconds()})
	})
	return e
}

func (n *Node) addressTTL() time.Duration {
	ttl := addressTTL
	if boottime.Now()-n.started < youngFor {
		ttl = youngTTL
	}
	return min(ttl, n.settings.AddressTTLLimit)
}

// addresses lists ready nodes for a caller.
func (n *Node) addresses(q platform.AddressQuestion) []string {
	nodes := n.gossip.Live()
	if n.ready() {
		nodes = append(nodes, gossip.Peer{
			CallerAddress: n.settings.CallerAddress,
			DataCentre:    n.settings.DataCentre,
			Ready:         true,
		})
	}
	v := addressView{
		nodes: nodes, regions: n.settings.Regions, bound: n.hostRegions(q.Host),
		own: n.settings.DataCentre, farFresh: n.gossip.FarLiveTime() <= addressFreshness,
	}
	return v.choose(q)
}

// addressFreshness is the time within which a node that is gone may still be named.
const addressFreshness = 5 * time.Second

// addressView is what address answers are made from.
type addressView struct {
	nodes   []gossip.Peer
	regions map[string]string
	// bound are the regions to which the host's routes are bound; empty for none.
	bound []string
	// own is this node's data centre; farFresh tells whether losses in others show within
	// addressFreshness.
	own      string
	farFresh bool
}

// choose lists nodes of the caller's data centre if there are enough, else those of its region;
// else those of the regions to which the host's routes are bound, so that the caller's request
// does not leave them needlessly; else all. Where losses elsewhere show late, a caller of
// another data centre of the region is sent to this one.
func (v *addressView) choose(q platform.AddressQuestion) []string {
	dataCentre := q.DataCentre
	if !v.farFresh && v.regions[v.own] == q.Region {
		dataCentre = v.own
	}
	var near, regional, home, all []string
	for _, p := range v.nodes {
		if !p.Ready || p.Leaving {
			continue
		}
		all = append(all, p.CallerAddress)
		region := v.regions[p.DataCentre]
		if p.DataCentre == dataCentre {
			near = append(near, p.CallerAddress)
		}
		if region == q.Region {
			regional = append(regional, p.CallerAddress)
		}
		if region == q.Region || slices.Contains(v.bound, region) {
			home = append(home, p.CallerAddress)
		}
	}
	enough := enoughNearby
	if len(v.bound) > 0 {
		enough = 1
	}
	for _, list := range [][]string{near, regional} {
		if len(list) >= enough {
			return list[:min(len(list), maxAddresses)]
		}
	}
	if len(v.bound) > 0 && len(home) > 0 {
		all = home
	}
	return all[:min(len(all), maxAddresses)]
}

// hostRegions returns the regions to which routes of the host are bound.
func (n *Node) hostRegions(host string) []string {
	known, _ := n.config.Current()
	if known.Table == nil {
		return nil
	}
	return known.Table.HostRegions(host)
}

const (
	// leaveMargin is the time before the platform kills the process in which it ends
	// by itself.
	leaveMargin = 400 * time.Millisecond
	// leaveServing is how long a leaving node goes on accepting: until the answers that
	// name it have expired also at callers that keep them three times as long.
	leaveServing = 3*addressTTL + 200*time.Millisecond
	// leaveCheck is the pause between two looks at what still runs.
	leaveCheck = 20 * time.Millisecond
)

// awaitSignal ends the process after SIGTERM: callers are sent elsewhere at once, and
// requests under way are finished within the grace time.
func (n *Node) awaitSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload()
				continue
			}
			n.leave(ctx, s)
			return nil
		}
	}
}

// reload reads the settings again. Addresses and bounds are fixed for the life of a
// process, so only seeds are taken over.
func (n *Node) reload() {
	s, err := platform.LoadNodeSettings()
	if err != nil {
		n.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			n.gossip.Add(host)
		}
	}
	n.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

func (n *Node) leave(ctx context.Context, s os.Signal) {
	stopsAt := time.Now().Add(n.settings.ShutdownGrace - leaveMargin)
	n.gate.Leave(stopsAt)
	n.tellReadiness()
	n.log.Info("node leaving", zap.String("signal", s.String()), zap.Int("requests", n.gate.Inside()))
	pause(ctx, min(leaveServing, time.Until(stopsAt)))
	for time.Now().Before(stopsAt) && !n.gate.Close() {
		pause(ctx, leaveCheck)
	}
	n.log.Info("node stopped", zap.Int("requests", n.gate.Inside()))
}
