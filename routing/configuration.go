// Package routing defines the configuration of the system in its own types, and finds the route and
// the workspace of a request. It performs no I/O.
package routing

import "time"

// Kind determines how often a request may run.
type Kind int

const (
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after a failure.
	Idempotent
	// Streaming requests are answered with events. They run at most once, unless their route is
	// resumable.
	Streaming
)

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take in this system.
	Timeout time.Duration
	// TargetLatency is the time to the complete answer, or to the first event of a stream, up to
	// which an answer has its full value to the caller.
	TargetLatency time.Duration
	// GapTarget is the longest pause between two events of a stream with which an answer has its full
	// value to the caller; 0 if the route has no such target.
	GapTarget time.Duration
	// Resumable is set if a stream of the route may run again from the event after the last one that
	// was delivered.
	Resumable bool
	// Priority orders requests; 0 is served first.
	Priority int
	// MaxAttempts is the maximum number of times that a request may run for one attempt of a
	// caller. Endpoints that certainly did not run it do not count.
	MaxAttempts int
	// Public is set for a route that requires no key.
	Public   bool
	Backends []Backend
	// Regions are the regions in which requests of the route may run; empty for all.
	Regions []string
}

// Repeatable reports whether a request of the route that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend is a service that receives a share of a route's requests, in proportion to its weight.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts from all nodes
	// together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after it starts.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold endpoint can handle from all
	// nodes together; 0 for no limit.
	ColdPerSecond float64
	// Engine describes the model engines of the service; nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the maximum number of generations in one batch.
	Slots int
	// CacheTokens is the size of an engine's KV cache, in tokens.
	CacheTokens int
	// BytesPerToken is the size of one token in the KV cache.
	BytesPerToken float64
	// LinkMbps is the bandwidth of an engine's link for moves, in Mbit/s.
	LinkMbps float64
	// CanMove is set if running generations can be moved between engines.
	CanMove bool
	// CanBackUp is set if an engine can send the KV cache of a run to another engine as it grows.
	CanBackUp bool
	// CopyLifetime is how long an engine keeps an unused copy of a KV cache.
	CopyLifetime time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// CopyTime returns the time to transfer the KV cache of the given number of tokens over an engine's
// link.
func (e *EngineSpec) CopyTime(tokens int) time.Duration {
	bits := float64(tokens) * e.BytesPerToken * bitsPerByte
	seconds := bits / (max(e.LinkMbps, 1) * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// Limits are the limits on requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is the owner of caller keys.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of the route if Ranked is set.
	Priority int
	Ranked   bool
	// Regions are the regions in which requests of the workspace may run; empty for all.
	Regions []string
}

// Configuration is one version of the complete configuration that operators have written.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Keys maps caller keys to their workspaces.
	Keys map[string]*Workspace
	// NeedsKeys is set if workspaces are configured, in which case routes that are not public
	// require a key.
	NeedsKeys bool
}
