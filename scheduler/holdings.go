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

// heldPermit is a permit that this gateway holds.
type heldPermit struct {
	permit   Permit
	pool     string
	fallback bool
	produced atomic.Int64
}

// currentPermit returns the permit with the tokens produced so far.
func (h *heldPermit) currentPermit() Permit {
	p := h.permit
	p.Produced = int(h.produced.Load())
	return p
}

// permitStore are the permits that this gateway holds and those it has to give back.
// Traffic goroutines write here, the reporting goroutine reads.
type permitStore struct {
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
	// lossTTL is how long a loss travels with the requests of its fingerprint: as long
	// as schedulers remember that a permit has ended, so that none counts it twice.
	lossTTL = tombstoneTTL
	// maxLossFingerprints bounds the fingerprints with losses. The death of an engine loses some
	// tens of answers.
	maxLossFingerprints = 1024
	// maxLossesPerFingerprint bounds those of one fingerprint.
	maxLossesPerFingerprint = 8
)

func newPermitStore() *permitStore {
	return &permitStore{
		releases: make(map[string][]Release), strikes: make(map[string][]policy.Strike),
		losses: make(map[uint64][]lostPermit),
	}
}

// recordLoss records an answer that was lost together with its endpoint.
func (h *permitStore) recordLoss(p Permit, now time.Duration) {
	if p.Fingerprint == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.losses) >= maxLossFingerprints {
		h.evictLossesLocked(now)
	}
	all := append(h.losses[p.Fingerprint], lostPermit{Permit: p, at: now})
	h.losses[p.Fingerprint] = all[max(len(all)-maxLossesPerFingerprint, 0):]
}

// evictLossesLocked drops old losses, and all of them if that frees nothing.
func (h *permitStore) evictLossesLocked(now time.Duration) {
	for fingerprint, all := range h.losses {
		if now-all[len(all)-1].at > lossTTL {
			delete(h.losses, fingerprint)
		}
	}
	if len(h.losses) >= maxLossFingerprints {
		clear(h.losses)
	}
}

// lossesAndStrikes returns the losses of a fingerprint, and the strikes that a pool's scheduler
// told of it.
func (h *permitStore) lossesAndStrikes(fingerprint uint64, pool string, now time.Duration) ([]Permit, []policy.Strike) {
	if fingerprint == 0 {
		return nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var losses []Permit
	for _, l := range h.losses[fingerprint] {
		if now-l.at <= lossTTL {
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

// setStrikes replaces the strikes known of a pool.
func (h *permitStore) setStrikes(pool string, s []policy.Strike) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strikes[pool] = s
}

// strikesFrom returns the strikes strikesFrom of a pool.
func (h *permitStore) strikesFrom(pool string) []policy.Strike {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.strikes[pool]
}

func (h *permitStore) add(p Permit, pool string, spare bool) {
	h.open.Store(p.ID, &heldPermit{permit: p, pool: pool, fallback: spare})
}

// update is called for every token and has to be cheap.
func (h *permitStore) update(id string, produced int) {
	if x, ok := h.open.Load(id); ok {
		x.(*heldPermit).produced.Store(int64(produced))
	}
}

// remove takes a permit out; nil if it is not held.
func (h *permitStore) remove(id string) *heldPermit {
	x, ok := h.open.LoadAndDelete(id)
	if !ok {
		return nil
	}
	return x.(*heldPermit)
}

// queueReleases keeps a release until it was sent.
func (h *permitStore) queueReleases(pool string, r ...Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := append(h.releases[pool], r...)
	if len(all) > maxReleases {
		all = all[len(all)-maxReleases:]
	}
	h.releases[pool] = all
}

// takeReleases returns the releases of a pool, to be given again if sending fails.
func (h *permitStore) takeReleases(pool string) []Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.releases[pool]
	delete(h.releases, pool)
	return r
}

// poolsWithReleases returns the pools that have releases to be sent.
func (h *permitStore) poolsWithReleases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []string
	for p := range h.releases {
		pools = append(pools, p)
	}
	return pools
}

// openByPool returns the open permits by pool.
func (h *permitStore) openByPool() map[string][]*heldPermit {
	open := make(map[string][]*heldPermit)
	h.open.Range(func(_, x any) bool {
		one := x.(*heldPermit)
		open[one.pool] = append(open[one.pool], one)
		return true
	})
	return open
}
