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

// Deaths count against work once they are known. Work that is sent several times at once is
// under way at several endpoints before that, and if it is deadly all of them die: nine copies
// sent to three nodes after its first death killed nine more engines, for a bound of three. So
// work that has a strike is claimed before it is placed, and the nodes tell each other of their
// claims: it runs at no more endpoints at once than it may still kill. Innocent work that was
// beside a death waits until the first of its copies has a whole answer, which clears it.
//
// Copies that all began before the first death are not bounded, and neither are those at nodes
// that do not hear each other.

const (
	// claimSettles is how long a claim is told before it counts: then every node that hears
	// this one knows of it, and of two claims made at the same time both sides see which
	// comes first. A datagram takes some milliseconds between data centres, and two may pass
	// before it is sent.
	claimSettles = 25 * time.Millisecond
	// maxClaims bounds the claims that are told, in the order of their turns; those beyond
	// are counted here only. Each takes 15 B of a datagram of 1,400.
	maxClaims = 16
	// claimRetry is when a caller whose work could not be claimed may come back: most
	// answers are whole by then, or their endpoints dead.
	claimRetry = time.Second
)

// Claim is one run, or coming run, of work that an endpoint has died of.
type Claim struct {
	Work    Fingerprint
	ID      uint32
	Running bool
}

// before tells whether this claim has its turn before a waiting one.
func (c Claim) before(waiting Claim) bool { return c.Running || c.ID < waiting.ID }

// Claims are those of all nodes.
type Claims struct {
	// Tell is called when other nodes should hear at once; it must not block.
	Tell func()

	mu      sync.Mutex
	own     map[uint32]Claim
	remote  map[string][]Claim
	changed chan struct{}
}

// NewClaims returns an empty record.
func NewClaims() *Claims {
	return &Claims{
		Tell: func() {}, own: make(map[uint32]Claim), remote: make(map[string][]Claim), changed: make(chan struct{}),
	}
}

// Own returns the claims of this node, for the others.
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

// SetRemote replaces the claims of another node; none if it is no longer heard.
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
	c.changedLocked()
}

func (c *Claims) changedLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// set adds or changes a claim of this node, and drop ends it.
func (c *Claims) set(claim Claim) {
	c.mu.Lock()
	c.own[claim.ID] = claim
	c.changedLocked()
	c.mu.Unlock()
	c.Tell()
}

func (c *Claims) drop(claim Claim) {
	c.mu.Lock()
	delete(c.own, claim.ID)
	c.changedLocked()
	c.mu.Unlock()
	c.Tell()
}

// ahead counts the other claims to the work that have their turn before this one, and returns
// a channel that is closed at the next change.
func (c *Claims) ahead(mine Claim) (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	count := func(other Claim) {
		if other.Work == mine.Work && other.ID != mine.ID && other.before(mine) {
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

// claimOf is the claim of a request to its work.
func claimOf(r *Request, running bool) Claim {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID))
	return Claim{Work: r.Fingerprint, ID: h.Sum32(), Running: running}
}

// claim waits until the request may run beside the other copies of its work. Work without a
// strike runs at once.
func (j *job) claim(ctx context.Context) *crocusreel.Refusal {
	if j.Strikes.Count(j.r.Fingerprint) == 0 {
		return nil
	}
	began := time.Now()
	fresh := j.own == nil
	j.setClaim(false)
	if fresh && !retry.Sleep(ctx, claimSettles) {
		return j.timedOut()
	}
	given := time.After(j.patience())
	for {
		changed, mayRun, refusal := j.turn()
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
			return j.timedOut()
		case <-given:
			metrics.Count("claim_not_had")
			return crocusreel.Refuse(crocusreel.ReasonSuspect, crocusreel.OutcomeNotRun, claimRetry,
				"an endpoint died while running this request, and it runs elsewhere")
		}
	}
}

// turn tells whether the request may run now, and if not, when to look again.
func (j *job) turn() (changed <-chan struct{}, mayRun bool, refusal *crocusreel.Refusal) {
	ahead, changed := j.Claims.ahead(*j.own)
	strikes := j.Strikes.Count(j.r.Fingerprint)
	if strikes >= strikeLimit {
		return nil, false, j.suspect(strikes)
	}
	return changed, strikes == 0 || strikes+ahead < strikeLimit, nil
}

// setClaim tells the other nodes of the request's claim.
func (j *job) setClaim(running bool) {
	claim := claimOf(j.r, running)
	j.own = &claim
	j.Claims.set(claim)
}

// dropClaim ends the request's claim, if it has one.
func (j *job) dropClaim() {
	if j.own != nil {
		j.Claims.drop(*j.own)
	}
}
