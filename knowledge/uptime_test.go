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
	// expiry is the time without a heartbeat after which an entry expires, and promisedBack that
	// after an outage in which the entries that expired in it are written again.
	expiry       = 3 * heartbeat
	promisedBack = 2 * time.Second
	// noticed is the length of an outage from which a question has failed and all nodes know it.
	noticed = 1600 * time.Millisecond
	// settled bounds the time from the store's return until nothing is doubted any more, at a
	// node that gets its answers.
	settled = 2200 * time.Millisecond
)

// livingEndpoint writes its entry at each heartbeat at which the store is up.
type livingEndpoint struct {
	// interval is the time between two heartbeats, about that of the settings.
	phase, interval time.Duration
	// back is when, after an outage in which its entry has expired, it writes it again.
	back time.Duration
}

// span is one outage.
type span struct{ from, to time.Duration }

// uptimeWorld is a store with outages, a living endpoint, and nodes with their accounts.
type uptimeWorld struct {
	now      time.Duration
	outages  []span
	endpoint livingEndpoint
	nodes    []*knowledge.UptimeRecord
}

func (w *uptimeWorld) upAt(t time.Duration) bool {
	for _, o := range w.outages {
		if t >= o.from && t < o.to {
			return false
		}
	}
	return true
}

// present tells whether the endpoint's entry was there at a time.
func (w *uptimeWorld) present(at time.Duration) bool {
	written := time.Duration(0)
	for t := w.endpoint.phase; t <= at; t += w.endpoint.interval {
		if again := w.writesAgain(t, written); again > 0 && again <= at {
			written = again
		}
		if w.upAt(t) && t <= written+expiry {
			written = t
		}
	}
	if again := w.writesAgain(at, written); again > 0 && again <= at {
		written = again
	}
	return at <= written+expiry
}

// writesAgain is when an endpoint whose entry had expired by t writes it after the last outage
// before t; 0 if it hadn't.
func (w *uptimeWorld) writesAgain(t, written time.Duration) time.Duration {
	for _, o := range slices.Backward(w.outages) {
		if t >= o.to && written+expiry < t && written < o.to {
			return max(o.to+w.endpoint.back, written+expiry)
		}
	}
	return 0
}

// Guards against living endpoints that are given up because an outage took their entries, and
// against doubts that outlast the time in which such entries come back.
func TestUptimeTellsWhichEntriesMayComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &uptimeWorld{now: 100 * time.Second, outages: []span{{from: 0, to: 50 * time.Second}}}
		w.endpoint.phase = time.Duration(rapid.IntRange(0, 1199).Draw(t, "phase")) * time.Millisecond
		w.endpoint.interval = time.Duration(rapid.IntRange(1000, 1200).Draw(t, "interval")) * time.Millisecond
		w.endpoint.back = time.Duration(rapid.IntRange(0, int(promisedBack.Milliseconds())).Draw(t, "back")) * time.Millisecond
		for range 3 {
			w.nodes = append(w.nodes, knowledge.NewUptimeRecord(heartbeat))
		}
		node := rapid.IntRange(0, len(w.nodes)-1)
		returned := func() time.Duration { return w.outages[len(w.outages)-1].to }
		ask := func(i int) {
			w.nodes[i].Answered(w.now)
			if w.now >= returned()+settled && w.nodes[i].Current().Since <= returned()+settled-2100*time.Millisecond && w.nodes[i].Doubt() > 0 {
				t.Fatalf("node %d still doubts %s after the store's return: %+v", i, w.now-returned(), w.nodes[i].Current())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, n := range w.nodes {
					known := n.Current()
					if known.Until > 0 && n.Doubt() == 0 && !w.present(known.Until) {
						t.Fatalf("node %d, %+v, takes the entry for gone at %s, outages %v", i, known, known.Until, w.outages[1:])
					}
				}
			},
			"time passes": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			},
			// All nodes get answers for some time, as they do if nothing is wrong.
			"service": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "answers") {
					w.now += 500 * time.Millisecond
					for i := range w.nodes {
						ask(i)
					}
				}
			},
			// An outage begins only when heartbeats have got through since the last one. From noticed
			// on all nodes know of a question that failed.
			"outage": func(t *rapid.T) {
				if w.now > returned()+promisedBack+heartbeat {
					from := w.now
					w.now += time.Duration(rapid.IntRange(100, 7000).Draw(t, "outage")) * time.Millisecond
					w.outages = append(w.outages, span{from: from, to: w.now})
					if w.now-from >= noticed {
						for _, n := range w.nodes {
							n.Failed()
						}
					}
				}
			},
			"answer":        func(t *rapid.T) { ask(node.Draw(t, "node")) },
			"with entries":  func(t *rapid.T) { w.nodes[node.Draw(t, "to")].Told(w.nodes[node.Draw(t, "from")].Current()) },
			"span only":     func(t *rapid.T) { w.nodes[node.Draw(t, "to")].Heard(w.nodes[node.Draw(t, "from")].Current()) },
			"node restarts": func(t *rapid.T) { w.nodes[node.Draw(t, "node")] = knowledge.NewUptimeRecord(heartbeat) },
		})
	})
}

