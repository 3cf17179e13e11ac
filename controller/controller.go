// Package controller is the control plane of a VM. It maintains membership with the controllers of
// other VMs, distributes each accepted configuration to the gateway of its VM, and, while it holds
// the lease of its region, sends orders to the region's engines until their roles and models match
// the configuration.
//
// One goroutine owns the state. Other goroutines send it functions through withState, and read
// immutable snapshots.
package controller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/controller/membership"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/settings"
)

// Options are the dependencies and settings of a controller.
type Options struct {
	Settings  settings.Controller
	Platform  platform.Platform
	Transport Transport
	// Engine returns a client for the engine at an IP:port.
	Engine func(address string) endpoint.Engine
	Log    *zap.Logger
	// Now is the clock; nil means time.Now. Its values must carry a monotonic part.
	Now func() time.Time
}

// Controller is the control plane of one VM. Its methods other than Run are safe for concurrent
// use.
type Controller struct {
	opts       Options
	log        *zap.Logger
	now        func() time.Time
	versions   *versionStore
	reconciler *reconciler

	// ops are the functions for the goroutine that owns the state.
	ops      chan stateOp
	stopped  chan struct{}
	snapshot atomic.Pointer[Snapshot]
	// pushSignal wakes pushLoop. Its capacity of one merges signals.
	pushSignal chan struct{}
	// fetchSlot is occupied while a configuration is fetched from a peer.
	fetchSlot chan struct{}
}

// opQueueSize bounds the number of functions queued for the goroutine that owns the state.
const opQueueSize = 256

// New returns a controller whose loops start with Run. The goroutine that owns the state starts in
// New and ends when Run returns.
func New(opts Options) *Controller {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	c := &Controller{
		opts:       opts,
		log:        opts.Log,
		now:        opts.Now,
		ops:        make(chan stateOp, opQueueSize),
		stopped:    make(chan struct{}),
		pushSignal: make(chan struct{}, 1),
		fetchSlot:  make(chan struct{}, 1),
	}
	c.versions = newVersionStore(opts.Platform, opts.Now)
	c.versions.adopted = func() uint64 { return c.Snapshot().Version() }
	c.reconciler = newReconciler(c)
	self := &peerv1.Member{
		Id:                opts.Settings.VM.ID,
		DataCentre:        opts.Settings.VM.DataCentre,
		Region:            opts.Settings.VM.Region,
		ControllerAddress: opts.Settings.PeerAddress,
		// The incarnation starts from the wall clock, so that a later process with the same ID
		// starts above an earlier one, which raised its own by one at each change, far fewer than
		// one per millisecond.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	table := membership.New(self, c.probeInterval(), rand.Uint64())
	c.snapshot.Store(newSnapshot(table, nil))
	go c.stateLoop(&state{table: table})
	return c
}

func (c *Controller) probeInterval() time.Duration {
	return time.Duration(c.opts.Settings.ProbeIntervalMS) * time.Millisecond
}

func (c *Controller) configInterval() time.Duration {
	return time.Duration(c.opts.Settings.ConfigIntervalMS) * time.Millisecond
}

// Run runs the loops of the controller until ctx ends, and releases the lease before it returns. It
// must be called at most once.
func (c *Controller) Run(ctx context.Context) error {
	var g run.Group
	for _, actor := range []func(context.Context){
		c.probeLoop, c.pushLoop, c.seedLoop, c.joinLoop, c.readLoop, c.reconciler.run,
	} {
		actorCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			actor(actorCtx)
			return nil
		}, func(error) { cancel() })
	}
	err := g.Run()
	close(c.stopped)
	return err
}

// stateLoop is the goroutine that owns the state. It publishes a snapshot after each function that
// changed it.
func (c *Controller) stateLoop(s *state) {
	for {
		select {
		case op := <-c.ops:
			op.apply(s)
			c.publish(s)
			close(op.done)
		case <-c.stopped:
			return
		}
	}
}

// stateOp is a function for the goroutine that owns the state. done is closed once its changes are
// visible in the snapshot.
type stateOp struct {
	apply func(*state)
	done  chan struct{}
}

// withState runs f in the goroutine that owns the state and waits until its changes are visible in the
// snapshot. It returns false if the controller has stopped; f may not have run then.
func (c *Controller) withState(f func(*state)) bool {
	op := stateOp{apply: f, done: make(chan struct{})}
	select {
	case c.ops <- op:
	case <-c.stopped:
		return false
	}
	select {
	case <-op.done:
		return true
	case <-c.stopped:
		return false
	}
}

// triggerPush makes pushLoop send the latest changes to the neighbours at once.
func (c *Controller) triggerPush() {
	select {
	case c.pushSignal <- struct{}{}:
	default:
	}
}

// sleepWithJitter waits for d with a jitter of 25 % in either direction, so that controllers that
// started together do not stay synchronised. It returns false if ctx ended.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		d += time.Duration(rand.Int64N(int64(d)/2+1)) - d/4
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
