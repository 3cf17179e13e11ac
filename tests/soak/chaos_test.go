package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

const (
	// injectors is the number of goroutines that inject faults independently, so that up to three
	// faults overlap.
	injectors = 3
	// maxFaultDuration is the maximum duration of a fault and maxPause the maximum pause after it.
	maxFaultDuration = 3 * time.Second
	maxPause         = 1000 * time.Millisecond
)

// chaos injects random faults until its context ends.
type chaos struct {
	rig *rig.Rig
	wg  sync.WaitGroup
	// mu guards the fields below. busy holds the targets that have a fault, so that two injectors
	// don't inject into the same one at the same time.
	mu     sync.Mutex
	busy   map[string]bool
	counts map[string]int
	errs   []error
}

// fault is one kind of fault at one target. The name of the target excludes other injectors while
// the fault lasts.
type fault struct {
	kind, target string
	begin        func() error
	end          func() error
}

func newChaos(ctx context.Context, r *rig.Rig, seed uint64) *chaos {
	c := &chaos{rig: r, busy: map[string]bool{}, counts: map[string]int{}}
	for injector := range injectors {
		random := rand.New(rand.NewPCG(seed, 1<<32+uint64(injector)))
		c.wg.Go(func() { c.run(ctx, random) })
	}
	random := rand.New(rand.NewPCG(seed, 1<<33))
	c.wg.Go(func() { c.restorePlatform(ctx, random) })
	return c
}

func (c *chaos) wait() { c.wg.Wait() }

func (c *chaos) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f := c.choose(random)
		length := time.Duration(random.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(random.Int64N(int64(maxPause)))
		if !c.acquire(f) {
			continue
		}
		c.recordError(f.begin())
		sleep(ctx, length)
		c.recordError(f.end())
		c.release(f.target)
		sleep(ctx, pause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *chaos) acquire(f fault) bool {
	if !c.reserve(f.target) {
		return false
	}
	c.count(f.kind)
	return true
}

// reserve excludes other faults of a target until release. It returns false if the target has a
// fault.
func (c *chaos) reserve(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[target] {
		return false
	}
	c.busy[target] = true
	return true
}

func (c *chaos) release(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[target] = false
}

func (c *chaos) count(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}

func (c *chaos) recordError(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, err)
}

func (c *chaos) choose(random *rand.Rand) fault {
	switch random.IntN(6) {
	case 0:
		v := c.rig.VMs[random.IntN(len(c.rig.VMs))]
		return processFault(random, "gateway", v.Gateway, v.Gateway.Kill, v.Gateway.Start)
	case 1:
		v := c.rig.VMs[random.IntN(len(c.rig.VMs))]
		return processFault(random, "controller", v.Controller, v.Controller.Kill, v.Controller.Start)
	case 2:
		e := c.rig.Engines[random.IntN(len(c.rig.Engines))]
		if random.IntN(2) == 0 {
			return processFault(random, "engine", e.Process, e.Kill, e.Restart)
		}
		return frameFault(e)
	case 3:
		s := c.rig.Services[random.IntN(len(c.rig.Services))]
		if random.IntN(2) == 0 {
			return processFault(random, "service", s.Process, s.Kill, s.Restart)
		}
		return answerFault(s)
	case 4:
		return c.platformFault(random)
	default:
		return c.linkFault(random)
	}
}

// processFault kills a process, freezes it or terminates it gracefully; end restarts or resumes it.
func processFault(random *rand.Rand, kind string, p *rig.Process, kill func(), restart func() error) fault {
	noop := func() error { return nil }
	f := fault{target: p.Name, begin: noop}
	switch random.IntN(3) {
	case 0:
		f.kind = "kill " + kind
		f.begin = func() error { kill(); return nil }
		f.end = restart
	case 1:
		f.kind = "freeze " + kind
		f.begin = func() error { p.Freeze(); return nil }
		f.end = func() error { p.Thaw(); return nil }
	default:
		f.kind = "terminate " + kind
		f.begin = func() error { p.Terminate(); return nil }
		f.end = func() error {
			ctx, cancel := context.WithTimeout(context.Background(), restoreLimit)
			defer cancel()
			if _, err := p.Wait(ctx); err != nil {
				return err
			}
			return restart()
		}
	}
	return f
}

