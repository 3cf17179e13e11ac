package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// maxForwardNodes is the number of nodes that are asked to serve one request.
	maxForwardNodes = 3
	// forwardSendTimeout is the time within which a request must have been sent to another node. It
	// has certainly not arrived if it was not sent.
	forwardSendTimeout = 250 * time.Millisecond
	// forwardExclusion is how long a node is not asked after a request could not be sent to it, and
	// declineExclusion after it has declined one.
	forwardExclusion = time.Second
	declineExclusion = 100 * time.Millisecond
	// maxForwardersPerHelper is the number of nodes of one data centre that may depend on each node
	// there. If there are more, they also ask nodes of other data centres.
	maxForwardersPerHelper = 2
	// lostNodeGrace is what a node has to go on with the requests that it serves for this one after it
	// counts as lost: a node that is stopped for a second or so goes on, and so do the runs that it has at
	// endpoints.
	lostNodeGrace = 600 * time.Millisecond
	// forwardMargin is the time before the deadline of a forwarded request at which the other node
	// ends it, so that its result arrives in time; forwardMarginShare is the same as a share of the
	// remaining time, if that is less.
	forwardMargin      = 20 * time.Millisecond
	forwardMarginShare = 0.1
	// maxForwardBodyBytes is the size of a request body in bytes up to which requests are forwarded.
	maxForwardBodyBytes = peer.MaxMessageBytes - 256<<10
)

var errForwardNodeLost = eris.New("node is no longer live")

// forwards tracks the requests that this node has forwarded and that are in progress. It implements
// relay.Forwarder.
type forwards struct {
	n      *Node
	client *http.Client

	mu sync.Mutex
	// open holds the requests in progress by the address of the node that serves them.
	open map[string]map[*forward]struct{}
	// excludedUntil holds the nodes that are not asked.
	excludedUntil map[string]time.Time
}

// forward is a request that another node serves.
type forward struct{ cancel context.CancelCauseFunc }

func newForwards(n *Node) *forwards {
	return &forwards{
		n: n, client: peer.NewStreamingClient(),
		open: make(map[string]map[*forward]struct{}), excludedUntil: make(map[string]time.Time),
	}
}

// Needed implements relay.Forwarder.
func (f *forwards) Needed(service string) bool { return f.n.reach.Verdict(service) == reach.Lost }

// Forward implements relay.Forwarder. It asks up to maxForwardNodes nodes, until one accepts the
// request.
func (f *forwards) Forward(ctx context.Context, r *relay.Request, sink relay.Sink) relay.ForwardResult {
	if len(r.Body) > maxForwardBodyBytes {
		return relay.ForwardResult{}
	}
	tried := slices.Clone(r.LostNodes)
	for range maxForwardNodes {
		p, ok := f.choose(r, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, p.Address)
		if got := f.ask(ctx, p, r, sink); got.Accepted {
			return got
		}
	}
	f.n.log.Info("no node serves a request for this one", zap.String("request", r.ID), zap.String("service", r.Service.Name),
		zap.Strings("asked", tried))
	return relay.ForwardResult{}
}

