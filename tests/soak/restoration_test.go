package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/knowledge"
)

const (
	// maxCopyTime is the maximum time between the copy and the loss of the platform, and maxAwayTime
	// the maximum time of the loss.
	maxCopyTime = 3 * time.Second
	maxAwayTime = 1500 * time.Millisecond
	// rewriteSlack is the time beyond knowledge.RewriteTime until gateways may fail again.
	rewriteSlack = time.Second
)

// restorePlatform restores the platform from older copies until ctx ends. Meanwhile it keeps other
// faults away from the gateways: the records of one that fails would stay lost.
func (c *chaos) restorePlatform(ctx context.Context, random *rand.Rand) {
	targets := []string{"platform"}
	for _, v := range c.rig.VMs {
		targets = append(targets, v.Gateway.Name, v.ID+" gateway to platform")
	}
	set := func(f admin.PlatformFaults) {
		c.recordError(c.rig.Platform.Admin.SetFaults(context.Background(), f))
	}
	for ctx.Err() == nil {
		copyTime := time.Duration(random.Int64N(int64(maxCopyTime)))
		awayTime := time.Duration(random.Int64N(int64(maxAwayTime)))
		for _, target := range targets {
			for !c.reserve(target) {
				sleep(context.Background(), 20*time.Millisecond)
			}
		}
		set(admin.PlatformFaults{KeepCopy: true})
		sleep(ctx, copyTime)
		set(admin.PlatformFaults{Unreachable: true})
		sleep(ctx, awayTime)
		set(admin.PlatformFaults{Restore: true})
		c.count("platform restored")
		sleep(context.Background(), knowledge.RewriteTime+rewriteSlack)
		for _, target := range targets {
			c.release(target)
		}
		sleep(ctx, maxFaultDuration)
	}
}
