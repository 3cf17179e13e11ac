package fleet

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Holding is room on an endpoint for the backup of a run elsewhere: a copy of its memory
// that grows with it, and from which it goes on when its own endpoint is gone.
type Holding struct {
	fleet    *Fleet
	endpoint *Endpoint
	demand   Demand
	produced int
	released bool
}

const (
	// backupShare is the part of an engine's memory up to which it is given backups. What
	// is left serves new answers, which must not wait for memory that is only there in
	// case another engine dies.
	backupShare = 0.7
	// backupUpTo is the part of the memory of all engines that may be promised to answers for
	// there to be backups at all. Where memory decides how many answers are on time, backups
	// cost more than they save.
	backupUpTo = 0.5
	// backupSpread is the range of a random addition, as for moves.
	backupSpread = 0.1
)

// Hold returns room for a backup of the run at p, nil if no engine has it to spare.
func (f *Fleet) Hold(p *Placement, w Want) *Holding {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := w.Service.Engine
	if spec == nil || !spec.CanBackUp || f.Without[Backups] {
		return nil
	}
	if f.waitingLocked(w.Service.Name) > 0 || f.promisedLocked(w.Service) > backupUpTo {
		return nil
	}
	now := f.now()
	need := p.tokens()
	var best *Endpoint
	bestCost := 0.0
	for _, e := range f.services[w.Service.Name] {
		if e == p.endpoint || !f.eligibleLocked(e, &w) || e.missingAt != 0 || now < e.health.ejectedUntil ||
			e.limited() || f.coldLocked(e, w.Service, now) {
			continue
		}
		load := e.total()
		used := load.Tokens + load.Held
		if float64(used+need) > backupShare*float64(spec.CacheTokens) {
			continue
		}
		cost := float64(used)/float64(spec.CacheTokens) + f.random.Float64()*backupSpread
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	h := &Holding{fleet: f, endpoint: best, demand: Demand{Prompt: p.demand.Prompt, Output: need - p.demand.Prompt}, produced: p.produced}
	f.used[best] = struct{}{}
	best.own.Held += need
	return h
}

// promisedLocked is the part of the memory of a service's engines that is promised to
// answers.
func (f *Fleet) promisedLocked(s *routing.Service) float64 {
	tokens, memory := 0, 0
	for _, e := range f.services[s.Name] {
		if e.isLeaving || e.isEvacuated {
			continue
		}
		tokens += e.total().Tokens
		memory += s.Engine.CacheTokens
	}
	return float64(tokens) / float64(max(memory, 1))
}

// Instance returns the endpoint that holds the backup.
func (h *Holding) Instance() Instance { return h.endpoint.Instance }

// Life ends once the endpoint has certainly died, and the backup with it.
func (h *Holding) Life() context.Context { return h.endpoint.life }

// Unusable is closed once the endpoint is about to stop or its data centre is evacuated.
func (h *Holding) Unusable() <-chan struct{} {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.endpoint.unusable
}

// Take turns the room into the place of the run, which goes on there with so many tokens
// made; nil if the room was given back, the endpoint leaves or takes no request now, or its data
// centre is evacuated.
func (h *Holding) Take(produced int) *Placement {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.released || h.endpoint.isLeaving || h.endpoint.isEvacuated ||
		f.pausedLocked(h.endpoint) || !f.limitAllowsLocked(h.endpoint, f.now()) {
		return nil
	}
	h.releaseLocked()
	p := f.placeLocked(h.endpoint, h.demand)
	h.endpoint.own.Unread -= p.unread()
	p.reading = false
	h.endpoint.own.Tokens -= p.tokens()
	p.produced = produced
	h.endpoint.own.Tokens += p.tokens()
	return p
}

// Release gives the room back after the given time: an engine keeps a backup for a while
// whose run has not ended well.
func (h *Holding) Release(after time.Duration) {
	if after > 0 {
		time.AfterFunc(after, func() { h.Release(0) })
		return
	}
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	h.releaseLocked()
}

func (h *Holding) releaseLocked() {
	if h.released {
		return
	}
	h.released = true
	h.endpoint.own.Held -= h.demand.Tokens()
}
