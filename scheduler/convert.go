package scheduler

import (
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

// maxQuarantinesInReport bounds the quarantined prefixes in a report and in the response to one.
const maxQuarantinesInReport = 16

func requestToWire(r *Request, pool string, timeLeft, now time.Duration) *peerv1.AcquireRequest {
	return &peerv1.AcquireRequest{
		RequestId: r.RequestID, Gateway: r.Gateway, Model: r.Model, Adapter: r.Adapter,
		Workspace: r.Workspace, Class: string(r.Class), Priority: int32(r.Priority),
		PromptTokens: uint32(r.PromptTokens), MaxTokens: uint32(r.MaxTokens),
		DeadlineMs: uint32(timeLeft.Milliseconds()), Prefixes: r.Prefixes, Excluded: r.Excluded,
		Fingerprint: r.Fingerprint, LengthHint: uint32(r.LengthHint), Pool: pool,
		Losses: lossesToWire(r.Losses), Strikes: strikesToWire(r.Strikes, now),
	}
}

func requestFromWire(m *peerv1.AcquireRequest, now time.Duration) Request {
	return Request{
		RequestID: m.GetRequestId(), Gateway: m.GetGateway(), Model: m.GetModel(),
		Adapter: m.GetAdapter(), Workspace: m.GetWorkspace(),
		Class: crocusreel.Class(m.GetClass()), Priority: crocusreel.Priority(m.GetPriority()),
		PromptTokens: int(m.GetPromptTokens()), MaxTokens: int(m.GetMaxTokens()),
		Prefixes: m.GetPrefixes(), Excluded: m.GetExcluded(),
		Fingerprint: m.GetFingerprint(), LengthHint: int(m.GetLengthHint()),
		Losses: permitsFromWire(m.GetLosses()), Strikes: strikesFromWire(m.GetStrikes(), now),
	}
}

// lossesToWire returns the messages of lost permits, with the prefixes of their requests.
func lossesToWire(losses []Permit) []*peerv1.Permit {
	out := permitsToWire(losses)
	for i := range losses {
		out[i].Prefixes = losses[i].Prefixes
	}
	return out
}

func permitsToWire(permits []Permit) []*peerv1.Permit {
	out := make([]*peerv1.Permit, len(permits))
	for i := range permits {
		out[i] = permitToWire(&permits[i])
	}
	return out
}

func permitsFromWire(in []*peerv1.Permit) []Permit {
	out := make([]Permit, len(in))
	for i, p := range in {
		out[i] = permitFromWire(p)
	}
	return out
}

func permitToWire(p *Permit) *peerv1.Permit {
	return &peerv1.Permit{
		Id: p.ID, Endpoint: p.Endpoint, Workspace: p.Workspace, Class: string(p.Class),
		Model: p.Model, PromptTokens: uint32(p.PromptTokens), Produced: uint32(p.Produced),
		EnginePriority: int32(p.EnginePriority), Fingerprint: p.Fingerprint,
		MaxTokens: uint32(p.MaxTokens), LengthHint: uint32(p.LengthHint), Incarnation: p.Incarnation,
	}
}

// releaseToWire returns the message of a release. Prefixes are needed for losses only.
func releaseToWire(r *Release) *peerv1.Release {
	m := &peerv1.Release{Permit: permitToWire(&r.Permit), End: string(r.End)}
	if r.End == EndEndpointLost {
		m.Permit.Prefixes = r.Permit.Prefixes
	}
	return m
}

// quarantinesToWire returns the messages of quarantined prefixes. They are sent without the times of
// refusals, which each scheduler keeps itself.
func quarantinesToWire(verdicts []quarantine.Verdict) []*peerv1.Quarantine {
	out := make([]*peerv1.Quarantine, 0, min(len(verdicts), maxQuarantinesInReport))
	for _, v := range verdicts[:min(len(verdicts), maxQuarantinesInReport)] {
		out = append(out, &peerv1.Quarantine{
			Prefixes: quarantine.IDs(v.Parts), Crashes: uint32(v.Crashes), CrashAgeMs: uint64(max(v.CrashAge.Milliseconds(), 0)),
		})
	}
	return out
}

func quarantinesFromWire(in []*peerv1.Quarantine) []quarantine.Verdict {
	var out []quarantine.Verdict
	for _, m := range in {
		out = append(out, quarantine.Verdict{
			Parts: quarantine.PartsOf(m.GetPrefixes()), Crashes: int(m.GetCrashes()), CrashAge: time.Duration(m.GetCrashAgeMs()) * time.Millisecond, RefusedAge: -1,
		})
	}
	return out
}

func permitFromWire(m *peerv1.Permit) Permit {
	return Permit{
		ID: m.GetId(), Endpoint: m.GetEndpoint(), Workspace: m.GetWorkspace(),
		Class: crocusreel.Class(m.GetClass()), Model: m.GetModel(),
		PromptTokens: int(m.GetPromptTokens()), Produced: int(m.GetProduced()),
		EnginePriority: int(m.GetEnginePriority()), Fingerprint: m.GetFingerprint(),
		MaxTokens: int(m.GetMaxTokens()), LengthHint: int(m.GetLengthHint()), Incarnation: m.GetIncarnation(),
		Prefixes: m.GetPrefixes(),
	}
}

func refusalToWire(r *crocusreel.Refusal) *peerv1.Refusal {
	return &peerv1.Refusal{
		Reason: string(r.Reason), Message: r.Message,
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}
}

func refusalFromWire(m *peerv1.Refusal) *crocusreel.Refusal {
	return &crocusreel.Refusal{
		Reason: crocusreel.Reason(m.GetReason()), Outcome: crocusreel.OutcomeNotRun,
		Message: m.GetMessage(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
}

// Strikes are sent with their age, because processes share no clock.

func strikesToWire(strikes []policy.Strike, now time.Duration) []*peerv1.Strike {
	out := make([]*peerv1.Strike, len(strikes))
	for i, s := range strikes {
		age := max(now-s.At, 0)
		out[i] = &peerv1.Strike{Fingerprint: s.Fingerprint, Death: s.Death, AgeMs: uint32(age.Milliseconds())}
	}
	return out
}

func strikesFromWire(in []*peerv1.Strike, now time.Duration) []policy.Strike {
	out := make([]policy.Strike, len(in))
	for i, s := range in {
		age := time.Duration(s.GetAgeMs()) * time.Millisecond
		out[i] = policy.Strike{Fingerprint: s.GetFingerprint(), Death: s.GetDeath(), At: now - age}
	}
	return out
}
