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
const staleOrderLife = 16 * time.Minute

// mayUnload reports whether the model keeps its required copies after an unload. The states of
// other engines are read again, since an engine that has just died is no copy any more. An engine
// that may still receive an unload of the model is counted as having unloaded it.
func (k *orderKeeper) mayUnload(ctx context.Context, t *tracked, o endpoint.Order) bool {
	need := k.keep[o.Model]
	if need == 0 {
		return true // no data centre offers the model any longer
	}
	var others []*tracked
	for _, other := range k.engines {
		if other == t || other.target.spec.Leaving || !hasModel(other.state, o.Model) {
			continue
		}
		if k.inDoubt(other, o.Model) {
			continue
		}
		others = append(others, other)
	}
	copies := 0
	if remains(t.state, o) {
		copies++
	}
	for _, other := range others {
		if copies >= need {
			break
		}
		other.read(ctx, k.c.now())
		if other.reached && hasModel(other.state, o.Model) && other.stays(ctx) {
			copies++
		}
	}
	return copies >= need
}

// notLeaving reports whether the engine answers and does not expect to be reclaimed.
func (t *tracked) stays(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	report, err := t.client.Load(ctx)
	return err == nil && !report.Leaving
}

// keepsOtherVersion reports whether the engine has the model in another version, which the unload
// leaves in place.
func remains(s endpoint.State, o endpoint.Order) bool {
	return slices.ContainsFunc(s.Models, func(m endpoint.LoadedModel) bool {
		return m.Model == o.Model && m.Version != o.Version
	})
}

// unloadInDoubt reports whether an unload of the model may still take effect at an engine.
func (k *orderKeeper) inDoubt(t *tracked, model string) bool {
	for intent := range k.doubt {
		if intent.Endpoint == t.target.spec.Name && intent.Model == model {
			return true
		}
	}
	return false
}

// announceUnload stores the intent of an unload before the order is sent, and reports whether it is
// certainly stored.
func (k *orderKeeper) announce(ctx context.Context, t *tracked, o endpoint.Order) bool {
	_, fence := k.lease.remaining()
	intent := unloadIntent{Endpoint: t.target.spec.Name, Model: o.Model, Fence: fence}
	k.doubt[intent] = k.c.now().Add(staleOrderLife)
	return k.lease.announce(ctx, intent)
}

// settleUnload removes the intent of an unload whose effect was seen. Other orders have no intent.
func (k *orderKeeper) settle(t *tracked, o endpoint.Order) {
	if o.Verb != verbUnload {
		return
	}
	intent := unloadIntent{Endpoint: t.target.spec.Name, Model: o.Model, Fence: o.Fence}
	delete(k.doubt, intent)
	k.lease.settle(intent)
}

// refreshInDoubtUnloads adds the intents of former holders and removes those whose order can no
// longer take effect.
func (k *orderKeeper) refreshDoubt() {
	now := k.c.now()
	for _, intent := range k.lease.intents() {
		if _, known := k.doubt[intent]; !known {
			k.doubt[intent] = now.Add(staleOrderLife)
		}
	}
	for intent, until := range k.doubt {
		if now.After(until) || k.refusedByFence(intent) {
			delete(k.doubt, intent)
			k.lease.settle(intent)
		}
	}
}

// refusedByFence reports whether the engine checks fencing numbers and has seen a higher one than
// that of the intent.
func (k *orderKeeper) refusedByFence(intent unloadIntent) bool {
	t, ok := k.engines[intent.Endpoint]
	return ok && t.target.spec.ChecksFence && t.reached && t.state.Fence > intent.Fence
}
