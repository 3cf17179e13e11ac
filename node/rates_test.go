package node_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/enginerate"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/node"
)

// Guards against rates that reach other nodes in other units, and against datagrams over their size.
var _ = It("sends the rates of 16 engines in under 400 bytes and reads them unchanged", func() {
	var rates []fleet.EndpointRate
	for i := range 16 {
		rates = append(rates, fleet.EndpointRate{Key: fleet.EndpointKey(math.MaxUint32 - i), Report: enginerate.Report{
			Step: 11_667 * time.Microsecond, PrefillPerSecond: 22_400, Weight: 24, Age: 2900 * time.Millisecond,
		}})
	}
	state := &exchangev1.NodeState{Rates: node.RateMessages(rates)}
	Expect(proto.Size(state)).To(BeNumerically("<", 400))
	Expect(node.ReportedRates(state)).To(Equal(rates))
})
