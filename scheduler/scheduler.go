// Package scheduler grants permits to run requests at the engines of one pool: the engines of one
// region that serve one model, or several models if they share engines. At any time one gateway is
// the scheduler of a pool, chosen by rendezvous hashing over the live gateways of the region. When
// the scheduler moves, its state is rebuilt from the gateways' reports.
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
	// Gateway is the VM ID of the requesting gateway.
	Gateway      string
	Model        string
	Adapter      string
	Workspace    string
	Class        crocusreel.Class
	Priority     crocusreel.Priority
	PromptTokens int
	// MaxTokens is the limit on the length of the answer in tokens; 0 means none.
	MaxTokens int
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64
	// Excluded are the endpoints at which this request has already failed, and the engines that
	// asked the gateway for a pause. The scheduler ignores them if they include every healthy
	// endpoint that serves the model.
	Excluded []string
	// Fingerprint is a hash of workspace, model and prompt; 0 means none. It identifies repeats of
	// a request under different idempotency keys.
	Fingerprint uint64
	// LengthHint is the length of the answer in tokens that the caller expects; 0 means none. Only
	// the oracle policy uses it.
	LengthHint int
	// Losses are permits for this fingerprint whose answers the gateway lost recently, and
	// Strikes are the strikes that it knows against the fingerprint. They are sent with the request
	// so that any scheduler has them before it grants another engine.
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
	// PromptTokens and Produced count tokens. The gateway updates Produced.
	PromptTokens int
	Produced     int
	MaxTokens    int
	// EnginePriority is passed to the engine, which preempts the lowest priority first.
	EnginePriority int
	Fingerprint    uint64
	LengthHint     int
	// Incarnation is that of the engine when the permit was granted; empty if it was not known.
	Incarnation string
	// Prefixes are those of the request. Permits that are reported as open lack them.
	Prefixes []uint64
}

// deathID identifies the death of the permit's engine. It is the same for all answers that one
// engine death interrupted, so that identical prompts from many callers count that death once and
// not many times.
func (p *Permit) deathID() uint64 {
	h := fnv.New64a()
	if p.Incarnation == "" {
		_, _ = h.Write([]byte(p.ID))
		return h.Sum64()
	}
	_, _ = h.Write([]byte(p.Endpoint + "\x00" + p.Incarnation))
	return h.Sum64()
}

// EndReason says how a permit ended.
type EndReason string

const (
	// EndFinished means that the answer is complete, so that its length is known.
	EndFinished EndReason = "finished"
	// EndCancelled means that the caller cancelled, so that the length is a censored observation.
	EndCancelled EndReason = "cancelled"
	// EndNotStarted means that the engine has certainly not started the request.
	EndNotStarted EndReason = "not_started"
	// EndEndpointLost means that the endpoint died or the connection to it broke.
	EndEndpointLost EndReason = "endpoint_lost"
)

// Release returns a permit to the scheduler.
type Release struct {
	Permit Permit
	End    EndReason
}

// Permits grants permits to gateways, from a scheduler in the same process or in another one.
// Acquire waits in the pool's queue until ctx ends. It returns a *crocusreel.Refusal if the
// scheduler refuses the request.
type Permits interface {
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Update records how many tokens the request of a held permit has produced.
	Update(permitID string, produced int)
	// Release returns the permit. It waits for the scheduler only if the endpoint was lost, and
	// then for at most a fraction of a second.
	Release(r Release)
}
