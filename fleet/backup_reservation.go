package fleet

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// BackupReservation is a reservation of memory on an endpoint for the backup of a run on another
// endpoint. The backup is a copy of the run's memory that grows with the run, and from which the
// run resumes if its endpoint dies.
type BackupReservation struct {
	fleet    *Fleet
	endpoint *Endpoint
	demand   Demand
	produced int
	released bool
}

const (
	// backupMemoryShare is the share of an engine's memory up to which it accepts backups. The rest
	// is kept for new answers, which must not wait for memory that is reserved only in case another
	// engine dies.
	backupMemoryShare = 0.7
	// maxReservedShareForBackups is the share of the total memory of all engines that can be
	// reserved for answers before no more backups are made. When memory limits the number of
	// answers that are on time, backups cost more than they save.
	maxReservedShareForBackups = 0.5
	// backupCostJitter is the range of the random part of the cost. It corresponds to
	// moveCostJitter for moves.
	backupCostJitter = 0.1
)

// ReserveBackup reserves memory for a backup of the run at p. It returns nil if no engine has
// memory to spare.
func (f *Fleet) ReserveBackup(p *Placement, w Work) *BackupReservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := w.Service.Engine
	if spec == nil || !spec.CanBackUp || f.Disabled[Backups] {
		return nil
	}
	if f.waitingLocked(w.Service.Name) > 0 || f.reservedShareLocked(w.Service) > maxReservedShareForBackups {
		return nil
	}
	now := f.now()
	score := f.scorerLocked(&w, now)
	need := p.expectedTokens()
	var best *Endpoint
	bestCost := 0.0
	for _, e := range f.services[w.Service.Name] {
		if e == p.endpoint || !f.eligibleLocked(e, &w) || e.missingSince != 0 || now < e.health.ejectedUntil ||
			e.limited() || f.isColdLocked(e, w.Service, now) {
			continue
		}
		load := e.total()
		used := load.Tokens + load.BackupTokens
		if float64(used+need) > backupMemoryShare*float64(spec.CacheTokens) {
			continue
		}
		cost := float64(used)/float64(spec.CacheTokens) + f.random.Float64()*backupCostJitter + score.pauseCost(e, &w, load)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	r := &BackupReservation{fleet: f, endpoint: best, demand: Demand{Prompt: p.demand.Prompt, Output: need - p.demand.Prompt}, produced: p.produced}
	f.used[best] = struct{}{}
	best.own.BackupTokens += need
	return r
}

// reservedShareLocked returns the share of the memory of a service's engines that is reserved for
// answers.
func (f *Fleet) reservedShareLocked(s *routing.Service) float64 {
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
func (r *BackupReservation) Instance() Instance { return r.endpoint.Instance }

// EndpointContext returns a context that is cancelled once the endpoint is known to have died, and
// the backup is lost with it.
func (r *BackupReservation) EndpointContext() context.Context { return r.endpoint.ctx }

// Unusable returns a channel that is closed once the endpoint is about to stop or its data centre
// is evacuated.
func (r *BackupReservation) Unusable() <-chan struct{} {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.endpoint.unusable
}

// Promote turns the reservation into the placement of the run, which resumes there with the given
// number of tokens produced. It returns nil if the reservation was released, the endpoint is
// leaving or does not accept a request now, or its data centre is evacuated.
func (r *BackupReservation) Promote(produced int) *Placement {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.released || r.endpoint.isLeaving || r.endpoint.isEvacuated ||
		f.pausedLocked(r.endpoint) || !f.limitAllowsLocked(r.endpoint, f.now()) {
		return nil
	}
	r.releaseLocked()
	p := f.placeLocked(r.endpoint, r.demand)
	r.endpoint.own.PendingPrefill -= p.pendingPrefill()
	p.prefilling = false
	r.endpoint.own.Tokens -= p.expectedTokens()
	p.produced = produced
	r.endpoint.own.Tokens += p.expectedTokens()
	return p
}

// Release releases the reservation after the given time: an engine keeps the backup for some time
// if the run was not completed.
func (r *BackupReservation) Release(after time.Duration) {
	if after > 0 {
		time.AfterFunc(after, func() { r.Release(0) })
		return
	}
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.releaseLocked()
}

func (r *BackupReservation) releaseLocked() {
	if r.released {
		return
	}
	r.released = true
	r.endpoint.own.BackupTokens -= r.demand.Tokens()
}
