// Package scheduler grants permits to run work at the engines of one pool: the
// engines of one region that serve one model, or several models if they share
// engines. One gateway is the scheduler of a pool at a time, chosen by rendezvous
// hashing over the live gateways of the region; its state is rebuilt from the
// gateways' reports when it moves.
package scheduler

import (
	"context"
	"hash/fnv"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
)

// Request asks for a permit to run one generation.
type Request struct {
	RequestID string
	// Gateway is the VM ID of the gateway that asks.
	Gateway      string
	Model        string
	Adapter      string
	Workspace    string
	Class        crocusreel.Class
	Priority     crocusreel.Priority
	PromptTokens int
	// MaxTokens is the caller's bound in tokens; 0 if none.
	MaxTokens int
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64
	// Excluded are endpoints at which this request already failed.
	Excluded []string
	// Fingerprint is a hash over workspace, model and body.
	Fingerprint uint64
	// LengthHint is the length in tokens that the caller expects, 0 if it does not
	// tell; only the oracle policy reads it.
	LengthHint int
	// Losses are permits for this fingerprint whose answers the gateway lost lately,
	// and Strikes what it knows against the fingerprint. Whichever scheduler is asked
	// learns of them before it grants another engine.
	Losses  []Permit
	Strikes []policy.Strike
}

// Permit allows one generation at one endpoint.
type Permit struct {
	ID        string
	Endpoint  string
	Model     string
	Workspace string
	Class     crocusreel.Class
	// PromptTokens and Produced count tokens; Produced is kept by the gateway.
	PromptTokens int
	Produced     int
	MaxTokens    int
	// EnginePriority is passed to the engine; the lowest is preempted first.
	EnginePriority int
	Fingerprint    uint64
	LengthHint     int
	// Incarnation is the engine's when the permit was granted; empty if it was not known.
	Incarnation string
}

// deathID identifies the deathID of the permit's engine. All answers that an engine's deathID
// interrupted have the same: a prompt that many callers send alike has died once, not many
// times.
func (p *Permit) deathID() uint64 {
	h := fnv.New64a()
	if p.Incarnation == "" {
		_, _ = h.Write([]byte(p.ID))
		return h.Sum64()
	}
	_, _ = h.Write([]byte(p.Endpoint + "\x00" + p.Incarnation))
	return h.Sum64()
}

// EndReason tells how a permit ended.
type EndReason string

const (
	// EndFinished means that the answer is whole; its length is known.
	EndFinished EndReason = "finished"
	// EndCancelled means that the caller gave up; the length is censored.
	EndCancelled EndReason = "cancelled"
	// EndNotStarted means that the engine certainly did not start the work.
	EndNotStarted EndReason = "not_started"
	// EndEndpointLost means that the endpoint died or the link to it broke.
	EndEndpointLost EndReason = "endpoint_lost"
)

// Release returns a permit.
type Release struct {
	Permit Permit
	End    EndReason
}

// Permits is how gateways get permits, from a scheduler of their own process or
// of another. Acquire waits in the pool's queue until ctx ends; it returns a
// *crocusreel.Refusal if the scheduler refuses.
type Permits interface {
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Update tells how many tokens a held permit has produced.
	Update(permitID string, produced int)
	// Release returns the permit. It waits for the scheduler, for a fraction of a
	// second at most, only if the endpoint was lost.
	Release(r Release)
}