// Guards against doubts at a node that the store alone turned away, cut off or frozen for long,
// while it served others.
func TestUptimeOfOthersCoversAPause(t *testing.T) {
	reader, other := knowledge.NewUptimeRecord(heartbeat), knowledge.NewUptimeRecord(heartbeat)
	for at := time.Second; at <= 20*time.Second; at += time.Second {
		other.Answered(at)
		if at < 10*time.Second || at > 19*time.Second {
			reader.Answered(at)
		}
	}
	if reader.Doubt() == 0 {
		t.Fatal("no doubt after ten seconds without an answer")
	}
	if !reader.Heard(other.Current()) || reader.Doubt() > 0 {
		t.Fatalf("doubt of %s although the store served others", reader.Doubt())
	}
}

// Guards against withdrawals that are doubted because the node that asks the store has died, and
// against living endpoints that are given up after an outage that is as short as that pause.
func TestUptimeTellsATakeoverFromAnOutage(t *testing.T) {
	const pause = 2100 * time.Millisecond
	for _, failed := range []bool{false, true} {
		r := knowledge.NewUptimeRecord(heartbeat)
		at := time.Second
		for ; at <= 6*time.Second; at += time.Second {
			r.Answered(at)
		}
		if failed {
			r.Failed()
		}
		r.Answered(at - time.Second + pause)
		if doubted := r.Doubt() > 0; doubted != failed {
			t.Errorf("a pause of %v, a question failed: %t, entries are doubted: %t", pause, failed, doubted)
		}
	}
}

// Guards against living endpoints that are given up because a node which didn't notice an outage
// tells of the time before it.
func TestUptimeOfOthersDoesNotCoverAnOutage(t *testing.T) {
	const before, after = 6 * time.Second, 8100 * time.Millisecond
	told := knowledge.Uptime{Since: time.Second, Until: before}
	r := knowledge.NewUptimeRecord(heartbeat)
	r.Told(told)
	r.Failed()
	r.Answered(after)
	if r.Heard(told) || r.Doubt() == 0 {
		t.Errorf("an outage of %v is covered by %+v", after-before, told)
	}
	if r.Told(told); r.Doubt() == 0 {
		t.Errorf("an outage of %v is covered by %+v and its entries", after-before, told)
	}
}

// Guards against an account that never ends its doubts, or never begins them, because a clock was
// set back, isn't told, or is told by a node that knows nothing.
func TestUptimeOfFaultyClocks(t *testing.T) {
	r := knowledge.NewUptimeRecord(heartbeat)
	for _, nothing := range []knowledge.Uptime{{}, {Since: 5, Until: 4}, {Since: -3, Until: 7}} {
		r.Told(nothing)
		r.Heard(nothing)
	}
	r.Answered(0)
	if got := r.Current(); got != (knowledge.Uptime{}) || r.Doubt() != 0 {
		t.Fatalf("learned %+v from nothing", got)
	}
	for at := 100 * time.Second; at <= 105*time.Second; at += time.Second {
		r.Answered(at)
	}
	for at := 10 * time.Second; at <= 13*time.Second; at += time.Second {
		r.Answered(at)
	}
	if got := r.Current(); got.Since != 10*time.Second || r.Doubt() != 0 {
		t.Fatalf("%+v after the clock went back to 10 s, doubt %s", got, r.Doubt())
	}
}
