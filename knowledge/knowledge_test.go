package knowledge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("tracking of the configuration", func() {
	var now time.Duration
	var c *knowledge.ConfigurationTracker
	table := func(version int64) *routing.Table {
		return routing.NewTable(&routing.Configuration{Version: version})
	}
	revision := func(version int64) platform.Revision { return platform.Revision{Era: 1, Version: version} }
	apply := func(configuration, row int64, confirmation knowledge.Confirmation) bool {
		return c.Apply(knowledge.Snapshot{Table: table(configuration), Revision: revision(row), Confirmation: confirmation})
	}
	confirmedAt := func(at time.Duration) knowledge.Confirmation {
		return knowledge.Confirmation{ConfirmedAt: at, AnsweredAt: at}
	}

	BeforeEach(func() {
		now = time.Minute
		c = knowledge.NewConfigurationTracker(func() time.Duration { return now })
	})

	// A node learns version 9 from the store and then receives version 7 from a peer that lags
	// behind. A caller whose key was revoked in version 9 must not be served again.
	It("never goes back to an older version", func() {
		Expect(apply(9, 90, confirmedAt(now))).To(BeTrue())
		Expect(apply(7, 70, confirmedAt(now+time.Second))).To(BeFalse())
		known, _ := c.Current()
		Expect(known.Table.Version).To(BeEquivalentTo(9))
		Expect(known.ConfirmedAt).To(Equal(time.Minute))
	})

	// A peer that lags behind confirms its own older version. If this counted as a confirmation of
	// the newer one, a node without connection to the store would consider itself up to date.
	It("accepts a confirmation only for the known version", func() {
		apply(9, 90, confirmedAt(now))
		now += 3 * time.Second
		c.Confirm(revision(70), confirmedAt(now))
		_, ages := c.Current()
		Expect(ages.Confirmed).To(Equal(3 * time.Second))
		c.Confirm(revision(90), knowledge.Confirmation{ConfirmedAt: now - time.Second, AnsweredAt: now})
		_, ages = c.Current()
		Expect(ages).To(Equal(knowledge.Ages{Confirmed: time.Second, Answered: 0}))
	})

	It("does not become older through a late confirmation", func() {
		apply(9, 90, confirmedAt(now))
		c.Confirm(revision(90), confirmedAt(now-10*time.Second))
		_, ages := c.Current()
		Expect(ages.Confirmed).To(BeZero())
	})

	// Guards against changes that are ignored, and old configurations that come back, because the store
	// was restored from a copy and assigns its versions again.
	DescribeTable("orders rows of different eras by the operator's versions",
		func(configuration int, row platform.Revision, applied, written bool) {
			apply(9, 90, confirmedAt(now))
			Expect(c.Apply(knowledge.Snapshot{Table: table(int64(configuration)), Revision: row})).To(Equal(applied))
			known, ages := c.Current()
			Expect(ages.Confirmed).To(BeZero(), "the confirmation of the known configuration is kept")
			Expect(known.Written).To(Equal(written))
		},
		Entry("a later one with a lower row", 10, platform.Revision{Era: 2, Version: 80}, true, true),
		Entry("a later one with the known row's version", 10, platform.Revision{Era: 2, Version: 90}, true, true),
		Entry("a later one with a higher row, which may be copied", 10, platform.Revision{Era: 2, Version: 95}, true, false),
		Entry("the known one, written again", 9, platform.Revision{Era: 2, Version: 80}, true, true),
		Entry("the known one, which may be copied", 9, platform.Revision{Era: 2, Version: 90}, true, false),
		Entry("an earlier one of the copy", 8, platform.Revision{Era: 2, Version: 80}, false, false),
		Entry("an earlier one with a higher row", 8, platform.Revision{Era: 2, Version: 95}, false, false),
		Entry("a late answer of the era before", 9, platform.Revision{Era: 0, Version: 95}, false, false),
	)

	// Guards against a copied configuration that is taken to be current, although the operator has
	// written another one since.
	It("takes a row to be written in its era once it has seen another row of that era", func() {
		apply(9, 90, confirmedAt(now))
		Expect(c.Apply(knowledge.Snapshot{Table: table(9), Revision: platform.Revision{Era: 2, Version: 90}})).To(BeTrue())
		Expect(c.Apply(knowledge.Snapshot{Table: table(10), Revision: platform.Revision{Era: 2, Version: 91}})).To(BeTrue())
		known, _ := c.Current()
		Expect(known.Written).To(BeTrue())
	})
})
