package experiment

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Times of the faults, as fractions of Plan.Duration.
const (
	engineSlowAt    = 0.35
	engineKillAt    = 0.45
	engineRestartAt = 0.60
	gatewayKillAt   = 0.70
)

// slowFactor multiplies the step time of the slowed engine.
const slowFactor = 3

// injectFaults starts a goroutine that injects faults at the same times in each run: it slows down the
// first engine, kills the last one, restarts it and ends the slowdown, and kills the last gateway. It
// does nothing unless Plan.Faults is set. The returned function skips the remaining faults and waits
// for the goroutine.
func (s *system) injectFaults(ctx context.Context, p Plan) (stop func()) {
	if !p.Faults {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		begin := time.Now()
		at := func(fraction float64, inject func()) {
			select {
			case <-time.After(time.Until(begin.Add(time.Duration(fraction * float64(p.Duration))))):
				inject()
			case <-ctx.Done():
			}
		}
		last := s.Engines[len(s.Engines)-1]
		at(engineSlowAt, func() { _ = s.Engines[0].Admin.SetFaults(ctx, admin.EngineFaults{SlowFactor: slowFactor}) })
		at(engineKillAt, last.Kill)
		at(engineRestartAt, func() {
			_ = last.Restart()
			_ = s.Engines[0].Admin.SetFaults(ctx, admin.EngineFaults{})
		})
		at(gatewayKillAt, s.VMs[len(s.VMs)-1].Gateway.Kill)
	}()
	return func() {
		cancel()
		<-done
	}
}
