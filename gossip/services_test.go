package gossip_test

import (
	"testing"

	"github.com/crocusreel/crocusreel/gossip"
)

// Guards against equal sets of services that count as a change of the node.
func TestServiceSet(t *testing.T) {
	a, b := uint32(gossip.KeyOf("app")), uint32(gossip.KeyOf("pool"))
	set := gossip.NewServiceSet([]uint32{a, b, a})
	if set != gossip.NewServiceSet([]uint32{b, a}) {
		t.Error("sets of the same services differ")
	}
	for name, want := range map[string]bool{"app": true, "pool": true, "other": false} {
		if got := set.Has(gossip.KeyOf(name)); got != want {
			t.Errorf("set has %q: %t, want %t", name, got, want)
		}
	}
	if empty := gossip.NewServiceSet(nil); empty != "" || empty.Has(gossip.KeyOf("app")) {
		t.Errorf("set of no services is %q", empty)
	}
}
