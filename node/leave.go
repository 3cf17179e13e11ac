package node

import (
	"context"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// shutdownMargin is the time from the end of the last requests until the platform would kill the
	// process. shutdownTime is the part of it in which the last answers are delivered.
	shutdownMargin = 400 * time.Millisecond
	shutdownTime   = 200 * time.Millisecond
	// leaveAcceptPeriod is how long answers that name a leaving node may be in use, even at callers
	// that cache them three times as long.
	leaveAcceptPeriod = 3*addressTTL + 200*time.Millisecond
	// leaveCheckInterval is the interval at which a leaving node checks for requests in flight.
	leaveCheckInterval = 20 * time.Millisecond
)

// watchSignals returns the signals that the process receives from now on. A signal that arrives while
// the node is starting is kept until awaitSignal reads it.
func watchSignals() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// awaitSignal shuts the node down after SIGTERM or SIGINT: callers are sent elsewhere at once, and
// requests in flight are completed within the grace period. SIGHUP reloads the settings.
func (n *Node) awaitSignal(ctx context.Context, signals chan os.Signal) error {
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

// reload reads the settings again and adds new seeds. Addresses and bounds are fixed for the
// lifetime of the process.
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

// leave drains the node: it serves until answers that name it have expired and no request is in flight,
// at most until the end of the grace period, and then delivers the answers that are being written.
func (n *Node) leave(ctx context.Context, s os.Signal) {
	now := time.Now()
	plan := drain.Schedule{LeavesAt: now, AddressesExpire: now.Add(leaveAcceptPeriod), StopsAt: now.Add(n.settings.ShutdownGrace - shutdownMargin)}
	n.gate.Leave(plan)
	n.announceReadiness()
	n.log.Info("node leaving", zap.String("signal", s.String()), zap.Int("requests", n.gate.InFlight()),
		zap.Duration("stops_in", plan.StopsAt.Sub(now)))
	pause(ctx, min(leaveAcceptPeriod, time.Until(plan.StopsAt)))
	for time.Now().Before(plan.StopsAt) && !n.gate.CloseIfIdle() {
		pause(ctx, leaveCheckInterval)
	}
	ended := n.gate.Close()
	for _, r := range ended {
		n.log.Info("request ended by the stop", append(r.LogFields(), zap.String("request", r.ID()))...)
	}
	n.shutDownServers()
	n.log.Info("node stopped", zap.Int("requests", len(ended)), zap.Int("without_answer", n.gate.InFlight()))
}

// shutDownServers delivers the answers that are being written, within shutdownTime, and closes all
// listeners and connections. Connections that arrive meanwhile are refused, so that their callers know
// that their requests were not read.
func (n *Node) shutDownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	// Ends the calls of other nodes that wait for changes.
	n.changes.notify()
	var all sync.WaitGroup
	all.Go(func() { n.callerServer.shutDown(ctx) })
	for _, s := range n.servers {
		all.Go(func() { peer.Shutdown(ctx, s) })
	}
	all.Wait()
}
