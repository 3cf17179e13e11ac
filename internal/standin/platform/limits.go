package platform

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

// limiter is a token bucket that holds the tokens of 0.1 s, but at least one.
type limiter struct {
	mu     sync.Mutex
	rate   float64 // tokens per second; 0 means no limit
	tokens float64
	last   time.Time
}

func newLimiter(rate float64) *limiter { return &limiter{rate: rate, tokens: burst(rate)} }

func burst(rate float64) float64 { return max(1, rate/10) }

// allow takes a token and reports whether there was one.
func (l *limiter) allow(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		l.tokens = min(burst(l.rate), l.tokens+now.Sub(l.last).Seconds()*l.rate)
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// weightStore schedules loads one after the other at its transfer rate.
type weightStore struct {
	mu             sync.Mutex
	bytesPerSecond float64
	modelBytes     int64
	freeAt         time.Time
	granted        []admin.Reservation
}

func (w *weightStore) reserve(now time.Time, req platform.ReserveRequest) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	start := now
	if w.freeAt.After(now) {
		start = w.freeAt
	}
	w.freeAt = start.Add(time.Duration(float64(w.modelBytes) / w.bytesPerSecond * float64(time.Second)))
	w.granted = append(w.granted, admin.Reservation{
		Model: req.Model, Version: req.Version, At: now, StartAt: start, Bytes: w.modelBytes,
	})
	return start.Sub(now)
}

func (w *weightStore) list() []admin.Reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]admin.Reservation{}, w.granted...)
}

// laggingVMs holds lists of VMs that become visible after the lag.
type laggingVMs struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []platform.VM
}

func (l *laggingVMs) set(now time.Time, vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, vmVersion{at: now, vms: vms})
}

// get returns the newest list that is at least as old as the lag. The first list is visible
// immediately, so that test clusters need not wait for the lag at startup.
func (l *laggingVMs) get(now time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && now.Sub(l.versions[1].at) >= l.lag {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 {
		return []platform.VM{}
	}
	return l.versions[0].vms
}
