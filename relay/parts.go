package relay

import (
	"context"
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/retry"
)

// A part of a prompt may crash each engine that begins an answer on it, whatever else the request
// holds. Requests with a suspected part run one at a time over all nodes, until a run goes on past its
// first event or the part is quarantined. Requests with quarantined parts are refused at once.

// provenEvents is the number of events from which on a run has gone on past its first event.
const provenEvents = 2

// partFingerprint identifies a part of a prompt among the works that are claimed.
func partFingerprint(p quarantine.Part) Fingerprint {
	h := fnv.New64a()
	_, _ = h.Write([]byte("prompt part " + p.String()))
	return Fingerprint(h.Sum64())
}

// assessParts returns what is known of the parts of the request's prompt.
func (j *job) assessParts() quarantine.Assessment {
	a := j.Quarantine.Assess(j.r.Parts, j.probing)
	if a.Probe && !j.probing {
		j.probing = true
		metrics.Count("quarantine_probe")
		j.Log.Warn("request with quarantined parts runs as a probe", zap.String("request", j.r.ID),
			zap.Strings("parts", quarantine.Strings(a.Parts)), zap.Int("crashes", a.Crashes))
	}
	return a
}

// refuseQuarantined refuses a request with quarantined parts.
func (j *job) refuseQuarantined() *crocusreel.Refusal {
	if a := j.assessParts(); a.State == quarantine.Quarantined {
		return j.quarantineRefusal(a)
	}
	return nil
}

func (j *job) quarantineRefusal(a quarantine.Assessment) *crocusreel.Refusal {
	j.Log.Info("request refused for parts of its prompt", zap.String("request", j.r.ID),
		zap.Strings("parts", quarantine.Strings(a.Parts)), zap.Int("crashes", a.Crashes))
	return crocusreel.Refuse(crocusreel.ReasonQuarantined, crocusreel.OutcomeNotRun, a.RetryAfter,
		"%d engines died of requests with the prompt parts %v", a.Crashes, a.Parts)
}

// acquire waits for a placement. Parts of the prompt may become suspected while the request waits for
// capacity; it then waits for its turn among the requests with these parts.
func (j *job) acquire(ctx context.Context) (*fleet.Placement, *crocusreel.Refusal) {
	for {
		if refusal := j.awaitParts(ctx); refusal != nil {
			return nil, refusal
		}
		p, refusal := j.Fleet.Acquire(ctx, j.work(), j.maxWait())
		if refusal != nil {
			return nil, refusal
		}
		j.result.Waited += p.Waited
		if a := j.assessParts(); a.State == quarantine.Clear || a.State == quarantine.Suspect && j.holdsClaims(a.Parts) {
			return p, nil
		}
		p.Release(fleet.Neutral)
	}
}

// awaitParts waits until the request may run with the parts of its prompt.
func (j *job) awaitParts(ctx context.Context) *crocusreel.Refusal {
	began := time.Now()
	var timeout <-chan time.Time
	for {
		a := j.assessParts()
		switch a.State {
		case quarantine.Clear:
			j.dropPartClaims()
			return nil
		case quarantine.Quarantined:
			return j.quarantineRefusal(a)
		case quarantine.Suspect:
		}
		if timeout == nil {
			metrics.Count("suspect_parts_waited")
			timeout = time.After(j.maxPartsWait())
		}
		if !j.holdsClaims(a.Parts) {
			j.claimParts(a.Parts, false)
			if !retry.Sleep(ctx, claimSettleTime) {
				return j.deadlineRefusal()
			}
		}
		mayRun, changed := j.partsTurn()
		if mayRun {
			j.claimParts(a.Parts, true)
			metrics.Count("suspect_parts_run")
			j.Log.Info("request with suspected parts runs", zap.String("request", j.r.ID),
				zap.Strings("parts", quarantine.Strings(a.Parts)), zap.Duration("waited", time.Since(began)))
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return j.deadlineRefusal()
		case <-timeout:
			metrics.Count("suspect_parts_not_run")
			return crocusreel.Refuse(crocusreel.ReasonQuarantined, crocusreel.OutcomeNotRun, claimRetryAfter,
				"engines died of requests with one of the prompt parts %v, and another such request runs", a.Parts)
		}
	}
}

// maxPartsWait returns how long the request waits for its turn among those with the same suspected
// parts: its latency target, if there is one.
func (j *job) maxPartsWait() time.Duration {
	if target := j.r.Route.TargetLatency; target > 0 {
		return min(target, j.maxWait())
	}
	return j.maxWait()
}

// partsTurn reports whether no other request with one of the claimed parts runs or has its turn
// before this one. If one has, changed is closed when the claims change.
func (j *job) partsTurn() (mayRun bool, changed <-chan struct{}) {
	mayRun = true
	for _, claim := range j.partClaims {
		var ahead int
		ahead, changed = j.Claims.countAhead(claim)
		if ahead > 0 {
			return false, changed
		}
	}
	return true, changed
}

// claimParts creates or updates the request's claims to the parts.
func (j *job) claimParts(parts []quarantine.Part, running bool) {
	for _, p := range parts {
		claim := Claim{Work: partFingerprint(p), ID: claimID(j.r), Running: running}
		i := j.partClaim(p)
		if i < 0 {
			j.partClaims = append(j.partClaims, claim)
		} else {
			j.partClaims[i] = claim
		}
		j.Claims.set(claim)
	}
}

func (j *job) partClaim(p quarantine.Part) int {
	for i, claim := range j.partClaims {
		if claim.Work == partFingerprint(p) {
			return i
		}
	}
	return -1
}

// holdsClaims reports whether the request has claims to all of the parts.
func (j *job) holdsClaims(parts []quarantine.Part) bool {
	for _, p := range parts {
		if j.partClaim(p) < 0 {
			return false
		}
	}
	return true
}

func (j *job) dropPartClaims() {
	for _, claim := range j.partClaims {
		j.Claims.drop(claim)
	}
	j.partClaims = nil
}

// proveParts records that a run of the request has gone on past its first event, or has ended.
func (j *job) proveParts() {
	if j.proven {
		return
	}
	j.proven = true
	j.Quarantine.RecordSurvival(j.r.Parts)
	j.dropPartClaims()
}

// recordPartsCrash records that the engine died of a run that had not gone on past its first event.
func (j *job) recordPartsCrash(p *fleet.Placement) {
	if j.proven {
		return
	}
	j.probing = false
	j.Quarantine.RecordCrash(uint32(p.Instance().Incarnation().Key()), j.r.Parts)
}

// mayResumeParts reports whether a run may go on from a copy of its memory, as far as the parts of its
// prompt are concerned: a copy of a run that has not gone on past its first event may crash its engine
// as well.
func (j *job) mayResumeParts() bool {
	return j.proven || j.assessParts().State == quarantine.Clear
}
