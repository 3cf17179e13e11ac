// Package routing holds a configuration of the system as types of its own, and finds
// the route and the workspace of a request. It does no I/O.
package routing

import "time"

// Kind tells how often a request may run.
type Kind int

const (
	// NonIdempotent work runs at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent work may run again after a failure.
	Idempotent
	// Streaming work answers with events and runs at most once.
	Streaming
)

// Repeatable tells whether work that may have run may be sent again.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take here.
	Timeout time.Duration
	// TargetLatency is the time to the whole answer, or to the first event of a
	// stream, within which an answer is of full use.
	TargetLatency time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// MaxAttempts bounds the endpoints that one attempt of a caller is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public   bool
	Backends []Backend
	// Regions are those in which the route's requests may run; empty for all.
	Regions []string
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections bounds the connections that one endpoint accepts from all
	// nodes together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is how many requests a second a cold endpoint bears from all nodes
	// together; 0 for no bound.
	ColdPerSecond float64
	// Engine describes model engines; nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of generations in one batch.
	Slots int
	// Memory is the size of an engine's KV cache, in tokens.
	Memory int
	// BytesPerToken is the size of one token in the KV cache.
	BytesPerToken float64
	// LinkMbps is the bandwidth of an engine's link for moves, in Mbit/s.
	LinkMbps float64
	// CanMove tells that running generations can be moved between engines.
	CanMove bool
	// CanBackUp tells that an engine sends the memory of a run to another one as it grows.
	CanBackUp bool
	// CopyLifetime is how long an engine keeps a copy that nobody uses.
	CopyLifetime time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// CopyTime is the time in which the memory of so many tokens passes an engine's link.
func (e *EngineSpec) CopyTime(tokens int) time.Duration {
	bits := float64(tokens) * e.BytesPerToken * bitsPerByte
	seconds := bits / (max(e.LinkMbps, 1) * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is the owner of caller keys.
type Workspace struct {
	Name string
	// Priority goes before the priority of the route if Ranked is set.
	Priority int
	Ranked   bool
	// Regions are those in which the workspace's requests may run; empty for all.
	Regions []string
}

// Configuration is one version of everything that operators wrote.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Keys maps caller keys to their workspace.
	Keys map[string]*Workspace
	// NeedsKeys tells that workspaces are configured, so that routes which are not
	// public demand a key.
	NeedsKeys bool
}
