package relay

import (
	"context"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/routing"
)

// A node that reaches no endpoint of a service has the requests for it served by another node. The
// other node does all that follows the admission: placement, retries, limits, moves, backups. It
// never forwards the request again.

// Forwarder has requests served by other nodes. Its methods are safe for concurrent use.
type Forwarder interface {
	// Needed reports whether this node reaches no endpoint of the service.
	Needed(service string) bool
	// Forward has the request served by another node, which writes the answer to sink.
	Forward(ctx context.Context, r *Request, sink Sink) ForwardResult
}

// ForwardResult is the outcome of a forwarded request.
type ForwardResult struct {
	// Accepted is set if another node accepted the request. Otherwise it has not run.
	Accepted bool
	// Lost is set if the connection to the other node broke before the end of the answer. It is not
	// known then whether the request has run.
	Lost bool
	// Result is the result that the other node reported. It is empty if Lost is set.
	Result Result
	// Via is the address of the other node.
	Via string
}

// causeNodeLost means that the connection to the node that served the request broke.
const causeNodeLost = "node_lost"

// outOfReach reports whether the request is to be forwarded: this node reaches no endpoint of its
// service, and no other node has declined it.
func (j *job) outOfReach() bool {
	return j.Forwarder != nil && !j.r.Forwarded && !j.declined && j.Forwarder.Needed(j.r.Service.Name)
}

// forward has the request served by other nodes. It returns false if none accepts it; the request is
// then to be served by this node.
func (j *job) forward(ctx context.Context) (Result, bool) {
	// The other node makes a claim of its own, which would wait for this one.
	j.dropClaims()
	if refusal := j.Admit(j.r); refusal != nil {
		return j.end(j.accurate(refusal), "not forwarded"), true
	}
	if refusal := j.r.Tracked.RefuseLate(); refusal != nil && !j.ran {
		return j.end(refusal, "not forwarded"), true
	}
	for {
		sink := j.forwardSink()
		j.r.Tracked.Enter(drain.Sent)
		j.beginRun()
		got := j.Forwarder.Forward(ctx, j.r, sink)
		if !got.Accepted {
			j.declined = true
			metrics.Count("forward_declined")
			return Result{}, false
		}
		j.result.Via = got.Via
		cause := causeNodeLost
		if failure := sink.failure(&got); failure != "" {
			cause = failure
		} else if !got.Lost {
			return j.forwarded(got), true
		}
		j.r.Runs++
		j.r.LostNodes = append(j.r.LostNodes, got.Via)
		j.ran = true
		j.result.Attempts++
		if ctx.Err() != nil {
			return j.end(j.contextRefusal(ctx), "time over, caller gone or node stopped"), true
		}
		j.Log.Warn("node lost that served a request", zap.String("request", j.r.ID), zap.String("node", got.Via),
			zap.String("cause", cause), zap.Bool("begun", j.sink.Begun()))
		// Only a stream of which each event is known can go on with another run.
		if j.sink.Begun() && !sink.reads || !j.mayRetry(ctx, attemptResult{cause: cause}, j.r.Runs) {
			return j.end(lostRefusal("the connection to node %s broke", got.Via), cause), true
		}
		if j.r.Route.Kind == routing.Streaming {
			j.recordRunAgain(got.Via, cause)
		}
		j.r.Counted = true
	}
}

// forwarded returns the result of a request that another node has served.
func (j *job) forwarded(got ForwardResult) Result {
	metrics.Count("forward_served")
	earlier := j.result
	j.result = got.Result
	j.result.Via = got.Via
	j.result.Attempts += earlier.Attempts
	j.result.Waited += earlier.Waited
	j.result.Refusal = j.accurate(j.result.Refusal)
	j.result.ResumedAt = earlier.ResumedAt
	j.r.Runs = max(j.r.Runs, got.Result.Runs)
	if j.prog.count > 0 && earlier.FirstEvent > 0 {
		j.result.FirstEvent = earlier.FirstEvent
	}
	if j.result.Refusal != nil {
		// A caller that has the beginning of the answer cannot be refused.
		j.result.Broken = j.sink.Begun()
	}
	return j.result
}
