package node_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

var _ = Describe("a feed", func() {
	// A node is cut off from the store for a while and then follows another node, which
	// has the store. Were its own feed to count as lost for ever, it would take every
	// removal of an endpoint for a passing one, and send work to endpoints that are gone.
	It("does not count as lost once another node is followed", func() {
		var direct atomic.Bool
		direct.Store(true)
		f := node.NewFeed(platform.NewStore("127.0.0.1:1", 200*time.Millisecond), direct.Load)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- node.Run(f, ctx) }()
		lost := func() bool { return node.Unsteady(f, 0) }
		Eventually(lost, 2*time.Second).Should(BeTrue())
		direct.Store(false)
		Eventually(lost, 2*time.Second).Should(BeFalse())
		Expect(node.Unsteady(f, time.Minute)).To(BeTrue())
		cancel()
		Eventually(done, 2*time.Second).Should(Receive(BeNil()))
	})
})
