package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	// reportInterval is the time between two full reports of a gateway.
	reportInterval = time.Second
	// reportsPerSecond bounds the full reports that a scheduler gets, whatever the
	// number of gateways: with more, each reports less often.
	reportsPerSecond = 50
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// releaseDelay collects releases into one message. It is short against the
	// time of a token batch, so that freed memory is soon used again.
	releaseDelay = 20 * time.Millisecond
	// leastReportExpiry and missedReports set when a silent gateway is taken as gone.
	leastReportExpiry = 10 * time.Second
	missedReports     = 5
)

// reportEvery returns the time between two full reports of each of n gateways.
func reportEvery(gateways int) time.Duration {
	return max(reportInterval, time.Duration(gateways)*time.Second/reportsPerSecond)
}

// reportExpiry returns how long a scheduler keeps the permits of a silent gateway.
func reportExpiry(gateways int) time.Duration {
	return max(leastReportExpiry, missedReports*reportEvery(gateways))
}

// reportLoop sends full reports in a fixed rhythm and after each change of the
// view, and releases soon after they come.
func (m *Manager) reportLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	s := &reporter{m: m, ctx: ctx, sent: &sent, busy: make(map[string]bool), told: make(map[string]*poolView)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.full()
			timer.Reset(s.every())
		case <-m.changed:
			s.full()
		case <-m.wake:
			if !retry.Sleep(ctx, releaseDelay) {
				return
			}
			s.partial()
		}
	}
}

// reporter sends reports, each in a goroutine of its own, one at a time for each
// pool.
type reporter struct {
	m    *Manager
	ctx  context.Context
	sent *sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool
	// told is the way by which a pool's scheduler last got a full report. A new one
	// also gets the strikes learned from its predecessor. An old one does not: it may
	// have cleared some.
	told map[string]*poolView
}

func (s *reporter) every() time.Duration {
	if v := s.m.view.Load(); v != nil {
		return reportEvery(v.gateways)
	}
	return reportInterval
}

// full reports all open permits of all pools.
func (s *reporter) full() {
	v := s.m.view.Load()
	if v == nil {
		return
	}
	open := s.m.ledger.list()
	for key, pv := range v.byKey {
		s.send(pv, &gatewayReport{Gateway: s.m.opts.VMID, Open: current(open[key])})
		s.spare(pv, open[key])
	}
}

func current(open []*held) []Permit {
	permits := make([]Permit, len(open))
	for i, h := range open {
		permits[i] = h.current()
	}
	return permits
}

// spare reports to this gateway's own spare pool, if that granted anything.
func (s *reporter) spare(pv *poolView, open []*held) {
	var permits []Permit
	for _, h := range open {
		if h.spare {
			permits = append(permits, h.current())
		}
	}
	if len(permits) > 0 {
		pv.spare.send(reportEvent{report: &gatewayReport{Gateway: s.m.opts.VMID, Open: permits}})
	}
}

// partial sends releases only.
func (s *reporter) partial() {
	v := s.m.view.Load()
	if v == nil {
		return
	}
	for _, key := range s.m.ledger.pending() {
		if pv, ok := v.byKey[key]; ok {
			s.send(pv, &gatewayReport{Gateway: s.m.opts.VMID, Partial: true})
			continue
		}
		// The pool is gone with the configuration; nobody counts its permits.
		s.m.ledger.take(key)
	}
}

func (s *reporter) send(pv *poolView, r *gatewayReport) {
	if !s.begin(pv.key) {
		return
	}
	r.Releases = s.m.ledger.take(pv.key)
	if !r.Partial && !s.knows(pv) {
		r.Strikes = s.m.ledger.known(pv.key)
	}
	s.sent.Add(1)
	go func() {
		defer s.sent.Done()
		ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
		defer cancel()
		strikes, err := s.deliver(ctx, pv, r)
		if err != nil {
			metrics.Count("reports_failed")
			s.m.ledger.give(pv.key, r.Releases...)
		} else if !r.Partial {
			s.m.ledger.learn(pv.key, strikes)
		}
		s.finish(pv, r.Partial, err)
	}()
}

// knows tells whether the scheduler has had a full report from here.
func (s *reporter) knows(pv *poolView) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.told[pv.key]
	return before != nil && before.moved == pv.moved
}

func (s *reporter) deliver(ctx context.Context, pv *poolView, r *gatewayReport) ([]policy.Strike, error) {
	metrics.Count("reports_sent")
	if pv.remote == nil {
		return pv.main.report(ctx, r)
	}
	strikes, err := pv.remote.report(ctx, r, pv.key, s.m.now())
	if s.ctx.Err() == nil {
		pv.remote.reported(err)
	}
	return strikes, err
}

// begin claims a pool for one report. A slow scheduler gets no second report
// before the first is answered.
func (s *reporter) begin(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[key] {
		return false
	}
	s.busy[key] = true
	return true
}

// finish frees the pool. Releases that came meanwhile go out at once, unless the
// scheduler does not answer: then they wait for the next full report.
func (s *reporter) finish(pv *poolView, partial bool, err error) {
	s.mu.Lock()
	s.busy[pv.key] = false
	if err == nil && !partial {
		s.told[pv.key] = pv
	}
	s.mu.Unlock()
	if err == nil && len(s.m.ledger.pending()) > 0 {
		signal(s.m.wake)
	}
}
