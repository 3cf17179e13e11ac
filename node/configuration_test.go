package node_test

import (
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

var _ = Describe("a node that starts", func() {
	// Guards against a node that ends when the store and another node tell it of its first configuration
	// at the same moment.
	It("takes its first configuration from two sources at once", func() {
		callers, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(callers.Close)
		first := knowledge.Snapshot{Revision: platform.Revision{Era: 1, Version: 2}, Raw: []byte(`{"version": 7, "routes": [], "services": []}`)}
		for range 60 {
			n := node.NewConfigurable(callers, zap.NewNop())
			var sources sync.WaitGroup
			start := make(chan struct{})
			for range 4 {
				sources.Go(func() {
					<-start
					n.Configure(first)
				})
			}
			close(start)
			sources.Wait()
			Expect(n.ConfigVersion()).To(Equal(int64(7)))
		}
	})
})
