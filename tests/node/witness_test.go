package node_test

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/peer"
)

var _ = Describe("a node that is asked about an endpoint", func() {
	// Guards against deaths that are counted, or are not, because of a wrong answer.
	It("tells whether it refuses or accepts connections", func() {
		s := newSite()
		s.startApp("i1")
		s.start(1)
		free, err := rig.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		client := exchangev1.NewExchangeClient(peer.NewHTTPClient(nil), peer.BaseURL(fmt.Sprintf("%s:%d", s.nodes[0].ip, peerPort), nil))
		for address, refuses := range map[string]bool{free: true, s.addresses["i1"]: false} {
			resp, err := client.CheckEndpoint(context.Background(), connect.NewRequest(&exchangev1.CheckEndpointRequest{Address: address}))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Msg.GetRefuses()).To(Equal(refuses), address)
			Expect(resp.Msg.GetAccepts()).To(Equal(!refuses), address)
		}
	})
})
