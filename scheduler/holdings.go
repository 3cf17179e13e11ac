package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel/policy"
)

// maxReleases bounds the releases kept for a scheduler that can't be reached; it
// learns of the permits' end from the next full report anyway.
const maxReleases = 4096

// held is a permit that this gateway holds.
type held struct {
	permit   Permit
	pool     string
	spare    bool
	produced atomic.Int64
}

// current returns the permit with the tokens produced so far.
func (h *held) current() Permit {
	p := h.permit
	p.Produced = int(h.produced.Load())
	return p
}

// holdings are the permits that this gateway holds and those it has to give back.
// Traffic goroutines write here, the reporting goroutine reads.
type holdings struct {
	open sync.Map // permit ID to *held

	mu       sync.Mutex
	releases map[string][]Release // by pool
	// strikes are those last learned from each pool's scheduler.
	strikes map[string][]policy.Strike
	// losses are the answers that this gateway lost, by fingerprint.
	losses map[uint64][]lostPermit
}

// lostPermit is a permit whose answer was lost.
type lostPermit struct {
	Permit
	at time.Duration
}

const (
	// lossLife is how long a loss travels with the requests of its fingerprint: as long
	// as schedulers remember that a permit has ended, so that none counts it twice.
	lossLife = tombstoneLife
	// maxLosses bounds the fingerprints with losses. The death of an engine loses some
	// tens of answers.
	maxLosses = 1024
	// maxLossesEach bounds those of one fingerprint.
	maxLossesEach = 8
)

func newHoldings() *holdings {
	return &holdings{
		releases: make(map[string][]Release), strikes: make(map[string][]policy.Strike),
		losses: make(map[uint64][]lostPermit),
	}
}

// lose records an answer that was lost together with its endpoint.
func (h *holdings) lose(p Permit, now time.Duration) {
	if p.Fingerprint == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.losses) >= maxLosses {
		h.forgetLossesLocked(now)
	}
	all := append(h.losses[p.Fingerprint], lostPermit{Permit: p, at: now})
	h.losses[p.Fingerprint] = all[max(len(all)-maxLossesEach, 0):]
}

// forgetLossesLocked drops old losses, and all of them if that frees nothing.
func (h *holdings) forgetLossesLocked(now time.Duration) {
	for fingerprint, all := range h.losses {
		if now-all[len(all)-1].at > lossLife {
			delete(h.losses, fingerprint)
		}
	}
	if len(h.losses) >= maxLosses {
		clear(h.losses)
	}
}

// against returns the losses of a fingerprint, and the strikes that a pool's scheduler
// told of it.
func (h *holdings) against(fingerprint uint64, pool string, now time.Duration) ([]Permit, []policy.Strike) {
	if fingerprint == 0 {
		return nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var losses []Permit
	for _, l := range h.losses[fingerprint] {
		if now-l.at <= lossLife {
			losses = append(losses, l.Permit)
		}
	}
	var strikes []policy.Strike
	for _, s := range h.strikes[pool] {
		if s.Fingerprint == fingerprint {
			strikes = append(strikes, s)
		}
	}
	return losses, strikes
}

// learn replaces the strikes known of a pool.
func (h *holdings) learn(pool string, s []policy.Strike) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strikes[pool] = s
}

// known returns the strikes known of a pool.
func (h *holdings) known(pool string) []policy.Strike {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.strikes[pool]
}

func (h *holdings) add(p Permit, pool string, spare bool) {
	h.open.Store(p.ID, &held{permit: p, pool: pool, spare: spare})
}

// update is called for every token and has to be cheap.
func (h *holdings) update(id string, produced int) {
	if x, ok := h.open.Load(id); ok {
		x.(*held).produced.Store(int64(produced))
	}
}

// remove takes a permit out; nil if it is not held.
func (h *holdings) remove(id string) *held {
	x, ok := h.open.LoadAndDelete(id)
	if !ok {
		return nil
	}
	return x.(*held)
}

// give keeps a release until it was sent.
func (h *holdings) give(pool string, r ...Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := append(h.releases[pool], r...)
	if len(all) > maxReleases {
		all = all[len(all)-maxReleases:]
	}
	h.releases[pool] = all
}

// take returns the releases of a pool, to be given again if sending fails.
func (h *holdings) take(pool string) []Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.releases[pool]
	delete(h.releases, pool)
	return r
}

// pending returns the pools that have releases to be sent.
func (h *holdings) pending() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []string
	for p := range h.releases {
		pools = append(pools, p)
	}
	return pools
}

// list returns the open permits by pool.
func (h *holdings) list() map[string][]*held {
	open := make(map[string][]*held)
	h.open.Range(func(_, x any) bool {
		one := x.(*held)
		open[one.pool] = append(open[one.pool], one)
		return true
	})
	return open
}
