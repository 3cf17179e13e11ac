package node_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

var _ = Describe("rows of nodes", func() {
	rows := []platform.Row{{Key: "10.0.0.1"}, {Key: "10.0.0.2"}}

	// VMs are replaced every day at new addresses. The rows of those that are gone would
	// pile up, and each new node would try to reach them all.
	It("are removed once their node has been absent for long", func() {
		var a node.Absences
		live := map[string]bool{"10.0.0.1": true}
		now := time.Hour
		Expect(node.Stale(&a, now, rows, live)).To(BeEmpty())
		now += node.PruneAfter - time.Second
		Expect(node.Stale(&a, now, rows, live)).To(BeEmpty())
		now += time.Second
		Expect(node.Stale(&a, now, rows, live)).To(ConsistOf(HaveField("Key", "10.0.0.2")))
	})

	// A node restarts, or a cut heals, before its row is removed: the time counts anew.
	It("stay when their node is live again in between", func() {
		var a node.Absences
		now := time.Hour
		node.Stale(&a, now, rows, map[string]bool{"10.0.0.1": true})
		now += 4 * time.Minute
		node.Stale(&a, now, rows, map[string]bool{"10.0.0.1": true, "10.0.0.2": true})
		now += 4 * time.Minute
		Expect(node.Stale(&a, now, rows, map[string]bool{"10.0.0.1": true})).To(BeEmpty())
	})
})
