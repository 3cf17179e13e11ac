package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/quarantine"
)

var _ = Describe("many nodes before engines that a part of prompts crashes", func() {
	// Guards against a bound on crashes that grows with the number of nodes: each new request meets
	// another node.
	DescribeTable("lose no more engines than few nodes do", func(nodes int) {
		f := newRelayFleet(nodes, 14, exchangeDelay)
		sound := f.play(5*time.Second, time.Second, 60*time.Millisecond, 20*time.Millisecond)
		AddReportEntry("outcome", fmt.Sprintf("%d nodes: %d crashes, sound streams: %+v", nodes, f.crashes.Load(), sound))
		Expect(f.crashes.Load()).To(BeNumerically("<=", 5))
		Expect(sound.failed).To(BeZero())
		for _, n := range f.nodes {
			Expect(n.Quarantine.Assess([]quarantine.Part{deadlyPart}, false).State).To(Equal(quarantine.Quarantined))
			Expect(n.Quarantine.Assess([]quarantine.Part{commonPart}, false).State).To(Equal(quarantine.Clear))
		}
	}, Entry("3 nodes", 3), Entry("75 nodes", 75), Entry("300 nodes", 300))
})
