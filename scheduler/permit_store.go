package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

// maxReleases bounds the releases kept for an unreachable scheduler. If some are discarded, the
// scheduler learns of the end of their permits from the next full report.
const maxReleases = 4096

// heldPermit is a permit that this gateway holds.
type heldPermit struct {
	permit   Permit
	pool     string
	fallback bool
	produced atomic.Int64
}

// currentPermit returns the permit with the number of tokens produced so far.
func (h *heldPermit) currentPermit() Permit {
	p := h.permit
	p.Produced = int(h.produced.Load())
	return p
}

// permitStore holds the gateway's open permits, the releases still to be sent, and the known
// strikes and losses. It is safe for concurrent use: request goroutines record permits, releases
// and losses in it, and the reporter reads and drains it.
type permitStore struct {
	open sync.Map // permit ID to *heldPermit

	mu       sync.Mutex
	releases map[string][]Release // by pool key
	// strikes are those last received from each pool's scheduler.
	strikes map[string][]policy.Strike
	// quarantines are the quarantined prompt prefixes last received from each pool's scheduler.
	quarantines map[string][]quarantine.Verdict
	// losses are the answers that this gateway lost, by fingerprint.
	losses map[uint64][]lostPermit
}

// lostPermit is a permit whose answer was lost, with the time of the loss.
type lostPermit struct {
	Permit
	at time.Duration
}

const (
	// lossTTL is how long a loss is sent along with requests of the same fingerprint. It equals the
	// time for which schedulers remember ended permits, so that no scheduler counts a loss twice.
	lossTTL = tombstoneTTL
	// maxLossFingerprints bounds the fingerprints with losses. The death of one engine loses some
	// tens of answers.
	maxLossFingerprints = 1024
	// maxLossesPerFingerprint bounds the losses kept for one fingerprint.
	maxLossesPerFingerprint = 8
)

func newPermitStore() *permitStore {
	return &permitStore{
		releases: make(map[string][]Release), strikes: make(map[string][]policy.Strike),
		quarantines: make(map[string][]quarantine.Verdict),
		losses:      make(map[uint64][]lostPermit),
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

// evictLossesLocked drops fingerprints whose losses have expired, or all losses if that frees
// nothing. The caller holds mu.
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

// lossesAndStrikes returns the recent losses of a fingerprint, and the strikes against it that the
// pool's scheduler last reported.
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

// remember replaces what is known from the scheduler of a pool.
func (h *permitStore) remember(pool string, r toRemember) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strikes[pool], h.quarantines[pool] = r.strikes, r.quarantines
}

// quarantinesFrom returns the known quarantined prefixes of a pool.
func (h *permitStore) quarantinesFrom(pool string) []quarantine.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantines[pool]
}

// strikesFrom returns the known strikes of a pool.
func (h *permitStore) strikesFrom(pool string) []policy.Strike {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.strikes[pool]
}

func (h *permitStore) add(p Permit, pool string, fallback bool) {
	h.open.Store(p.ID, &heldPermit{permit: p, pool: pool, fallback: fallback})
}

// update records the tokens produced. It is called every few tokens of each answer and has to be
// cheap.
func (h *permitStore) update(id string, produced int) {
	if x, ok := h.open.Load(id); ok {
		x.(*heldPermit).produced.Store(int64(produced))
	}
}

// remove deletes an open permit and returns it, or nil if it is not held.
func (h *permitStore) remove(id string) *heldPermit {
	x, ok := h.open.LoadAndDelete(id)
	if !ok {
		return nil
	}
	return x.(*heldPermit)
}

// queueReleases queues releases until they are sent. Beyond maxReleases it discards the oldest.
func (h *permitStore) queueReleases(pool string, r ...Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := append(h.releases[pool], r...)
	if len(all) > maxReleases {
		all = all[len(all)-maxReleases:]
	}
	h.releases[pool] = all
}

// takeReleases removes and returns the queued releases of a pool. The caller queues them again if
// sending fails.
func (h *permitStore) takeReleases(pool string) []Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.releases[pool]
	delete(h.releases, pool)
	return r
}

// poolsWithReleases returns the keys of pools that have releases to be sent.
func (h *permitStore) poolsWithReleases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []string
	for p := range h.releases {
		pools = append(pools, p)
	}
	return pools
}

// openByPool returns the open permits by pool key.
func (h *permitStore) openByPool() map[string][]*heldPermit {
	open := make(map[string][]*heldPermit)
	h.open.Range(func(_, x any) bool {
		held := x.(*heldPermit)
		open[held.pool] = append(open[held.pool], held)
		return true
	})
	return open
}
