package controller

import (
	"context"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
)

// staleOrderLifetime is how long an order may still reach an engine after its sender has stopped.
// The sender's operating system retransmits buffered data for about 15 minutes, even while the
// process is frozen.
const staleOrderLifetime = 16 * time.Minute

// mayUnload reports whether the model keeps its required copies after an unload. The states of
// other engines are read again, since the copy of an engine that has just died does not count. An
// engine that may still receive an unload of the model is counted as having unloaded it.
func (r *reconciler) mayUnload(ctx context.Context, t *trackedEngine, o endpoint.Order) bool {
	need := r.minCopies[o.Model]
	if need == 0 {
		return true // no data centre offers the model any longer
	}
	var others []*trackedEngine
	for _, other := range r.engines {
		if other == t || other.target.spec.Leaving || !hasModel(other.state, o.Model) {
			continue
		}
		if r.unloadInDoubt(other, o.Model) {
			continue
		}
		others = append(others, other)
	}
	copies := 0
	if keepsOtherVersion(t.state, o) {
		copies++
	}
	for _, other := range others {
		if copies >= need {
			break
		}
		other.read(ctx, r.c.now())
		if other.reached && hasModel(other.state, o.Model) && other.notLeaving(ctx) {
			copies++
		}
	}
	return copies >= need
}

// notLeaving reports whether the engine answers and does not expect to be reclaimed.
func (t *trackedEngine) notLeaving(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	report, err := t.client.Load(ctx)
	return err == nil && !report.Leaving
}

// keepsOtherVersion reports whether the engine has the model in another version, which the unload
// leaves in place.
func keepsOtherVersion(s endpoint.State, o endpoint.Order) bool {
	return slices.ContainsFunc(s.Models, func(m endpoint.LoadedModel) bool {
		return m.Model == o.Model && m.Version != o.Version
	})
}

// unloadInDoubt reports whether an unload of the model may still take effect at an engine.
func (r *reconciler) unloadInDoubt(t *trackedEngine, model string) bool {
	for intent := range r.inDoubtUnloads {
		if intent.Endpoint == t.target.spec.Name && intent.Model == model {
			return true
		}
	}
	return false
}

// announceUnload stores the intent of an unload before the order is sent, and reports whether it is
// certainly stored.
func (r *reconciler) announceUnload(ctx context.Context, t *trackedEngine, o endpoint.Order) bool {
	_, fence := r.lease.remaining()
	intent := unloadIntent{Endpoint: t.target.spec.Name, Model: o.Model, Fence: fence}
	r.inDoubtUnloads[intent] = r.c.now().Add(staleOrderLifetime)
	return r.lease.storeIntent(ctx, intent)
}

// settleUnload removes the intent of an unload whose effect was seen. Other orders have no intent.
func (r *reconciler) settleUnload(t *trackedEngine, o endpoint.Order) {
	if o.Verb != verbUnload {
		return
	}
	intent := unloadIntent{Endpoint: t.target.spec.Name, Model: o.Model, Fence: o.Fence}
	delete(r.inDoubtUnloads, intent)
	r.lease.removeIntent(intent)
}

// refreshInDoubtUnloads adds the intents of former holders and removes those whose order can no
// longer take effect.
func (r *reconciler) refreshInDoubtUnloads() {
	now := r.c.now()
	for _, intent := range r.lease.unloadIntents() {
		if _, known := r.inDoubtUnloads[intent]; !known {
			r.inDoubtUnloads[intent] = now.Add(staleOrderLifetime)
		}
	}
	for intent, until := range r.inDoubtUnloads {
		if now.After(until) || r.refusedByFence(intent) {
			delete(r.inDoubtUnloads, intent)
			r.lease.removeIntent(intent)
		}
	}
}

// refusedByFence reports whether the engine checks fencing tokens and has seen a higher one than
// that of the intent.
func (r *reconciler) refusedByFence(intent unloadIntent) bool {
	t, ok := r.engines[intent.Endpoint]
	return ok && t.target.spec.ChecksFence && t.reached && t.state.Fence > intent.Fence
}
