package fleet

import "time"

// ReserveMoveTarget returns a placement to which the run at p can be moved, or nil if no endpoint
// has capacity. The caller must call EndCopy on it when the memory copy has ended.
func (f *Fleet) ReserveMoveTarget(p *Placement, w Work) *Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Exclude = append(w.Exclude, p.endpoint.ID)
	w.moveSource, w.moveTokens = p.endpoint, p.currentTokensLocked()
	w.Demand = Demand{Prompt: p.demand.Prompt, Output: p.expectedTokens() - p.demand.Prompt}
	e := f.pickLocked(&w)
	if e == nil {
		return nil
	}
	target := f.placeLocked(e, w.Demand)
	e.own.PendingPrefill -= target.pendingPrefill()
	target.prefilling = false
	target.produced = p.produced
	target.incomingTokens = target.currentTokensLocked()
	e.own.IncomingTokens += target.incomingTokens
	return target
}

// EndCopy records the end of the memory copy to a move target.
func (p *Placement) EndCopy() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.endpoint.own.IncomingTokens -= p.incomingTokens
	p.incomingTokens = 0
}

// Departure describes an endpoint that is leaving.
type Departure struct {
	// Since is the time that has passed since it was found to be leaving.
	Since time.Duration
}

// Departure returns what is known of the leaving endpoint of p.
func (p *Placement) Departure() Departure {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return Departure{Since: f.now() - p.endpoint.leavingSince}
}
