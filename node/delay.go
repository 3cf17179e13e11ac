package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter returns a random duration between half of d and d, so that nodes that were disconnected
// together do not reconnect at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
