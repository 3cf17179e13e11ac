package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/admission"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/node"
)

var _ = Describe("backlogs in messages", func() {
	// Guards against a field that is lost on the way, and against backlogs that crowd the loads out of a datagram.
	It("arrive as they were sent, in under 300 bytes", func() {
		var sent []fleet.ServiceBacklog
		for rank := range 8 {
			sent = append(sent, fleet.ServiceBacklog{Service: 0xfedcba98, Backlog: admission.Backlog{
				Rank: rank + admission.LateRank, Requests: 200, Tokens: 800_000, PromisedTokens: 900_000, CompletedPerSecond: 150_000,
			}})
		}
		state := &exchangev1.NodeState{Backlogs: node.EncodeBacklogs(sent)}
		Expect(node.DecodeBacklogs(state.GetBacklogs())).To(Equal(sent))
		Expect(proto.Size(state)).To(BeNumerically("<", 300))
	})
})
