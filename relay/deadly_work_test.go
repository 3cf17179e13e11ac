package relay_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("nodes that learn of a death late", func() {
	// Guards against copies of a deadly request that other nodes run because its caller learns of the
	// death, and sends them, before these nodes do.
	It("run a deadly request on no more engines than it may kill", func() {
		const engineLimit = 3
		f := newRelayFleet(3, 10, 10*time.Millisecond)
		serve := func(id int) {
			n := f.nodes[id%len(f.nodes)]
			req := n.request(routing.Streaming)
			req.ID, req.Target = fmt.Sprintf("r%d", id), "/deadly/1"
			req.Fingerprint = relay.NewFingerprint("ws", req.Target, nil)
			n.Serve(context.Background(), req, &recordingSink{})
		}
		serve(0)
		Expect(f.crashedEngines()).To(Equal(1))
		var copies sync.WaitGroup
		for i := range 9 {
			copies.Go(func() { serve(1 + i) })
		}
		copies.Wait()
		Expect(f.crashedEngines()).To(Equal(engineLimit))
	})
})

var _ = Describe("what a node tells of deadly work", func() {
	// Guards against reports with neither the claim nor the strike of a run that ends meanwhile: other nodes
	// would run further copies.
	It("always has the claim of a run or the strike that ended it", func() {
		claim := relay.Claim{Work: 7, ID: 1, Running: true}
		for i := range 100_000 {
			l := &relay.Relay{Strikes: relay.NewStrikes(boottime.Now), Claims: relay.NewClaims()}
			l.SetClaim(claim)
			var end sync.WaitGroup
			end.Go(func() { l.EndDeadlyRun(claim, 1) })
			claims, strikes := l.OwnClaimsAndStrikes()
			end.Wait()
			if len(claims)+len(strikes) == 0 {
				Fail(fmt.Sprintf("report %d has neither the claim nor the strike", i))
			}
		}
	})
})
