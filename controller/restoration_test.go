package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/operator"
)

var _ = Describe("A platform that comes back from an older copy", func() {
	ctx := context.Background()

	// Guards against two lease holders: the copy names a former holder, whose successor may still act.
	It("gives nobody the lease before the last holder's has expired, and no fencing token twice", func() {
		f := newFleet(true, "e1")
		f.platform.era = 1
		a, b := f.newReconciler("vm-1"), f.newReconciler("vm-2")
		a.lease.renewOrAcquire(ctx, true)
		f.platform.keepCopy()
		a.lease.release(ctx)
		b.lease.renewOrAcquire(ctx, true)
		Expect(b.lease.held()).To(BeTrue())
		_, lastFence := b.lease.remaining()
		lastWrite := f.clock.get()
		f.platform.restore()
		for f.clock.get().Before(lastWrite.Add(testLease)) {
			a.lease.renewOrAcquire(ctx, true)
			Expect(a.lease.held()).To(BeFalse(), "%s after the last holder's write", f.clock.get().Sub(lastWrite))
			f.clock.advance(time.Second)
		}
		for range 4 {
			a.lease.renewOrAcquire(ctx, true)
			b.lease.renewOrAcquire(ctx, true)
			Expect(a.lease.held() && b.lease.held()).To(BeFalse())
			f.clock.advance(time.Second)
		}
		held, fence := a.lease.remaining()
		if !a.lease.held() {
			held, fence = b.lease.remaining()
		}
		Expect(held).To(BeNumerically(">", 0))
		Expect(fence).To(BeNumerically(">", lastFence))
	})

	// Guards against a holder that loses its lease, and all orders with it, in each restoration.
	It("leaves the lease to the holder that it names and that still holds it", func() {
		f := newFleet(true, "e1")
		f.platform.era = 1
		a := f.newReconciler("vm-1")
		a.lease.renewOrAcquire(ctx, true)
		f.platform.keepCopy()
		a.lease.renewOrAcquire(ctx, true)
		f.platform.restore()
		for range 12 {
			a.lease.renewOrAcquire(ctx, true)
			Expect(a.lease.held()).To(BeTrue())
			f.clock.advance(time.Second)
		}
	})

	// Guards against accepted configurations that are lost, and against edits on top of an older one.
	It("gets accepted configurations again, and refuses edits until it has them", func() {
		n := newNetwork()
		n.platform.era = 1
		nodes := n.startAll(3)
		apply := func(base uint64) (operator.Version, error) {
			return nodes[0].Apply(ctx, newEdit(base, fmt.Sprint("e", base)))
		}
		_, err := apply(0)
		Expect(err).NotTo(HaveOccurred())
		n.platform.keepCopy()
		for base := uint64(1); base < 4; base++ {
			_, err := apply(base)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, c := range nodes {
			Eventually(func() uint64 { return c.Snapshot().Version() }, 5*time.Second).Should(Equal(uint64(4)))
		}
		n.platform.restore()
		for _, base := range []uint64{1, 4} {
			_, err := nodes[0].Apply(ctx, newEdit(base, "too-early"))
			Expect(errors.Is(err, operator.ErrPlatformUnavailable)).To(BeTrue(), "edit of version %d: %v", base, err)
		}
		Eventually(func() uint64 {
			head, _, err := nodes[1].versions.head(ctx)
			Expect(err).NotTo(HaveOccurred())
			return head.Version
		}, 5*time.Second).Should(Equal(uint64(4)))
		Eventually(func() error {
			_, err := apply(4)
			return err
		}, 10*time.Second, 50*time.Millisecond).Should(Succeed())
		for _, c := range nodes {
			Eventually(func() uint64 { return c.Snapshot().Version() }, 5*time.Second).Should(Equal(uint64(5)))
		}
		written, err := nodes[0].Version(ctx, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(written.EditID).To(Equal("e3"))
	})
})
