package knowledge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("tracking of the configuration", func() {
	var now time.Duration
	var c *knowledge.ConfigurationTracker
	table := func(version int64) *routing.Table {
		return routing.NewTable(&routing.Configuration{Version: version})
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
		Expect(c.Apply(table(9), 90, nil, confirmedAt(now))).To(BeTrue())
		Expect(c.Apply(table(7), 70, nil, confirmedAt(now+time.Second))).To(BeFalse())
		known, _ := c.Current()
		Expect(known.Table.Version).To(BeEquivalentTo(9))
		Expect(known.ConfirmedAt).To(Equal(time.Minute))
	})

	// A peer that lags behind confirms its own older version. If this counted as a confirmation of
	// the newer one, a node without connection to the store would consider itself up to date.
	It("accepts a confirmation only for the known version", func() {
		c.Apply(table(9), 90, nil, confirmedAt(now))
		now += 3 * time.Second
		c.Confirm(70, confirmedAt(now))
		_, ages := c.Current()
		Expect(ages.Confirmed).To(Equal(3 * time.Second))
		c.Confirm(90, knowledge.Confirmation{ConfirmedAt: now - time.Second, AnsweredAt: now})
		_, ages = c.Current()
		Expect(ages).To(Equal(knowledge.Ages{Confirmed: time.Second, Answered: 0}))
	})

	It("does not become older through a late confirmation", func() {
		c.Apply(table(9), 90, nil, confirmedAt(now))
		c.Confirm(90, confirmedAt(now-10*time.Second))
		_, ages := c.Current()
		Expect(ages.Confirmed).To(BeZero())
	})
})