func frameFault(e *rig.Endpoint) fault {
	return adminFault("wrong frames", e, admin.EngineFaults{
		CrossedFrames: 0.05, DuplicateFrames: 0.05, LateFrames: 0.05, MissingFrames: 0.01, TruncatedFrames: 0.02, LoseAnswers: 0.1,
	}, admin.EngineFaults{})
}

func answerFault(s *rig.Endpoint) fault {
	return adminFault("service loses answers", s, admin.ServiceFaults{LoseAnswers: 0.3, SlowMS: 100}, admin.ServiceFaults{})
}

func adminFault(kind string, e *rig.Endpoint, on, off any) fault {
	return fault{
		kind: kind, target: e.Process.Name,
		begin: func() error { return e.Admin.SetFaults(context.Background(), on) },
		end:   func() error { return e.Admin.SetFaults(context.Background(), off) },
	}
}

func (c *chaos) platformFault(random *rand.Rand) fault {
	kinds := map[string]admin.PlatformFaults{
		"platform down":             {Down: true},
		"platform unreachable":      {Unreachable: true},
		"platform slow":             {SlowMS: 400},
		"platform loses answers":    {LoseAnswers: 0.4, LoseRequests: 0.1},
		"platform answers too late": {SlowAnswerMS: 1200},
	}
	names := []string{"platform down", "platform unreachable", "platform slow", "platform loses answers", "platform answers too late"}
	name := names[random.IntN(len(names))]
	set := func(f admin.PlatformFaults) error { return c.rig.Platform.Admin.SetFaults(context.Background(), f) }
	return fault{
		kind: name, target: "platform",
		begin: func() error { return set(kinds[name]) },
		end:   func() error { return set(admin.PlatformFaults{}) },
	}
}

// link is a proxied link and its name, by which chaos excludes other faults there.
type link struct {
	name string
	*rig.Link
}

func (c *chaos) links() []link {
	var all []link
	for _, v := range c.rig.VMs {
		all = append(all, link{v.ID + " callers", v.CallerLink}, link{v.ID + " gateway peers", v.GatewayPeerLink},
			link{v.ID + " controller peers", v.ControllerPeerLink}, link{v.ID + " gateway to platform", v.GatewayPlatformLink},
			link{v.ID + " controller to platform", v.ControllerPlatformLink})
	}
	for _, e := range append(c.rig.Engines, c.rig.Services...) {
		all = append(all, link{e.Process.Name, e.Link})
	}
	return all
}

func (c *chaos) linkFault(random *rand.Rand) fault {
	all := c.links()
	l := all[random.IntN(len(all))]
	f := fault{target: l.name, end: l.Heal}
	direction := rig.Upstream
	if random.IntN(2) == 0 {
		direction = rig.Downstream
	}
	switch random.IntN(4) {
	case 0:
		f.kind, f.begin = "cut link", func() error { l.Cut(); return nil }
	case 1:
		f.kind, f.begin = "stall link one way", func() error { return l.Stall(direction) }
	case 2:
		f.kind, f.begin = "delay link", func() error { return l.Delay(direction, 150*time.Millisecond, 50*time.Millisecond) }
	default:
		f.kind, f.begin = "reset link", l.Reset
	}
	return f
}

// restore returns the first error of the fault injection, if there was one, and otherwise waits
// until all processes are healthy and the system is ready.
func (c *chaos) restore(ctx context.Context) error {
	for _, err := range c.errs {
		return fmt.Errorf("fault injection failed: %w", err)
	}
	for _, e := range append(c.rig.Engines, c.rig.Services...) {
		if err := c.rig.WaitHealthy(ctx, e.Address); err != nil {
			return err
		}
	}
	return c.rig.WaitReady(ctx)
}
