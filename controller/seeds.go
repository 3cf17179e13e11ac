package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

const (
	// seedInterval is the time between two reads of the platform's VM list. The list lags behind in
	// any case; probes keep the membership current.
	seedInterval = 30 * time.Second
	// joinInterval is the minimum time between two full membership exchanges with a random member.
	// They repair the loss of individual updates.
	joinInterval = 20 * time.Second
	// joinIntervalPerMember lengthens the interval with the number of members. An exchange grows
	// with that number too, so the bytes per second stay constant.
	joinIntervalPerMember = 200 * time.Millisecond
	// maxSeedRetryDelay bounds the wait between two reads of the VM list while no other member is
	// known.
	maxSeedRetryDelay = 5 * time.Second
)

// seedLoop reads the platform's VM list: at short intervals until another member is known, and then
// every seedInterval.
func (c *Controller) seedLoop(ctx context.Context) {
	for {
		vms, err := c.opts.Platform.ListVMs(ctx)
		if err == nil {
			c.withState(func(s *state) { s.seeds = vms })
			c.joinSeeds(ctx)
		} else if ctx.Err() == nil {
			c.log.Debug("reading the platform's VM list failed", zap.Error(err))
		}
		wait := seedInterval
		if len(c.Snapshot().Members) == 1 {
			wait = min(2*c.probeInterval(), maxSeedRetryDelay)
		}
		if !sleepWithJitter(ctx, wait) {
			return
		}
	}
}

// joinSeeds makes a full membership exchange with randomly chosen VMs of the list until another
// member is known, with a bounded number of tries.
func (c *Controller) joinSeeds(ctx context.Context) {
	const tries = 3
	for range tries {
		var target *peerv1.Member
		c.withState(func(s *state) { target = lostMember(s) })
		if len(c.Snapshot().Members) > 1 || target == nil {
			return
		}
		c.join(ctx, target.ControllerAddress)
	}
}

// joinLoop periodically makes a full membership exchange with a random member.
func (c *Controller) joinLoop(ctx context.Context) {
	for {
		members := time.Duration(len(c.Snapshot().Members))
		if !sleepWithJitter(ctx, max(joinInterval, members*joinIntervalPerMember)) {
			return
		}
		var target *peerv1.Member
		c.withState(func(s *state) { target = s.table.RandomLive() })
		if target != nil {
			c.join(ctx, target.ControllerAddress)
		}
	}
}

// join sends this VM's record to the controller at address and applies all records that it returns.
// Errors are ignored, since the callers try again.
func (c *Controller) join(ctx context.Context, address string) {
	req := &peerv1.JoinRequest{From: c.Snapshot().Self}
	ctx, cancel := context.WithTimeout(ctx, 2*c.pingTimeout())
	defer cancel()
	res, err := c.opts.Transport.Join(ctx, address, req)
	if err != nil {
		return
	}
	c.withState(func(s *state) { c.applyAll(s, res.Members) })
	c.fetchIfNewer(address, res.ConfigVersion)
}
