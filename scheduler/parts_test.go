package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
)

// Prefixes of prompts in these specs.
const (
	commonPrefix = 100 + iota
	deadlyPrefix
)

// withPrefixes returns a request with a fingerprint of its own whose prompt has the prefixes.
func withPrefixes(fingerprint uint64, prefixes ...uint64) Request {
	r := request(fingerprint)
	r.Prefixes = append(prefixes, 1000+fingerprint)
	return r
}

// submitRequest enqueues a request and dispatches a second later.
func (c *multiEngineCore) submitRequest(r Request) *queuedRequest {
	c.now += time.Second
	w := &queuedRequest{req: r, reply: make(chan result, 1)}
	c.enqueue(w, c.now)
	c.dispatch(c.now)
	return w
}

// finish completes a granted request.
func (c *multiEngineCore) finish(w *queuedRequest) {
	c.now += time.Millisecond
	c.release(&Release{Permit: c.permits[w.permitID].Permit, End: EndFinished}, c.now)
	c.dispatch(c.now)
}

var _ = Describe("prompts that begin alike and crash engines", func() {
	// Guards against deaths that count against single requests only: each new request with the same
	// beginning crashes another engine.
	It("are refused after three crashes, and others that share a part of the beginning are not", func() {
		c := newMultiEngineCore(10)
		for n := range uint64(3) {
			c.finish(c.submitRequest(withPrefixes(50+n, commonPrefix)))
			w := c.submitRequest(withPrefixes(n+1, commonPrefix, deadlyPrefix))
			Expect(w.permitID).NotTo(BeEmpty(), "request %d", n)
			c.killEngineOf(w)
		}
		Expect(refusalOfQueued(c.submitRequest(withPrefixes(9, commonPrefix, deadlyPrefix)))).To(Equal(crocusreel.ReasonQuarantined))
		sound := c.submitRequest(withPrefixes(60, commonPrefix))
		Expect(sound.permitID).NotTo(BeEmpty())
	})

	It("run one at a time after the first crash", func() {
		c := newMultiEngineCore(10)
		c.killEngineOf(c.submitRequest(withPrefixes(1, deadlyPrefix)))
		first := c.submitRequest(withPrefixes(2, deadlyPrefix))
		Expect(first.permitID).NotTo(BeEmpty())
		second := c.submitRequest(withPrefixes(3, deadlyPrefix))
		Expect(second.permitID).To(BeEmpty())
		c.finish(first)
		Expect(second.permitID).NotTo(BeEmpty())
		third := c.submitRequest(withPrefixes(4, deadlyPrefix))
		Expect(third.permitID).NotTo(BeEmpty())
	})

	// Guards against a quarantine that the next scheduler does not know.
	It("are known to the next scheduler by the gateways' reports", func() {
		c := newMultiEngineCore(10)
		for n := range uint64(3) {
			c.killEngineOf(c.submitRequest(withPrefixes(n+1, deadlyPrefix)))
		}
		remembered := c.report(&gatewayReport{Gateway: "g"}, c.now)
		Expect(remembered.quarantines).To(HaveLen(1))
		wire := quarantinesFromWire(quarantinesToWire(remembered.quarantines))
		next := newMultiEngineCore(10)
		next.report(&gatewayReport{Gateway: "g", Quarantines: wire}, next.now)
		Expect(refusalOfQueued(next.submitRequest(withPrefixes(9, deadlyPrefix)))).To(Equal(crocusreel.ReasonQuarantined))
	})

	// Guards against a beginning that is blamed for engines that were reclaimed.
	It("are not blamed for engines that were leaving", func() {
		c := newMultiEngineCore(10)
		for n := range uint64(4) {
			w := c.submitRequest(withPrefixes(n+1, deadlyPrefix))
			Expect(w.permitID).NotTo(BeEmpty())
			c.engines[c.permits[w.permitID].Endpoint].leaving = true
			c.killEngineOf(w)
		}
		Expect(c.submitRequest(withPrefixes(9, deadlyPrefix)).permitID).NotTo(BeEmpty())
	})
})
