package relay

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// An endpoint's death counts against the work that ran on it only once the death is known. Copies
// of that work that were sent concurrently may already run on several endpoints at that time, and
// if the work is deadly, all of these endpoints die: nine copies sent to three nodes after the
// first death killed nine more engines, although the limit was three. Work that has a strike is
// therefore claimed before it is placed, and the nodes broadcast their claims to each other: the
// work runs on no more endpoints at once than it is still allowed to kill. Harmless work that
// happened to run on an endpoint that died waits until the first of its copies gets a complete
// answer, which clears its strikes.
//
// Two cases are not bounded: copies that all started before the first death, and copies on nodes
// that do not receive each other's broadcasts.

const (
	// claimSettleTime is the time between the first broadcast of a new claim and its first use. It
	// is long enough for the claim to reach every reachable node, so that two nodes that claim at
	// the same time agree on which claim comes first. A datagram between data centres takes a few
	// milliseconds, and is sent with a delay of up to 2 ms.
	claimSettleTime = 25 * time.Millisecond
	// maxClaims is the maximum number of claims that a node broadcasts, in the order of their
	// turns. Further claims count on this node only. Each claim takes 15 bytes of a datagram of
	// 1,400 bytes.
	maxClaims = 16
	// claimRetryAfter is the retry delay given to a caller whose work could not be claimed. Within
	// that time most of the running answers are complete, or their endpoints have died.
	claimRetryAfter = time.Second
)

// Claim announces a running or pending run of work that an endpoint has died of.
type Claim struct {
	Work    Fingerprint
	ID      uint32
	Running bool
}

// precedes reports whether this claim has its turn before the given waiting claim.
func (c Claim) precedes(waiting Claim) bool { return c.Running || c.ID < waiting.ID }

// Claims holds the claims of all nodes. It is safe for concurrent use.
type Claims struct {
	// Broadcast is called when other nodes should receive this node's claims at once. It must not
	// block.
	Broadcast func()

	mu      sync.Mutex
	own     map[claimKey]Claim
	remote  map[string][]Claim
	changed chan struct{}
}

// claimKey identifies a claim of this node. A request may claim several works.
type claimKey struct {
	work Fingerprint
	id   uint32
}

func (c Claim) key() claimKey { return claimKey{work: c.Work, id: c.ID} }

// NewClaims returns an empty set of claims.
func NewClaims() *Claims {
	return &Claims{
		Broadcast: func() {}, own: make(map[claimKey]Claim), remote: make(map[string][]Claim), changed: make(chan struct{}),
	}
}

// Own returns the claims of this node to broadcast to the others: running ones first, then by ID,
// at most maxClaims.
func (c *Claims) Own() []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	claims := slices.SortedFunc(maps.Values(c.own), func(a, b Claim) int {
		if a.Running != b.Running {
			if a.Running {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return claims[:min(len(claims), maxClaims)]
}

// SetRemote replaces the claims of another node. An empty list removes them, which is also how the
// claims of an unreachable node are dropped.
func (c *Claims) SetRemote(node string, claims []Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(claims) == 0 && len(c.remote[node]) == 0 {
		return
	}
	if len(claims) == 0 {
		delete(c.remote, node)
	} else {
		c.remote[node] = claims
	}
	c.notifyLocked()
}

// Notify has all waiting requests check their turns again.
func (c *Claims) Notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyLocked()
}

func (c *Claims) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// set adds or updates a claim of this node.
func (c *Claims) set(claim Claim) {
	c.mu.Lock()
	c.own[claim.key()] = claim
	c.notifyLocked()
	c.mu.Unlock()
	c.Broadcast()
}

func (c *Claims) drop(claim Claim) {
	c.mu.Lock()
	delete(c.own, claim.key())
	c.notifyLocked()
	c.mu.Unlock()
	c.Broadcast()
}

// countAhead returns the number of other claims to the same work whose turn comes before this one,
// and a channel that is closed at the next change of any claim.
func (c *Claims) countAhead(claim Claim) (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	count := func(other Claim) {
		if other.Work == claim.Work && other.ID != claim.ID && other.precedes(claim) {
			n++
		}
	}
	for _, other := range c.own {
		count(other)
	}
	for _, claims := range c.remote {
		for _, other := range claims {
			count(other)
		}
	}
	return n, c.changed
}

// OwnClaimsAndStrikes returns the claims and the recent strikes of this node, to broadcast to the
// others. The claims are read first: a request drops its claim after it has recorded the strike of its
// run. If a claim is missing, its strike is returned, or the run did not kill an endpoint.
func (l *Relay) OwnClaimsAndStrikes() ([]Claim, []Strike) {
	claims := l.Claims.Own()
	return claims, l.Strikes.OwnRecent(StrikeBroadcastPeriod)
}

// newClaim returns the claim of a request to its work. Its ID is a hash of the request's ID.
func newClaim(r *Request, running bool) Claim {
	return Claim{Work: r.Fingerprint, ID: claimID(r), Running: running}
}

func claimID(r *Request) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID))
	return h.Sum32()
}

// awaitClaim waits until the request may run concurrently with the other copies of its work. Work
// without a strike runs at once. It returns a refusal if the work has reached strikeLimit or the
// wait takes too long.
func (j *job) awaitClaim(ctx context.Context) *crocusreel.Refusal {
	if j.Strikes.Count(j.r.Fingerprint) == 0 {
		return nil
	}
	began := time.Now()
	isNew := j.ownClaim == nil
	j.setClaim(false)
	if isNew && !retry.Sleep(ctx, claimSettleTime) {
		return j.deadlineRefusal()
	}
	timeout := time.After(j.maxWait())
	for {
		changed, mayRun, refusal := j.checkTurn()
		if refusal != nil {
			return refusal
		}
		if mayRun {
			j.setClaim(true)
			j.Log.Info("work that an endpoint died of is claimed", zap.String("request", j.r.ID),
				zap.Int("strikes", j.Strikes.Count(j.r.Fingerprint)), zap.Duration("waited", time.Since(began)))
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return j.deadlineRefusal()
		case <-timeout:
			metrics.Count("claim_not_had")
			return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun, claimRetryAfter,
				"an endpoint died while running this request, and it runs elsewhere")
		}
	}
}

// checkTurn reports whether the request may run now. If it may not, changed is closed when the
// claims change and the turn should be checked again. It returns a refusal if the work has reached
// strikeLimit.
func (j *job) checkTurn() (changed <-chan struct{}, mayRun bool, refusal *crocusreel.Refusal) {
	ahead, changed := j.Claims.countAhead(*j.ownClaim)
	strikes := j.Strikes.Count(j.r.Fingerprint)
	if strikes >= strikeLimit {
		return nil, false, j.suspectRefusal(strikes)
	}
	return changed, strikes == 0 || strikes+ahead < strikeLimit, nil
}

// setClaim creates or updates the request's claim and broadcasts it to the other nodes.
func (j *job) setClaim(running bool) {
	claim := newClaim(j.r, running)
	j.ownClaim = &claim
	j.Claims.set(claim)
}

// dropClaims removes the request's claims.
func (j *job) dropClaims() {
	if j.ownClaim != nil {
		j.Claims.drop(*j.ownClaim)
	}
	j.dropPartClaims()
}
