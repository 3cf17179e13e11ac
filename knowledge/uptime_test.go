package knowledge_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/knowledge"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the time without a heartbeat after which an entry expires. promisedRecovery is the
	// time after an outage within which the entries that expired in it are written again.
	expiry           = 3 * heartbeat
	promisedRecovery = 2 * time.Second
	// detectedOutage is the length from which every outage makes a request fail, so that all nodes
	// learn of it.
	detectedOutage = 1600 * time.Millisecond
	// maxGraceTime bounds the time from the store's return until missing entries are final at a
	// node that gets responses.
	maxGraceTime = 2200 * time.Millisecond
)

// liveEndpoint models an endpoint that writes its entry at each heartbeat while the store is up.
type liveEndpoint struct {
	// interval is the time between two heartbeats, close to the configured one.
	phase, interval time.Duration
	// rewriteDelay is the delay after an outage with which the endpoint writes an expired entry
	// again.
	rewriteDelay time.Duration
}

// span is the time of one outage.
type span struct{ from, to time.Duration }

// uptimeModel models a store with outages, a live endpoint, and nodes that track the store's
// uptime.
type uptimeModel struct {
	now      time.Duration
	outages  []span
	endpoint liveEndpoint
	nodes    []*knowledge.UptimeTracker
}

func (w *uptimeModel) upAt(t time.Duration) bool {
	for _, o := range w.outages {
		if t >= o.from && t < o.to {
			return false
		}
	}
	return true
}

// present reports whether the endpoint's entry exists at a time.
func (w *uptimeModel) present(at time.Duration) bool {
	written := time.Duration(0)
	for t := w.endpoint.phase; t <= at; t += w.endpoint.interval {
		if again := w.rewrittenAt(t, written); again > 0 && again <= at {
			written = again
		}
		if w.upAt(t) && t <= written+expiry {
			written = t
		}
	}
	if again := w.rewrittenAt(at, written); again > 0 && again <= at {
		written = again
	}
	return at <= written+expiry
}

// rewrittenAt returns the time at which the endpoint writes its entry again after the last outage
// before t, if the entry had expired by t; 0 otherwise.
func (w *uptimeModel) rewrittenAt(t, written time.Duration) time.Duration {
	for _, o := range slices.Backward(w.outages) {
		if t >= o.to && written+expiry < t && written < o.to {
			return max(o.to+w.endpoint.rewriteDelay, written+expiry)
		}
	}
	return 0
}

// Guards against dropping live endpoints whose entries expired in an outage, and against a grace
// time that outlasts the time in which such entries are written again.
func TestGraceTimeCoversExpiredEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &uptimeModel{now: 100 * time.Second, outages: []span{{from: 0, to: 50 * time.Second}}}
		w.endpoint.phase = time.Duration(rapid.IntRange(0, 1199).Draw(t, "phase")) * time.Millisecond
		w.endpoint.interval = time.Duration(rapid.IntRange(1000, 1200).Draw(t, "interval")) * time.Millisecond
		w.endpoint.rewriteDelay = time.Duration(rapid.IntRange(0, int(promisedRecovery.Milliseconds())).Draw(t, "back")) * time.Millisecond
		for range 3 {
			w.nodes = append(w.nodes, knowledge.NewUptimeTracker(heartbeat))
		}
		node := rapid.IntRange(0, len(w.nodes)-1)
		returned := func() time.Duration { return w.outages[len(w.outages)-1].to }
		ask := func(i int) {
			w.nodes[i].RecordAnswer(w.now)
			if w.now >= returned()+maxGraceTime && w.nodes[i].Current().Since <= returned()+maxGraceTime-2100*time.Millisecond && w.nodes[i].GraceRemaining() > 0 {
				t.Fatalf("node %d still has a grace time %s after the store's return: %+v", i, w.now-returned(), w.nodes[i].Current())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, n := range w.nodes {
					known := n.Current()
					if known.Until > 0 && n.GraceRemaining() == 0 && !w.present(known.Until) {
						t.Fatalf("node %d, %+v, considers the entry of a live endpoint gone at %s, outages %v", i, known, known.Until, w.outages[1:])
					}
				}
			},
			"time passes": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			},
			// All nodes get responses for some time, as in normal operation.
			"service": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "answers") {
					w.now += 500 * time.Millisecond
					for i := range w.nodes {
						ask(i)
					}
				}
			},
			// An outage begins only after heartbeats have succeeded since the last one. From the
			// length detectedOutage on, all nodes know of a failed request.
			"outage": func(t *rapid.T) {
				if w.now > returned()+promisedRecovery+heartbeat {
					from := w.now
					w.now += time.Duration(rapid.IntRange(100, 7000).Draw(t, "outage")) * time.Millisecond
					w.outages = append(w.outages, span{from: from, to: w.now})
					if w.now-from >= detectedOutage {
						for _, n := range w.nodes {
							n.RecordFailure()
						}
					}
				}
			},
			"answer": func(t *rapid.T) { ask(node.Draw(t, "node")) },
			"with entries": func(t *rapid.T) {
				w.nodes[node.Draw(t, "to")].MergeWithEntries(w.nodes[node.Draw(t, "from")].Current())
			},
			"span only": func(t *rapid.T) {
				w.nodes[node.Draw(t, "to")].MergeWithoutEntries(w.nodes[node.Draw(t, "from")].Current())
			},
			"node restarts": func(t *rapid.T) { w.nodes[node.Draw(t, "node")] = knowledge.NewUptimeTracker(heartbeat) },
		})
	})
}

