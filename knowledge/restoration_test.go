package knowledge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/knowledge"
)

var _ = Describe("tracking of restorations", func() {
	var now time.Duration
	var r *knowledge.RestorationTracker

	BeforeEach(func() {
		now = time.Minute
		r = knowledge.NewRestorationTracker(func() time.Duration { return now })
	})

	It("takes each later era for a restoration, but not the first one", func() {
		Expect(r.Observe(7)).To(BeFalse())
		Expect(r.GraceRemaining()).To(BeZero())
		Expect(r.Observe(7)).To(BeFalse())
		Expect(r.Observe(9)).To(BeTrue())
		Expect(r.Observe(8)).To(BeFalse())
		Expect(r.Era()).To(BeEquivalentTo(9))
		now += time.Second
		Expect(r.GraceRemaining()).To(Equal(knowledge.RewriteTime - time.Second))
		now += time.Hour
		Expect(r.GraceRemaining()).To(BeZero())
	})

	// Guards against a node that starts right after a restoration and takes the copy for complete.
	It("learns of a restoration before its start from another node in the same era", func() {
		r.Observe(9)
		r.ObserveAge(8, time.Second)
		Expect(r.GraceRemaining()).To(BeZero())
		r.ObserveAge(9, time.Second)
		Expect(r.GraceRemaining()).To(Equal(knowledge.RewriteTime - time.Second))
	})
})

var _ = Describe("the uptime of a restored store", func() {
	const start = 10 * time.Second

	newUptime := func() *knowledge.UptimeTracker {
		r := knowledge.NewUptimeTracker(heartbeat)
		r.RecordAnswer(start)
		r.RecordAnswer(start + 2*time.Second)
		r.RecordAnswer(start + 4*time.Second)
		Expect(r.GraceRemaining()).To(BeZero())
		return r
	}

	// Guards against live endpoints that are dropped because the copy lacks their entries, although the
	// store was away too briefly for an entry to expire.
	It("begins anew, however briefly the store was away", func() {
		r := newUptime()
		r.BeginEra(2, true)
		Expect(r.GraceRemaining()).To(BeNumerically(">", 0), "before the first answer")
		r.RecordAnswer(start + 4100*time.Millisecond)
		Expect(r.GraceRemaining()).To(BeNumerically(">", 2*time.Second))
		r.RecordAnswer(start + 6300*time.Millisecond)
		Expect(r.GraceRemaining()).To(BeZero())
	})

	// Guards against a doubt that ends at once because the store's clock went back, or never because it
	// stays behind the known time.
	It("begins anew when the store's clock goes back with it", func() {
		r := newUptime()
		r.BeginEra(2, true)
		r.RecordAnswer(start)
		Expect(r.GraceRemaining()).To(BeNumerically(">", 2*time.Second))
		r.RecordAnswer(start + 2200*time.Millisecond)
		Expect(r.GraceRemaining()).To(BeZero())
	})

	// Guards against followers that ignore the uptime of a reader which has started in the known era.
	It("is of the era in which a node starts", func() {
		r := knowledge.NewUptimeTracker(heartbeat)
		r.BeginEra(6, false)
		Expect(r.GraceRemaining()).To(BeZero())
		r.RecordAnswer(start)
		Expect(r.Current()).To(Equal(knowledge.Uptime{Era: 6, Since: start, Until: start}))
	})

	// Guards against a node that joins its uptime with that of one that has not learned of the
	// restoration.
	It("ignores what other nodes know of an earlier era", func() {
		r := newUptime()
		r.BeginEra(2, true)
		r.RecordAnswer(start + 5*time.Second)
		earlier := knowledge.Uptime{Era: 1, Since: start, Until: start + 5*time.Second}
		r.MergeWithEntries(earlier)
		Expect(r.MergeWithoutEntries(earlier)).To(BeFalse())
		Expect(r.Current()).To(Equal(knowledge.Uptime{Era: 2, Since: start + 5*time.Second, Until: start + 5*time.Second}))
		later := knowledge.Uptime{Era: 3, Since: start, Until: start + time.Second}
		r.MergeWithEntries(later)
		Expect(r.Current()).To(Equal(later))
	})
})
