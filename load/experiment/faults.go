package experiment

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Times of the faults, as fractions of Plan.Duration.
const (
	slowAt    = 0.35
	killAt    = 0.45
	restartAt = 0.60
	gatewayAt = 0.70
)

// slowFactor multiplies the step time of the slowed engine.
const slowFactor = 3

// injectFaults starts a goroutine that, at the same times in each run, slows down the first engine,
// kills and restarts the last one, and kills the last gateway. It does nothing unless Plan.Faults
// is set. The returned function skips the remaining faults and waits for the goroutine.
func (s *system) injectFaults(ctx context.Context, p Plan) (stop func()) {
	if !p.Faults {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		begin := time.Now()
		at := func(part float64, act func()) {
			select {
			case <-time.After(time.Until(begin.Add(time.Duration(part * float64(p.Duration))))):
				act()
			case <-ctx.Done():
			}
		}
		last := s.Engines[len(s.Engines)-1]
		at(slowAt, func() { _ = s.Engines[0].Admin.SetFaults(ctx, admin.EngineFaults{SlowFactor: slowFactor}) })
		at(killAt, last.Kill)
		at(restartAt, func() {
			_ = last.Restart()
			_ = s.Engines[0].Admin.SetFaults(ctx, admin.EngineFaults{})
		})
		at(gatewayAt, s.VMs[len(s.VMs)-1].Gateway.Kill)
	}()
	return func() {
		cancel()
		<-done
	}
}
