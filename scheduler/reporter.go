package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	// reportInterval is the shortest time between two periodic full reports of a gateway.
	reportInterval = time.Second
	// reportsPerSecond bounds the periodic full reports that a scheduler receives, whatever the
	// number of gateways: with more gateways, each reports less often.
	reportsPerSecond = 50
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// releaseBatchDelay is how long releases are collected into one message. It is short compared
	// with the time of a token batch, so that freed memory is reused soon.
	releaseBatchDelay = 20 * time.Millisecond
	// minReportExpiry and missedReports determine when a gateway that does not report counts as
	// gone.
	minReportExpiry = 10 * time.Second
	missedReports   = 5
)

// reportIntervalFor returns the time between two full reports of each gateway.
func reportIntervalFor(gateways int) time.Duration {
	return max(reportInterval, time.Duration(gateways)*time.Second/reportsPerSecond)
}

// reportExpiry returns how long a scheduler keeps the permits of a gateway that does not report.
func reportExpiry(gateways int) time.Duration {
	return max(minReportExpiry, missedReports*reportIntervalFor(gateways))
}

// reportLoop sends full reports periodically, after each change of the view and after lost
// answers, and sends releases shortly after they are queued.
func (m *Manager) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var inFlightReports sync.WaitGroup
	defer inFlightReports.Wait()
	s := &reporter{m: m, ctx: ctx, inFlightReports: &inFlightReports, busy: make(map[string]bool), lastFullReport: make(map[string]*poolView)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.sendFullReports()
			timer.Reset(s.interval())
		case <-m.fullReportDue:
			s.sendFullReports()
		case <-m.releasesDue:
			if !retry.Sleep(ctx, releaseBatchDelay) {
				return
			}
			s.sendReleases()
		}
	}
}

// reporter sends reports in separate goroutines, at most one at a time for each pool.
type reporter struct {
	m               *Manager
	ctx             context.Context
	inFlightReports *sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool
	// lastFullReport holds the view under which each pool's scheduler last received a full report.
	// A new scheduler also gets the strikes received from its predecessor. A scheduler that already
	// had a report does not, since it may have cleared some of them.
	lastFullReport map[string]*poolView
}

func (s *reporter) interval() time.Duration {
	if v := s.m.view.Load(); v != nil {
		return reportIntervalFor(v.gateways)
	}
	return reportInterval
}

// sendFullReports reports all open permits of all pools.
func (s *reporter) sendFullReports() {
	v := s.m.view.Load()
	if v == nil {
		return
	}
	open := s.m.permits.openByPool()
	for key, pv := range v.byKey {
		s.send(pv, &gatewayReport{Gateway: s.m.opts.VMID, Open: currentPermits(open[key])})
		s.reportFallback(pv, open[key])
	}
}

func currentPermits(open []*heldPermit) []Permit {
	permits := make([]Permit, len(open))
	for i, h := range open {
		permits[i] = h.currentPermit()
	}
	return permits
}

// reportFallback reports to this gateway's own fallback pool if it has granted any of the permits.
func (s *reporter) reportFallback(pv *poolView, open []*heldPermit) {
	var permits []Permit
	for _, h := range open {
		if h.fallback {
			permits = append(permits, h.currentPermit())
		}
	}
	if len(permits) > 0 {
		pv.fallback.send(reportEvent{report: &gatewayReport{Gateway: s.m.opts.VMID, Open: permits}})
	}
}

// sendReleases sends the queued releases only.
func (s *reporter) sendReleases() {
	v := s.m.view.Load()
	if v == nil {
		return
	}
	for _, key := range s.m.permits.poolsWithReleases() {
		if pv, ok := v.byKey[key]; ok {
			s.send(pv, &gatewayReport{Gateway: s.m.opts.VMID, Partial: true})
			continue
		}
		// The configuration no longer contains the pool, so nothing counts its permits.
		s.m.permits.takeReleases(key)
	}
}

func (s *reporter) send(pv *poolView, r *gatewayReport) {
	if !s.claim(pv.key) {
		return
	}
	r.Releases = s.m.permits.takeReleases(pv.key)
	if !r.Partial && !s.hasFullReport(pv) {
		r.Strikes = s.m.permits.strikesFrom(pv.key)
		r.Quarantines = s.m.permits.quarantinesFrom(pv.key)
	}
	s.inFlightReports.Add(1)
	go func() {
		defer s.inFlightReports.Done()
		ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
		defer cancel()
		remember, err := s.deliver(ctx, pv, r)
		if err != nil {
			metrics.Count("reports_failed")
			s.m.permits.queueReleases(pv.key, r.Releases...)
		} else if !r.Partial {
			s.m.permits.remember(pv.key, remember)
		}
		s.finish(pv, r.Partial, err)
	}()
}

// hasFullReport reports whether the pool's current scheduler has received a full report from this
// gateway.
func (s *reporter) hasFullReport(pv *poolView) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.lastFullReport[pv.key]
	return before != nil && before.schedulerCtx == pv.schedulerCtx
}

func (s *reporter) deliver(ctx context.Context, pv *poolView, r *gatewayReport) (toRemember, error) {
	metrics.Count("reports_sent")
	if pv.remote == nil {
		return pv.primary.report(ctx, r)
	}
	remember, err := pv.remote.report(ctx, r, pv.key, s.m.now())
	if s.ctx.Err() == nil {
		pv.remote.recordReport(err)
	}
	return remember, err
}

// claim reserves a pool for one report. A slow scheduler gets no second report before it has
// answered the first.
func (s *reporter) claim(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[key] {
		return false
	}
	s.busy[key] = true
	return true
}

// finish ends the claim on a pool. Releases queued in the meantime are sent at once, unless the
// report failed: they then wait for the next report.
func (s *reporter) finish(pv *poolView, partial bool, err error) {
	s.mu.Lock()
	s.busy[pv.key] = false
	if err == nil && !partial {
		s.lastFullReport[pv.key] = pv
	}
	s.mu.Unlock()
	if err == nil && len(s.m.permits.poolsWithReleases()) > 0 {
		signal(s.m.releasesDue)
	}
}
