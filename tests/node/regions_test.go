package node_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

// newThreeRegionSite starts a site of three data centres, each in its own region and with one
// endpoint and one node. allowedRegions is as in site.
func newThreeRegionSite(allowedRegions map[string][]string) (s *site, apps []*worker.Worker) {
	GinkgoHelper()
	s = newSite()
	s.regions = map[string]string{"dc1": "north", "dc2": "south", "dc3": "east"}
	s.dataCentres = []string{"dc1", "dc2", "dc3"}
	for i, dataCentre := range s.dataCentres {
		apps = append(apps, s.startAppIn(fmt.Sprintf("i%d", i+1), dataCentre))
	}
	s.start(3)
	s.allowedRegions = allowedRegions
	s.configure()
	time.Sleep(propagationBound)
	return s, apps
}

// countBookings sends six bookings through each node and returns how many ran at each endpoint, and
// how many were refused with 503.
func (s *site) countBookings(apps []*worker.Worker) (counts []int, refused int) {
	for _, w := range apps {
		counts = append(counts, -len(w.Runs()))
	}
	for _, n := range s.nodes {
		for range 6 {
			if r := s.send(n, "/bookings/x", "key"); r.status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	for i, w := range apps {
		counts[i] += len(w.Runs())
	}
	return counts, refused
}

var _ = Describe("requests that are restricted to regions", func() {
	// Guards against data that is sent to a region where its owner does not allow it.
	It("run only in regions that both their route and workspace allow, whichever node receives them", func() {
		s, apps := newThreeRegionSite(map[string][]string{"bookings": {"south", "east"}, "ws": {"south", "north"}})
		counts, refused := s.countBookings(apps)
		Expect(counts).To(Equal([]int{0, 18, 0}))
		Expect(refused).To(BeZero())
	})

	// Guards against work that leaves its regions because these have no endpoint or are evacuated.
	It("are refused while their region is evacuated or has no endpoint", func() {
		s, apps := newThreeRegionSite(map[string][]string{"bookings": {"south"}})
		s.setEvacuation("dc2", true)
		time.Sleep(propagationBound)
		counts, refused := s.countBookings(apps)
		Expect(counts).To(Equal([]int{0, 0, 0}))
		Expect(refused).To(Equal(18))
		s.setEvacuation("dc2", false)
		time.Sleep(propagationBound)
		counts, _ = s.countBookings(apps)
		Expect(counts).To(Equal([]int{0, 18, 0}))
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "i2", Delete: true})
		time.Sleep(propagationBound)
		counts, _ = s.countBookings(apps)
		Expect(counts).To(Equal([]int{0, 0, 0}))
	})

	// Guards against an unknown region, or an empty intersection, that is treated as no restriction.
	It("run nowhere if route and workspace allow no common known region", func() {
		for _, bound := range []map[string][]string{
			{"bookings": {"atlantis"}},
			{"bookings": {"south"}, "ws": {"north"}},
		} {
			s, apps := newThreeRegionSite(bound)
			counts, refused := s.countBookings(apps)
			Expect(counts).To(Equal([]int{0, 0, 0}))
			Expect(refused).To(Equal(18))
		}
	})

	// Guards against request bodies that pass through a node of a third region while the caller's
	// region or an allowed one has a node.
	It("are sent to nodes of the caller's region, else of an allowed region, else to any node", func() {
		s, _ := newThreeRegionSite(map[string][]string{"bookings": {"south"}})
		at := func(i int) string { return fmt.Sprintf("%s:%d", s.nodes[i].ip, callerPort) }
		Expect(s.nodes[2].addressesFor("dc1", "north")).To(ConsistOf(at(0)))
		Expect(s.nodes[2].addressesFor("dc3", "east")).To(ConsistOf(at(2)))
		s.nodes[0].Kill()
		Eventually(func() []string { return s.nodes[2].addressesFor("dc1", "north") }, 3*time.Second).Should(ConsistOf(at(1)))
		s.nodes[1].Kill()
		Eventually(func() []string { return s.nodes[2].addressesFor("dc1", "north") }, 3*time.Second).Should(ConsistOf(at(2)))
	})
})
