package gateway

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// streamLimitRetryAfter is the retry delay sent to callers of a workspace that is at its limit.
const streamLimitRetryAfter = 500 * time.Millisecond

// concurrency counts and limits the running requests of each workspace. Without a limit, a burst
// from one workspace would use up this gateway's memory at the expense of all others.
type concurrency struct {
	mu           sync.Mutex
	running      map[string]int
	runningTotal int
	// closed is set at the end of a drain; no further requests run then.
	closed bool
}

func newConcurrency() *concurrency {
	return &concurrency{running: make(map[string]int)}
}

// acquire counts a request of the workspace as running, unless it returns a refusal.
func (c *concurrency) acquire(workspace string, limit int) *crocusreel.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return refuseLeaving()
	case limit > 0 && c.running[workspace] >= limit:
		return crocusreel.Refuse(crocusreel.ReasonStreamLimit, crocusreel.OutcomeNotRun, streamLimitRetryAfter,
			"workspace has %d requests running at this gateway", limit)
	}
	c.running[workspace]++
	c.runningTotal++
	return nil
}

// closeIfIdle lets no further requests run if none is running, and reports whether that is so. A request
// whose body was still being read could otherwise start after the drain has ended.
func (c *concurrency) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || c.runningTotal == 0
	return c.closed
}

// close lets no further requests run.
func (c *concurrency) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *concurrency) release(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningTotal--
	if c.running[workspace]--; c.running[workspace] == 0 {
		delete(c.running, workspace)
	}
}

func (c *concurrency) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningTotal
}

// AcquireSlot implements caller.Core.
func (g *Gateway) AcquireSlot(ws *config.WorkspaceSpec) (func(), *crocusreel.Refusal) {
	if refusal := g.running.acquire(ws.Name, ws.MaxStreams); refusal != nil {
		return nil, refusal
	}
	return func() { g.running.release(ws.Name) }, nil
}

// allowRetry takes one retry from the budgets of the workspace and of the plain service that would
// receive it, and returns false if either has none left. Without a budget per endpoint, the retries
// of many workspaces, each within its own budget, would add up at the last service that is alive.
func (g *Gateway) allowRetry(workspace, endpoint string, ratio float64) bool {
	if g.endpointRetryBudgets.Get(endpoint, ratio).AllowRetry() && g.workspaceRetryBudgets.Get(workspace, ratio).AllowRetry() {
		return true
	}
	metrics.Count("retry_denied")
	return false
}
