package node_test

import (
	"slices"
	"testing"

	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/node"
)

// reachPeer returns a ready node. lost and reached name the services that it has lost and reaches.
func reachPeer(address, dataCentre string, lost, reached []string) gossip.Peer {
	return gossip.Peer{
		Address: address, CallerAddress: address, DataCentre: dataCentre, Ready: true, Forwards: true,
		Lost: node.ServiceSetOf(lost...), Reached: node.ServiceSetOf(reached...),
	}
}

// Guards against callers that are led to nodes that reach no endpoint, and against an empty answer if
// no node does.
func TestReachingNodes(t *testing.T) {
	app, both := []string{"app"}, []string{"app", "pool"}
	notReady := reachPeer("r", "dc1", nil, both)
	notReady.Ready = false
	cases := []struct {
		name  string
		nodes []gossip.Peer
		want  []string
	}{
		{"none has lost a service", []gossip.Peer{reachPeer("a", "dc1", nil, both), reachPeer("b", "dc1", nil, nil)}, []string{"a", "b"}},
		{"one has lost all", []gossip.Peer{reachPeer("a", "dc1", both, nil), reachPeer("b", "dc1", nil, both)}, []string{"b"}},
		{"one has lost one service", []gossip.Peer{reachPeer("a", "dc1", app, nil), reachPeer("b", "dc1", nil, both)}, []string{"b"}},
		{"nobody reaches the lost service", []gossip.Peer{reachPeer("a", "dc1", app, nil), reachPeer("b", "dc1", nil, []string{"pool"})}, []string{"a", "b"}},
		{"all have lost it", []gossip.Peer{reachPeer("a", "dc1", app, nil), reachPeer("b", "dc1", app, nil)}, []string{"a", "b"}},
		{"each has lost what the other reaches", []gossip.Peer{reachPeer("a", "dc1", app, []string{"pool"}), reachPeer("b", "dc1", []string{"pool"}, app)}, []string{"a", "b"}},
		{"only one that is not ready reaches it", []gossip.Peer{reachPeer("a", "dc1", both, nil), notReady}, []string{"a", "r"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, p := range node.ReachingNodes(c.nodes) {
				got = append(got, p.Address)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("nodes %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against requests that are passed to nodes that cannot serve them, leave their region, or
// overload the few nodes nearby.
func TestNodesThatServeRequestsForThisOne(t *testing.T) {
	app := []string{"app"}
	regions := map[string]string{"dc1": "north", "dc2": "north", "dc3": "south"}
	old, leaving := reachPeer("old", "dc1", nil, app), reachPeer("leaving", "dc1", nil, app)
	old.Forwards, leaving.Leaving = false, true
	near, near2 := reachPeer("near", "dc1", nil, app), reachPeer("near2", "dc1", nil, app)
	far, south := reachPeer("far", "dc2", nil, app), reachPeer("south", "dc3", nil, app)
	silent := reachPeer("silent", "dc1", nil, nil)
	var cut []gossip.Peer
	for _, name := range []string{"x", "y", "z"} {
		cut = append(cut, reachPeer(name, "dc1", app, nil))
	}
	cases := []struct {
		name  string
		nodes []gossip.Peer
		bound []string
		want  []string
	}{
		{name: "those nearby", nodes: []gossip.Peer{near, far, south}, want: []string{"near"}},
		{name: "those with recent answers", nodes: []gossip.Peer{silent, far}, want: []string{"far"}},
		{name: "others if there are none", nodes: []gossip.Peer{silent}, want: []string{"silent"}},
		{name: "none that has lost the service, leaves or cannot serve", nodes: append(cut, old, leaving), want: nil},
		{name: "too few nearby", nodes: append(slices.Clone(cut), near, far, south), want: []string{"near", "far"}},
		{name: "enough nearby", nodes: append(slices.Clone(cut), near, near2, far), want: []string{"near", "near2"}},
		{name: "the region before others", nodes: []gossip.Peer{far, south}, want: []string{"far"}},
		{name: "another region", nodes: []gossip.Peer{south}, want: []string{"south"}},
		{name: "bound to a region", nodes: []gossip.Peer{near, far, south}, bound: []string{"south"}, want: []string{"south"}},
		{name: "bound to a region without nodes", nodes: []gossip.Peer{near, far}, bound: []string{"south"}, want: nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, p := range node.ForwardCandidates(c.nodes, "app", regions, "dc1", c.bound) {
				got = append(got, p.Address)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("candidates %v, want %v", got, c.want)
			}
		})
	}
}
