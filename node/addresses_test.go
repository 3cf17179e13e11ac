package node_test

import (
	"slices"
	"testing"

	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

// Guards against sending callers to nodes that are gone, or needlessly to another region.
func TestAddressesForACaller(t *testing.T) {
	regions := map[string]string{"dc1": "north", "dc2": "north", "dc3": "south"}
	var all []gossip.Peer
	for _, dataCentre := range []string{"dc1", "dc2", "dc3"} {
		for _, n := range []string{"a", "b"} {
			all = append(all, gossip.Peer{CallerAddress: dataCentre + n, DataCentre: dataCentre, Ready: true})
		}
	}
	cases := []struct {
		name         string
		caller       string
		farFresh     bool
		boundRegions []string
		// notReady lists the caller addresses of the nodes that are not ready.
		notReady []string
		want     []string
	}{
		{name: "own data centre", caller: "dc1", farFresh: true, want: []string{"dc1a", "dc1b"}},
		{name: "another data centre", caller: "dc2", farFresh: true, want: []string{"dc2a", "dc2b"}},
		{name: "another data centre, losses detected late", caller: "dc2", want: []string{"dc1a", "dc1b"}},
		{name: "another region, losses detected late", caller: "dc3", want: []string{"dc3a", "dc3b"}},
		{name: "too few nearby", caller: "dc1", farFresh: true, notReady: []string{"dc1a"}, want: []string{"dc1b", "dc2a", "dc2b"}},
		{name: "too few in the region", caller: "dc3", farFresh: true, notReady: []string{"dc3a"}, want: []string{"dc1a", "dc1b", "dc2a", "dc2b", "dc3b"}},
		{name: "bound, one node is enough", caller: "dc3", farFresh: true, boundRegions: []string{"south"}, notReady: []string{"dc3a"}, want: []string{"dc3b"}},
		{name: "bound elsewhere", caller: "dc3", farFresh: true, boundRegions: []string{"north"}, notReady: []string{"dc3a", "dc3b"}, want: []string{"dc1a", "dc1b", "dc2a", "dc2b"}},
		{
			name: "bound to a region without nodes", caller: "dc3", farFresh: true, boundRegions: []string{"south"}, notReady: []string{"dc3a", "dc3b"},
			want: []string{"dc1a", "dc1b", "dc2a", "dc2b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := slices.Clone(all)
			for i := range nodes {
				nodes[i].Ready = !slices.Contains(c.notReady, nodes[i].CallerAddress)
			}
			query := platform.AddressQuery{Host: "a.example", DataCentre: c.caller, Region: regions[c.caller]}
			if got := node.ChooseAddresses(nodes, regions, c.boundRegions, "dc1", c.farFresh, query); !slices.Equal(got, c.want) {
				t.Errorf("chosen addresses %v, want %v", got, c.want)
			}
		})
	}
}
