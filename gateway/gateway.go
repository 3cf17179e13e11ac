// Package gateway is the core of crocusreel-gateway: it receives callers' requests, acquires
// permits for them, sends them to endpoints and returns complete answers.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/handle"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/scheduler"
	"github.com/crocusreel/crocusreel/settings"
)

const (
	// notReadyRetryAfter is the retry delay sent to callers of a gateway that has no configuration
	// yet.
	notReadyRetryAfter = time.Second
	// leavingRetryAfter is the retry delay sent to callers of a gateway that accepts no new work.
	// It is short because other gateways can serve them at once.
	leavingRetryAfter = 100 * time.Millisecond
	// retryBurst is the maximum number of retries that a workspace can accumulate, and
	// endpointRetryBurst that of a plain service.
	retryBurst         = 20
	endpointRetryBurst = 50
)

// permitSource is the part of the scheduler that the gateway uses.
type permitSource interface {
	scheduler.Permits
	// Apply passes new members or a new configuration to the scheduler.
	Apply(s scheduler.Snapshot)
}

// processSettings are the settings that the gateway uses, with times as durations.
type processSettings struct {
	vm            settings.VM
	callerAddress string
	peerAddress   string
	addressTTL    time.Duration
	drainLimit    time.Duration
}

// Gateway serves callers. Only the goroutine that runs watch writes state; requests read its latest
// snapshot.
type Gateway struct {
	dependencies
	settings processSettings
	log      *zap.Logger
	state    atomic.Pointer[snapshot]
	balancer *balancer
	// Retry budgets, by workspace and by plain service.
	workspaceRetryBudgets, endpointRetryBudgets *retry.Budgets
	strikes                                     *strikes
	strikeBroadcaster                           strikeBroadcaster
	records                                     *records
	running                                     *concurrency
	drain                                       drain
	backgroundTasks                             sync.WaitGroup
	callerServer                                *http.Server
	// shutdown is done when running requests must be aborted; abortAll cancels it.
	shutdown context.Context
	abortAll context.CancelFunc
}

// dependencies are the components of a gateway that do input and output.
type dependencies struct {
	permits   permitSource
	ledger    *ledger.Ledger
	signer    *handle.Signer
	node      peerv1.NodeClient
	endpoints *endpoints
	peers     gatewayPeers
}

func newGateway(s processSettings, deps dependencies, log *zap.Logger) *Gateway {
	g := &Gateway{
		settings:              s,
		dependencies:          deps,
		log:                   log,
		balancer:              newBalancer(time.Now),
		workspaceRetryBudgets: retry.NewBudgets(retryBurst),
		endpointRetryBudgets:  retry.NewBudgets(endpointRetryBurst),
		strikes:               newStrikes(),
		records:               newRecords(log),
		running:               newConcurrency(),
	}
	g.shutdown, g.abortAll = context.WithCancel(context.Background())
	return g
}

// Ready implements caller.Core.
func (g *Gateway) Ready() *crocusreel.Refusal {
	if g.state.Load() == nil {
		return crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, notReadyRetryAfter, "no configuration yet")
	}
	if g.drain.refusing() {
		return refuseLeaving()
	}
	return nil
}

// refuseLeaving returns the refusal of a request that has not run because the gateway is leaving.
func refuseLeaving() *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonShuttingDown, crocusreel.OutcomeNotRun, leavingRetryAfter, "this gateway is leaving; use another address")
}

// Workspace implements caller.Core.
func (g *Gateway) Workspace(keyDigest string) (*config.WorkspaceSpec, bool) {
	ws, ok := g.state.Load().workspaces[keyDigest]
	return ws, ok
}

// Models implements caller.Core.
func (g *Gateway) Models(ws *config.WorkspaceSpec) []string {
	s := g.state.Load()
	var names []string
	for _, m := range s.config.Models {
		if s.mayUse(ws, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}
