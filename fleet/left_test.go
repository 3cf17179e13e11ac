package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
)

var _ = Describe("a listing of a store that was restored from a copy", func() {
	var now time.Duration
	var f *fleet.Fleet
	entry := func(id string) fleet.Instance {
		return fleet.Instance{ID: id, Service: "app", Address: id, DataCentre: "dc1", Slots: 6}
	}
	usable := func(id string) bool {
		for _, busy := range f.BusyEndpoints("app", "dc1") {
			if busy.ID == id {
				return true
			}
		}
		return false
	}
	// load makes other nodes report work at the endpoint, so that it counts as busy while in use.
	load := func(id string) { f.SetRemote(id, []fleet.Load{{Key: entry(id).Incarnation().Key(), Count: 1}}, nil) }

	BeforeEach(func() {
		now = time.Minute
		f = fleet.New("dc1", func() time.Duration { return now })
		for _, id := range []string{"stays", "left", "missing", "leaving"} {
			f.Update(entry(id))
			load(id)
			Expect(usable(id)).To(BeTrue())
		}
	})

	// Guards against endpoints that have left and get requests again because the copy holds their
	// entries.
	It("does not bring back endpoints that have left", func() {
		f.Remove("left", false)
		f.Remove("missing", true)
		leaving := entry("leaving")
		leaving.Leaving = true
		f.Update(leaving)
		f.ReplaceRestored([]fleet.Instance{entry("stays"), entry("left"), entry("missing"), entry("leaving")})
		Expect(usable("stays")).To(BeTrue())
		for _, id := range []string{"left", "missing", "leaving"} {
			Expect(usable(id)).To(BeFalse(), id)
		}
	})

	// Guards against endpoints that stay out of service although they are alive: their entries are
	// still there when those of others have expired, or they write them again.
	It("brings them back if their entries stay or are written again", func() {
		f.Remove("left", false)
		f.Remove("missing", false)
		f.ReplaceRestored([]fleet.Instance{entry("stays"), entry("left"), entry("missing"), entry("leaving")})
		f.Update(entry("left"))
		Expect(usable("left")).To(BeTrue())
		now += 4 * time.Second
		Expect(f.Reinstate(4 * time.Second)).To(ConsistOf("missing"))
		Expect(usable("missing")).To(BeTrue())
	})

	// Guards against an endpoint that said at a health check that it leaves, and that the copy's older
	// entry brings back.
	It("does not revert what an endpoint said at a health check", func() {
		Expect(f.MarkUnhealthy(entry("stays").Incarnation().Key())).To(BeTrue())
		f.ReplaceRestored([]fleet.Instance{entry("stays")})
		Expect(usable("stays")).To(BeFalse())
	})

	// Guards against an endpoint in service that is taken for one that has left, because its entry had
	// expired for a moment before.
	It("keeps endpoints that had been dropped and came back", func() {
		f.Remove("left", false)
		f.Update(entry("left"))
		load("left")
		f.ReplaceRestored([]fleet.Instance{entry("left")})
		Expect(usable("left")).To(BeTrue())
	})

	// Guards against new endpoints that are taken for ones that have left long ago.
	It("takes endpoints that left long before any copy", func() {
		f.Remove("left", false)
		now += 2 * time.Minute
		f.ReplaceRestored([]fleet.Instance{entry("left")})
		load("left")
		Expect(usable("left")).To(BeTrue())
	})

	It("keeps live endpoints that it lacks", func() {
		_, removed := f.ReplaceRestored([]fleet.Instance{entry("stays")})
		Expect(removed).To(ConsistOf("left", "missing", "leaving"))
		Expect(usable("left")).To(BeTrue())
		Expect(f.DropMissing()).To(HaveLen(3))
		Expect(usable("left")).To(BeFalse())
	})
})
