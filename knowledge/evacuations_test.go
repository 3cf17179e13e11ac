package knowledge_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// change is one change of the operator's table in the store.
type change struct {
	knowledge.EvacuationOrder
}

// evacuationModel models a store and nodes that learn of its evacuations in any order and from any
// source.
type evacuationModel struct {
	revision platform.Revision
	changes  []change
	nodes    []*knowledge.EvacuationTracker
	// read is the store's revision up to which each node has read the store itself.
	read []platform.Revision
}

// at returns the orders in the store at a revision of the current era.
func (w *evacuationModel) at(revision platform.Revision) map[string]platform.Revision {
	orders := make(map[string]platform.Revision)
	for _, c := range w.changes {
		switch {
		case c.Revision.NewerThan(revision):
		case c.Withdrawn:
			delete(orders, c.DataCentre)
		default:
			orders[c.DataCentre] = c.Revision
		}
	}
	return orders
}

// restore brings the store back from a copy made at the given version.
func (w *evacuationModel) restore(version int64) {
	w.revision = platform.Revision{Era: w.revision.Era + 1, Version: version}
	var kept []change
	for _, c := range w.changes {
		if c.Revision.Version <= version {
			c.Revision.Era = w.revision.Era
			kept = append(kept, c)
		}
	}
	w.changes = kept
}

// inStore returns the known orders without those that were lost in a restoration.
func inStore(set knowledge.EvacuationSet) map[string]platform.Revision {
	orders := maps.Clone(set.Orders)
	maps.DeleteFunc(orders, func(_ string, order platform.Revision) bool { return order.Era < set.Revision.Era })
	return orders
}

// since returns the last change of each row after a version, as the store lists them.
func (w *evacuationModel) since(revision platform.Revision) []knowledge.EvacuationOrder {
	var orders []knowledge.EvacuationOrder
	for i, c := range w.changes {
		if !c.Revision.NewerThan(revision) {
			continue
		}
		last := true
		for _, later := range w.changes[i+1:] {
			last = last && later.DataCentre != c.DataCentre
		}
		if last {
			orders = append(orders, c.EvacuationOrder)
		}
	}
	return orders
}

// Guards against a set that differs from that of the store at the node's revision, apart from lost
// orders, because a node learns of orders from several sources or the store was restored from a copy.
func TestEvacuationsMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &evacuationModel{revision: platform.Revision{Era: 1, Version: 1}}
		for range 3 {
			w.nodes = append(w.nodes, &knowledge.EvacuationTracker{IsKnown: func(string) bool { return true }})
			w.read = append(w.read, platform.Revision{})
		}
		node := rapid.IntRange(0, len(w.nodes)-1)
		check := func(i int, before platform.Revision) {
			got := w.nodes[i].Current()
			if before.NewerThan(got.Revision) {
				t.Fatalf("node %d went back from revision %v to %v", i, before, got.Revision)
			}
			current := got.Revision.Version > 0 && got.Revision.Era == w.revision.Era
			if current && !maps.Equal(inStore(got), w.at(got.Revision)) {
				t.Fatalf("node %d at revision %v has %v, but the store has %v", i, got.Revision, got.Orders, w.at(got.Revision))
			}
		}
		list := func(i int) {
			before := w.nodes[i].Current()
			w.nodes[i].Replace(knowledge.EvacuationSet{Revision: w.revision, Orders: w.at(w.revision)})
			w.read[i] = w.revision
			check(i, before.Revision)
			if before.Revision.Era == w.revision.Era {
				return
			}
			after := w.nodes[i].Current()
			for name := range before.Orders {
				if _, kept := after.Orders[name]; !kept {
					t.Fatalf("node %d ended the evacuation of %s when the store was restored", i, name)
				}
			}
		}
		read := func(i int) {
			before := w.nodes[i].Revision()
			since := platform.MaxRevision(w.read[i], before)
			if since.Version == 0 || since.Era < w.revision.Era {
				list(i)
				return
			}
			w.nodes[i].Apply(w.since(since))
			w.read[i] = w.revision
			check(i, before)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				w.revision.Version += rapid.Int64Range(1, 3).Draw(t, "step")
				for range rapid.IntRange(1, 2).Draw(t, "rows of one transaction") {
					w.changes = append(w.changes, change{knowledge.EvacuationOrder{
						DataCentre: rapid.SampledFrom([]string{"dc1", "dc2", "dc3"}).Draw(t, "data centre"),
						Revision:   w.revision, Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
					}})
				}
			},
			"other change": func(*rapid.T) { w.revision.Version++ },
			"restore": func(t *rapid.T) {
				w.restore(rapid.Int64Range(1, w.revision.Version).Draw(t, "version of the copy"))
			},
			"drop lost orders": func(t *rapid.T) { w.nodes[node.Draw(t, "node")].DropLost() },
			"read":             func(t *rapid.T) { read(node.Draw(t, "node")) },
			"list":             func(t *rapid.T) { list(node.Draw(t, "node")) },
			"tell": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				before := w.nodes[to].Revision()
				w.nodes[to].Replace(w.nodes[from].Current())
				check(to, before)
				// Otherwise the peer would send the same set again in an endless loop.
				if w.nodes[from].Revision().NewerThan(w.nodes[to].Revision()) {
					t.Fatalf("node %d received revision %v but is still at revision %v", to, w.nodes[from].Revision(), w.nodes[to].Revision())
				}
			},
			"node restarts": func(t *rapid.T) {
				i := node.Draw(t, "node")
				w.nodes[i], w.read[i] = &knowledge.EvacuationTracker{IsKnown: func(string) bool { return true }}, platform.Revision{}
			},
		})
		for i := range w.nodes {
			read(i)
			w.nodes[i].DropLost()
			if got := w.nodes[i].Current(); !maps.Equal(got.Orders, w.at(w.revision)) {
				t.Fatalf("node %d has %v after reading all changes, but the store has %v", i, got.Orders, w.at(w.revision))
			}
		}
	})
}

// Guards against rows written by mistake that exhaust memory or displace a real order.
func TestUnknownEvacuationsAreBounded(t *testing.T) {
	e := &knowledge.EvacuationTracker{IsKnown: func(name string) bool { return name == "dc1" }}
	set := knowledge.EvacuationSet{Revision: platform.Revision{Version: 1}, Orders: make(map[string]platform.Revision)}
	for i := range 1000 {
		set.Orders[fmt.Sprintf("a%d", i)] = set.Revision
	}
	e.Replace(set)
	e.Apply([]knowledge.EvacuationOrder{{DataCentre: "dc1", Revision: platform.Revision{Version: 2}}})
	got := e.Current()
	if _, ok := got.Orders["dc1"]; !ok {
		t.Error("the order for dc1 was not kept")
	}
	if len(got.Orders) > 300 {
		t.Errorf("%d orders are kept, want at most 300", len(got.Orders))
	}
}
