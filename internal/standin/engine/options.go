// Package engine implements a stand-in for an inference engine, for tests and experiments. It runs
// the step model in scaled time behind the engines' HTTP API and injects faults on demand.
package engine

import (
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
	"github.com/crocusreel/crocusreel/platform"
)

// Options configure an engine. Only the duration of steps is scaled; all other durations are
// wall-clock time.
type Options struct {
	Name string
	// Models are the initially loaded models, each NAME or NAME@VERSION; the default version
	// is 1.
	Models []string
	// Role is the initial role. Default "mixed".
	Role string
	// Params are the parameters of the step model. Default model.DefaultParams.
	Params model.Params
	// TimeScale divides the duration of each step. Default 1.
	TimeScale float64
	// MaxWaiting is the maximum number of waiting generations; more are refused. Default 1024.
	MaxWaiting int
	// MaxTokens limits the output of requests that set no limit. Default 8192.
	MaxTokens int
	// LengthMedian (in tokens) and LengthSigma are the parameters of the lognormal output
	// length. Defaults 180 and 0.9.
	LengthMedian, LengthSigma float64
	// ReportLag is the age at which load reports become visible, CacheLag that of cache events.
	ReportLag, CacheLag time.Duration
	// DetachGrace is how long a generation without streams continues before it is cancelled.
	// Default 5 s.
	DetachGrace time.Duration
	// Retention is how long an ended generation can still be resumed. Default 30 s.
	Retention time.Duration
	// KeepAlive is the interval of keep-alive bytes on streams. Default 1 s.
	KeepAlive time.Duration
	// ChecksFence refuses orders whose fencing token is lower than the highest one seen.
	ChecksFence bool
	// Deduplicate refuses generations whose idempotency key was used before, and enables
	// lookups by key.
	Deduplicate bool
	// LoadTime is the time to load weights, in addition to the wait for the weight store.
	LoadTime time.Duration
	// Weights is the weight store. If nil, loads do not wait for a reservation.
	Weights platform.Weights
	// Journal is the file in which runs are recorded; if empty they are kept in memory only.
	Journal string
	// Seed seeds the output lengths and the random faults.
	Seed uint64
	// Exit ends the process. Nil does nothing, for tests without faults that end the process.
	Exit func(status int)
}

const (
	defaultMaxWaiting   = 1024
	defaultMaxTokens    = 8192
	defaultLengthMedian = 180
	defaultLengthSigma  = 0.9
	defaultDetachGrace  = 5 * time.Second
	defaultRetention    = 30 * time.Second
	defaultKeepAlive    = time.Second
	defaultRole         = "mixed"
	defaultVersion      = "1"
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.Params, model.DefaultParams())
	orDefault(&o.TimeScale, 1)
	orDefault(&o.MaxWaiting, defaultMaxWaiting)
	orDefault(&o.MaxTokens, defaultMaxTokens)
	orDefault(&o.LengthMedian, defaultLengthMedian)
	orDefault(&o.LengthSigma, defaultLengthSigma)
	orDefault(&o.DetachGrace, defaultDetachGrace)
	orDefault(&o.Retention, defaultRetention)
	orDefault(&o.KeepAlive, defaultKeepAlive)
	orDefault(&o.Role, defaultRole)
	if o.Exit == nil {
		o.Exit = func(int) {}
	}
	return o
}
