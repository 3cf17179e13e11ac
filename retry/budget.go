// Package retry limits retries with a budget per workspace and endpoint, and computes the delays
// between attempts. It performs no I/O and, except for the timer of Sleep, uses no clock of its
// own.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget is a token bucket that gains a fraction of a token for each first attempt and loses one
// token for each retry. After an outage, all waiting requests are retried at once. Without a
// budget, the load on the surviving endpoints would be the offered load times the maximum number of
// attempts, and they would fail as well.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. Ratio is the number of retries gained per first attempt, and
// burst the maximum number that can accumulate.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

func (b *Budget) setRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// AllowRetry takes one retry from the budget. It returns false if none is left.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns a random delay before the given attempt, counted from 1: uniform between 0 and
// base*2^(attempt-1), at most limit. This full jitter keeps callers that were disconnected together
// from returning together.
func Backoff(attempt int, base, limit time.Duration) time.Duration {
	ceiling := limit
	if shift := attempt - 1; shift < 20 && base<<shift < limit {
		ceiling = base << shift
	}
	return time.Duration(rand.Int64N(int64(ceiling) + 1))
}

// Budgets holds one budget per name, such as a workspace or an endpoint.
type Budgets struct {
	mu      sync.Mutex
	burst   float64
	budgets map[string]*Budget
}

// NewBudgets returns an empty set whose budgets accumulate at most burst retries each.
func NewBudgets(burst float64) *Budgets {
	return &Budgets{burst: burst, budgets: make(map[string]*Budget)}
}

// Get returns the budget with the given name and sets its ratio. If there is none yet, it creates a
// full one. A new ratio changes what later attempts gain, not what has been spent. Names come from the
// configuration, so their number is bounded.
func (s *Budgets) Get(name string, ratio float64) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[name]
	if !ok {
		b = NewBudget(ratio, s.burst)
		s.budgets[name] = b
	}
	b.setRatio(ratio)
	return b
}