// choose returns a node that serves requests for other nodes and is not in tried: of two random
// candidates, the one that serves fewer requests for this node.
func (f *forwards) choose(r *relay.Request, tried []string) (gossip.Peer, bool) {
	regions, bound := routing.Regions(r.Route, r.Workspace)
	v := forwardView{
		nodes: f.n.gossip.Live(), service: gossip.KeyOf(r.Service.Name), regions: f.n.settings.Regions,
		ownDataCentre: f.n.settings.DataCentre, bound: bound, boundRegions: regions,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	candidates := v.candidates(func(p gossip.Peer) bool {
		return slices.Contains(tried, p.Address) || now.Before(f.excludedUntil[p.Address])
	})
	if len(candidates) == 0 {
		return gossip.Peer{}, false
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if len(f.open[b.Address]) < len(f.open[a.Address]) {
		a = b
	}
	return a, true
}

// forwardView is the input from which the nodes are chosen that serve requests for this one.
type forwardView struct {
	nodes         []gossip.Peer
	service       gossip.ServiceKey
	regions       map[string]string
	ownDataCentre string
	// bound restricts the nodes to those in boundRegions.
	bound        bool
	boundRegions []string
}

// candidates returns the nodes that may be asked: those that have recently reached the service, else
// all that have not lost it; of these, the ones in this data centre if there are enough, else those
// of this region, else all.
func (v *forwardView) candidates(excluded func(gossip.Peer) bool) []gossip.Peer {
	var reached, unknown []gossip.Peer
	dependents := 1 // this node
	for _, p := range v.nodes {
		if p.Lost.Has(v.service) && p.DataCentre == v.ownDataCentre {
			dependents++
		}
		if !v.eligible(p) || excluded(p) {
			continue
		}
		if p.Reached.Has(v.service) {
			reached = append(reached, p)
		} else {
			unknown = append(unknown, p)
		}
	}
	all := reached
	if len(all) == 0 {
		all = unknown
	}
	var near, regional []gossip.Peer
	for _, p := range all {
		if p.DataCentre == v.ownDataCentre {
			near = append(near, p)
		}
		if v.regions[p.DataCentre] == v.regions[v.ownDataCentre] {
			regional = append(regional, p)
		}
	}
	switch {
	case len(near) > 0 && dependents <= maxForwardersPerHelper*len(near):
		return near
	case len(regional) > 0:
		return regional
	default:
		return all
	}
}

// eligible reports whether a node may serve requests for this one, apart from how well it reaches
// the service.
func (v *forwardView) eligible(p gossip.Peer) bool {
	return p.Forwards && p.Ready && !p.Leaving && !p.Lost.Has(v.service) &&
		(!v.bound || slices.Contains(v.boundRegions, v.regions[p.DataCentre]))
}

// ask asks a node to serve the request.
func (f *forwards) ask(requestCtx context.Context, p gossip.Peer, r *relay.Request, sink relay.Sink) relay.ForwardResult {
	ctx, cancel := context.WithCancelCause(requestCtx)
	defer cancel(nil)
	current := &forward{cancel: cancel}
	f.begin(p.Address, current)
	defer f.end(p.Address, current)
	var sent atomic.Bool
	unsent := time.AfterFunc(forwardSendTimeout, func() {
		if !sent.Load() {
			cancel(context.DeadlineExceeded)
		}
	})
	defer unsent.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	client := exchangev1.NewExchangeClient(f.client, peer.BaseURL(p.PeerAddress, nil))
	metrics.Count("forward_asked")
	stream, err := client.Forward(traced, connect.NewRequest(forwardRequest(f.n.settings.IP, r)))
	var got relay.ForwardResult
	if err == nil {
		got, err = f.receive(stream, r, sink)
	}
	switch {
	case got.Accepted:
		got.Via = p.Address
		return got
	case err == nil:
		f.exclude(p.Address, declineExclusion)
		return got
	case !sent.Load():
		metrics.Count("forward_not_sent")
		f.n.log.Info("request not sent to another node", zap.String("request", r.ID), zap.String("node", p.Address), zap.Error(err))
		f.exclude(p.Address, forwardExclusion)
		return relay.ForwardResult{}
	case requestCtx.Err() != nil:
		return relay.ForwardResult{Accepted: true, Lost: true, Via: p.Address}
	default:
		metrics.Count("forward_lost")
		f.n.log.Info("connection to the serving node broke", zap.String("request", r.ID), zap.String("node", p.Address),
			zap.NamedError("cause", context.Cause(ctx)), zap.Error(err))
		return relay.ForwardResult{Accepted: true, Lost: true, Via: p.Address}
	}
}

// receive passes the answer on to sink. It returns an error if the stream broke before the end of
// the answer, and a result that is not accepted if the other node declined the request.
func (f *forwards) receive(stream *connect.ServerStreamForClient[exchangev1.ForwardResponse], r *relay.Request, sink relay.Sink) (relay.ForwardResult, error) {
	defer func() { _ = stream.Close() }()
	var result relay.Result
	for stream.Receive() {
		switch part := stream.Msg().GetPart().(type) {
		case *exchangev1.ForwardResponse_Declined:
			metrics.Count("forward_declined_by_node")
			f.n.log.Debug("request declined by another node", zap.String("request", r.ID), zap.String("cause", part.Declined))
			return relay.ForwardResult{}, nil
		case *exchangev1.ForwardResponse_Head:
			result.Status = int(part.Head.GetStatus())
			result.FirstEvent = time.Since(r.Received)
			if err := sink.Begin(result.Status, readHeader(part.Head.GetHeaders())); err != nil {
				return callerGone(result), nil
			}
		case *exchangev1.ForwardResponse_Body:
			if err := sink.Write(part.Body); err != nil {
				return callerGone(result), nil
			}
		case *exchangev1.ForwardResponse_End:
			return relay.ForwardResult{Accepted: true, Result: readEnd(part.End, result)}, nil
		}
	}
	if err := stream.Err(); err != nil {
		return relay.ForwardResult{}, err
	}
	return relay.ForwardResult{}, eris.New("answer of the other node has no end")
}

// callerGone returns the result of a request whose caller no longer accepts the answer.
func callerGone(result relay.Result) relay.ForwardResult {
	result.Broken, result.Detail = true, "caller gone"
	return relay.ForwardResult{Accepted: true, Result: result}
}

func (f *forwards) begin(address string, r *forward) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[address] == nil {
		f.open[address] = make(map[*forward]struct{})
	}
	f.open[address][r] = struct{}{}
}

func (f *forwards) end(address string, r *forward) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open[address], r)
	if len(f.open[address]) == 0 {
		delete(f.open, address)
	}
}

