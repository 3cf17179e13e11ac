package knowledge_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/knowledge"
)

// change is one change of the operator's table in the store.
type change struct {
	knowledge.EvacuationOrder
}

// evacuationModel models a store and nodes that learn of its evacuations in any order and from any
// source.
type evacuationModel struct {
	version int64
	changes []change
	nodes   []*knowledge.EvacuationTracker
	// readVersion is the store version up to which each node has read the store itself.
	readVersion []int64
}

func (w *evacuationModel) at(version int64) map[string]int64 {
	orders := make(map[string]int64)
	for _, c := range w.changes {
		switch {
		case c.Version > version:
		case c.Withdrawn:
			delete(orders, c.DataCentre)
		default:
			orders[c.DataCentre] = c.Version
		}
	}
	return orders
}

// since returns the last change of each row after a version, as the store lists them.
func (w *evacuationModel) since(version int64) []knowledge.EvacuationOrder {
	var orders []knowledge.EvacuationOrder
	for i, c := range w.changes {
		if c.Version <= version {
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

// Guards against an order that a node loses or restores because it learns of it from several
// sources at once. In any order of events, the set of a node equals that of the store at the node's
// version, and versions never decrease.
func TestEvacuationsMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &evacuationModel{version: 1}
		for range 3 {
			w.nodes = append(w.nodes, &knowledge.EvacuationTracker{IsKnown: func(string) bool { return true }})
			w.readVersion = append(w.readVersion, 0)
		}
		node := rapid.IntRange(0, len(w.nodes)-1)
		check := func(i int, before int64) {
			got := w.nodes[i].Current()
			if got.Version < before {
				t.Fatalf("node %d went back from version %d to %d", i, before, got.Version)
			}
			if got.Version > 0 && !maps.Equal(got.Orders, w.at(got.Version)) {
				t.Fatalf("node %d at version %d has %v, but the store has %v", i, got.Version, got.Orders, w.at(got.Version))
			}
		}
		read := func(i int) {
			before := w.nodes[i].Version()
			since := max(w.readVersion[i], before)
			if since == 0 {
				w.nodes[i].Replace(knowledge.EvacuationSet{Version: w.version, Orders: w.at(w.version)})
			} else {
				w.nodes[i].Apply(w.since(since))
			}
			w.readVersion[i] = w.version
			check(i, before)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				w.version += rapid.Int64Range(1, 3).Draw(t, "step")
				for range rapid.IntRange(1, 2).Draw(t, "rows of one transaction") {
					w.changes = append(w.changes, change{knowledge.EvacuationOrder{
						DataCentre: rapid.SampledFrom([]string{"dc1", "dc2", "dc3"}).Draw(t, "data centre"),
						Version:    w.version, Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
					}})
				}
			},
			"other change": func(*rapid.T) { w.version++ },
			"read":         func(t *rapid.T) { read(node.Draw(t, "node")) },
			"list": func(t *rapid.T) {
				i := node.Draw(t, "node")
				before := w.nodes[i].Version()
				w.nodes[i].Replace(knowledge.EvacuationSet{Version: w.version, Orders: w.at(w.version)})
				w.readVersion[i] = w.version
				check(i, before)
			},
			"tell": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				before := w.nodes[to].Version()
				w.nodes[to].Replace(w.nodes[from].Current())
				check(to, before)
				// Otherwise the peer would send the same set again in an endless loop.
				if w.nodes[to].Version() < w.nodes[from].Version() {
					t.Fatalf("node %d received version %d but is still at version %d", to, w.nodes[from].Version(), w.nodes[to].Version())
				}
			},
			"node restarts": func(t *rapid.T) {
				i := node.Draw(t, "node")
				w.nodes[i], w.readVersion[i] = &knowledge.EvacuationTracker{IsKnown: func(string) bool { return true }}, 0
			},
		})
		for i := range w.nodes {
			read(i)
			if got := w.nodes[i].Current(); !maps.Equal(got.Orders, w.at(w.version)) {
				t.Fatalf("node %d has %v after reading all changes, but the store has %v", i, got.Orders, w.at(w.version))
			}
		}
	})
}

// Guards against rows written by mistake that exhaust memory or displace a real order.
func TestUnknownEvacuationsAreBounded(t *testing.T) {
	e := &knowledge.EvacuationTracker{IsKnown: func(name string) bool { return name == "dc1" }}
	set := knowledge.EvacuationSet{Version: 1, Orders: make(map[string]int64)}
	for i := range 1000 {
		set.Orders[fmt.Sprintf("a%d", i)] = 1
	}
	e.Replace(set)
	e.Apply([]knowledge.EvacuationOrder{{DataCentre: "dc1", Version: 2}})
	got := e.Current()
	if _, ok := got.Orders["dc1"]; !ok {
		t.Error("the order for dc1 was not kept")
	}
	if len(got.Orders) > 300 {
		t.Errorf("%d orders are kept, want at most 300", len(got.Orders))
	}
}