// Guards against a grace time at a node that alone got no responses for a long time, because it was
// disconnected, frozen or rejected by the store, while the store served other nodes.
func TestUptimeOfOtherNodesCoversAPause(t *testing.T) {
	reader, other := knowledge.NewUptimeTracker(heartbeat), knowledge.NewUptimeTracker(heartbeat)
	for at := time.Second; at <= 20*time.Second; at += time.Second {
		other.RecordAnswer(at)
		if at < 10*time.Second || at > 19*time.Second {
			reader.RecordAnswer(at)
		}
	}
	if reader.GraceRemaining() == 0 {
		t.Fatal("no grace time after ten seconds without a response")
	}
	if !reader.MergeWithoutEntries(other.Current()) || reader.GraceRemaining() > 0 {
		t.Fatalf("grace time of %s although the store served other nodes", reader.GraceRemaining())
	}
}

// Guards against a grace time that delays the removal of endpoints because the node that queries
// the store has died, and against dropping live endpoints after an outage as short as the pause of
// such a takeover.
func TestUptimeDistinguishesATakeoverFromAnOutage(t *testing.T) {
	const pause = 2100 * time.Millisecond
	for _, failed := range []bool{false, true} {
		r := knowledge.NewUptimeTracker(heartbeat)
		at := time.Second
		for ; at <= 6*time.Second; at += time.Second {
			r.RecordAnswer(at)
		}
		if failed {
			r.RecordFailure()
		}
		r.RecordAnswer(at - time.Second + pause)
		if hasGraceTime := r.GraceRemaining() > 0; hasGraceTime != failed {
			t.Errorf("pause of %v, a request failed: %t, missing entries have a grace time: %t", pause, failed, hasGraceTime)
		}
	}
}

// Guards against dropping live endpoints because a node that did not detect an outage sends the
// span from before it.
func TestUptimeOfOtherNodesDoesNotCoverAnOutage(t *testing.T) {
	const before, after = 6 * time.Second, 8100 * time.Millisecond
	reported := knowledge.Uptime{Since: time.Second, Until: before}
	r := knowledge.NewUptimeTracker(heartbeat)
	r.MergeWithEntries(reported)
	r.RecordFailure()
	r.RecordAnswer(after)
	if r.MergeWithoutEntries(reported) || r.GraceRemaining() == 0 {
		t.Errorf("an outage of %v is hidden by %+v", after-before, reported)
	}
	if r.MergeWithEntries(reported); r.GraceRemaining() == 0 {
		t.Errorf("an outage of %v is hidden by %+v with its entries", after-before, reported)
	}
}

// Guards against a grace time that never ends or never begins because a clock was set back, is
// missing, or belongs to a node that knows nothing.
func TestUptimeOfFaultyClocks(t *testing.T) {
	r := knowledge.NewUptimeTracker(heartbeat)
	for _, nothing := range []knowledge.Uptime{{}, {Since: 5, Until: 4}, {Since: -3, Until: 7}} {
		r.MergeWithEntries(nothing)
		r.MergeWithoutEntries(nothing)
	}
	r.RecordAnswer(0)
	if got := r.Current(); got != (knowledge.Uptime{}) || r.GraceRemaining() != 0 {
		t.Fatalf("uptime is %+v after invalid spans, want it empty", got)
	}
	for at := 100 * time.Second; at <= 105*time.Second; at += time.Second {
		r.RecordAnswer(at)
	}
	for at := 10 * time.Second; at <= 13*time.Second; at += time.Second {
		r.RecordAnswer(at)
	}
	if got := r.Current(); got.Since != 10*time.Second || r.GraceRemaining() != 0 {
		t.Fatalf("uptime is %+v after the clock was set back to 10 s, grace time %s", got, r.GraceRemaining())
	}
}