func (f *forwards) exclude(address string, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for other, until := range f.excludedUntil {
		if now.After(until) {
			delete(f.excludedUntil, other)
		}
	}
	f.excludedUntil[address] = now.Add(length)
}

// abort ends the requests that the node at the address serves for this one, unless the node is live again
// within lostNodeGrace.
func (f *forwards) abort(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	requests := slices.Collect(maps.Keys(f.open[address]))
	if len(requests) == 0 {
		return
	}
	time.AfterFunc(lostNodeGrace, func() {
		if f.live(address) {
			metrics.Count("forward_node_silent")
			f.n.log.Info("serving node was silent and goes on", zap.String("node", address), zap.Int("requests", len(requests)))
			return
		}
		for _, r := range requests {
			r.cancel(errForwardNodeLost)
		}
	})
}

// live reports whether the node at the address counts as live.
func (f *forwards) live(address string) bool {
	return slices.ContainsFunc(f.n.gossip.Live(), func(p gossip.Peer) bool { return p.Address == address })
}

// forwardRequest returns the message for a request that the given node has admitted.
func forwardRequest(node string, r *relay.Request) *exchangev1.ForwardRequest {
	m := &exchangev1.ForwardRequest{
		Node: node, Id: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Headers: headerMessages(r.Header), Body: r.Body,
		Service: r.Service.Name, ConfigVersion: r.ConfigVersion, ElapsedUs: uint64(max(time.Since(r.Received).Microseconds(), 0)),
		PromptTokens: uint32(r.Size.Prompt), MaxOutputTokens: uint32(r.Size.MaxOutput), LengthHint: uint32(r.Size.Hint),
		Fingerprint: uint64(r.Fingerprint), Counted: r.Counted, Runs: uint32(r.Runs),
		LastEvent: r.LastEvent, Resumes: r.Resumes, PromptParts: quarantine.IDs(r.Parts),
		Route: &exchangev1.ForwardRoute{
			Name: r.Route.Name, Kind: int32(r.Route.Kind), TargetLatencyMs: uint32(r.Route.TargetLatency.Milliseconds()),
			Priority: int32(r.Route.Priority), MaxAttempts: uint32(r.Route.MaxAttempts), Regions: r.Route.Regions,
			Resumable: r.Route.Resumable, GapTargetMs: uint32(r.Route.GapTarget.Milliseconds()),
		},
	}
	if ws := r.Workspace; ws != nil {
		m.Workspace = &exchangev1.ForwardWorkspace{Name: ws.Name, Priority: int32(ws.Priority), Ranked: ws.Ranked, Regions: ws.Regions}
	}
	return m
}

// readEnd returns the result that the other node reported, completed by what this node has seen.
func readEnd(end *exchangev1.ForwardEnd, seen relay.Result) relay.Result {
	seen.Broken, seen.Endpoint, seen.Detail = end.GetBroken(), end.GetEndpoint(), end.GetDetail()
	seen.Attempts, seen.Moves, seen.Events = int(end.GetAttempts()), int(end.GetMoves()), int(end.GetEvents())
	seen.Runs = int(end.GetRuns())
	seen.Waited = time.Duration(end.GetWaitedUs()) * time.Microsecond
	if r := end.GetRefusal(); r != nil {
		seen.Refusal = &crocusreel.Refusal{
			Reason: crocusreel.Reason(r.GetReason()), Outcome: crocusreel.Outcome(r.GetOutcome()), Message: r.GetMessage(),
			RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	return seen
}

func headerMessages(h http.Header) []*exchangev1.Header {
	messages := make([]*exchangev1.Header, 0, len(h))
	for name, values := range h {
		messages = append(messages, &exchangev1.Header{Name: name, Values: values})
	}
	return messages
}

func readHeader(messages []*exchangev1.Header) http.Header {
	h := make(http.Header, len(messages))
	for _, m := range messages {
		h[m.GetName()] = m.GetValues()
	}
	return h
}
