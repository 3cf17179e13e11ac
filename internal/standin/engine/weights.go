package engine

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
)

// weightsTimeout is the timeout of a call to the weight store.
const weightsTimeout = 5 * time.Second

// reserveWeights reserves a load at the weight store and returns the time to wait before it may
// begin; 0 without a weight store.
func (e *Engine) reserveWeights(o endpoint.Order) (time.Duration, error) {
	if e.options.Weights == nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), weightsTimeout)
	defer cancel()
	return e.options.Weights.Reserve(ctx, o.Model, o.Version)
}
