package gateway

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// streamLimitRetry is when a workspace at its limit is told to come back.
const streamLimitRetry = 500 * time.Millisecond

// concurrency counts the running requests of each workspace. Without a bound one
// workspace's burst takes this gateway's memory from all others.
type concurrency struct {
	mu      sync.Mutex
	running map[string]int
	all     int
}

func newConcurrency() *concurrency {
	return &concurrency{running: make(map[string]int)}
}

func (c *concurrency) enter(workspace string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.running[workspace] >= limit {
		return false
	}
	c.running[workspace]++
	c.all++
	return true
}

func (c *concurrency) leave(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all--
	if c.running[workspace]--; c.running[workspace] == 0 {
		delete(c.running, workspace)
	}
}

func (c *concurrency) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// AcquireSlot implements caller.Core.
func (g *Gateway) AcquireSlot(ws *config.WorkspaceSpec) (func(), *crocusreel.Refusal) {
	if !g.running.enter(ws.Name, ws.MaxStreams) {
		return nil, crocusreel.Refuse(crocusreel.ReasonStreamLimit, crocusreel.OutcomeNotRun, streamLimitRetry,
			"workspace has %d requests running at this gateway", ws.MaxStreams)
	}
	return func() { g.running.leave(ws.Name) }, nil
}

// payRetry takes one retry from the budgets of the workspace and of the plain service
// that would get it. Without a budget for each endpoint the retries of many
// workspaces, each within its own, add up at the last service that is alive.
func (g *Gateway) payRetry(workspace, endpoint string, ratio float64) bool {
	if g.endpointBudgets.Get(endpoint, ratio).AllowRetry() && g.budgets.Get(workspace, ratio).AllowRetry() {
		return true
	}
	metrics.Count("retry_denied")
	return false
}
