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

	// Guards against rows that accumulate because VMs are replaced daily at new addresses. Every
	// new node would try to contact all of them.
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

	// Guards against removing the row of a node that was live in between, after a restart or a
	// healed partition: its absence counts from the latest time it was live.
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
