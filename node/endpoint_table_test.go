package node_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

func row(key string, version int64) platform.Row { return platform.Row{Key: key, Version: version} }

func removal(key string, version int64) platform.Row {
	return platform.Row{Key: key, Version: version, Deleted: true}
}

var _ = Describe("the table of endpoints", func() {
	// Guards against sending requests to an endpoint that has left. Its row would come back if a
	// late answer of the store were applied after newer data from another node.
	It("ignores rows and listings that are older than the known ones", func() {
		var e node.EndpointTable
		Expect(node.Replace(&e, platform.Listing{Version: 10, Rows: []platform.Row{row("a", 3), row("b", 9)}}, 1)).To(BeTrue())
		Expect(node.Update(&e, platform.Listing{Version: 12, Rows: []platform.Row{removal("a", 12)}}, 2)).To(HaveLen(1))
		Expect(node.Update(&e, platform.Listing{Version: 11, Rows: []platform.Row{row("a", 11), row("b", 9)}}, 3)).To(BeEmpty())
		Expect(node.Replace(&e, platform.Listing{Version: 11, Rows: []platform.Row{row("a", 11)}}, 3)).To(BeFalse())
		Expect(node.Update(&e, platform.Listing{Version: 13, Rows: []platform.Row{row("a", 13)}}, 4)).To(HaveLen(1))
	})

	// Guards against the return of removed endpoints: a node reads the full table while an older
	// answer of another node is still in transit.
	It("ignores rows that a full listing has superseded", func() {
		var e node.EndpointTable
		Expect(node.Replace(&e, platform.Listing{Version: 90, Rows: []platform.Row{row("b", 9)}}, 1)).To(BeTrue())
		Expect(node.Replace(&e, platform.Listing{Version: 100, Rows: []platform.Row{row("b", 9)}}, 2)).To(BeTrue())
		late := platform.Listing{Version: 96, Rows: []platform.Row{row("a", 95)}}
		Expect(node.Update(&e, late, 3)).To(BeEmpty())
		Expect(node.Rows(&e)).To(Equal(map[string]int64{"b": 9}))
	})

	// Guards against the same after more removals than a node remembers.
	It("ignores rows that are older than removals no longer remembered", func() {
		var e node.EndpointTable
		node.Replace(&e, platform.Listing{Version: 1, Rows: []platform.Row{row("a", 1)}}, 1)
		var removals []platform.Row
		for i := range int64(300) {
			removals = append(removals, removal(fmt.Sprintf("r%d", i), 10+i))
		}
		node.Update(&e, platform.Listing{Version: 400, Rows: append(removals, removal("a", 400))}, 2)
		Expect(node.Update(&e, platform.Listing{Version: 6, Rows: []platform.Row{row("a", 5)}}, 3)).To(BeEmpty())
		Expect(node.Rows(&e)).To(BeEmpty())
	})

	// Guards against changes that are ignored because a restored store assigns their versions again, and
	// against rows from before the restoration that come back.
	It("begins anew with a listing of a later era, and ignores changes of any other", func() {
		var e node.EndpointTable
		Expect(node.Replace(&e, platform.Listing{Era: 1, Version: 50, Rows: []platform.Row{row("a", 3), row("b", 49)}}, 1)).To(BeTrue())
		Expect(node.Update(&e, platform.Listing{Era: 2, Version: 60, Rows: []platform.Row{row("c", 60)}}, 2)).To(BeEmpty())
		Expect(node.Replace(&e, platform.Listing{Era: 2, Version: 20, Rows: []platform.Row{row("a", 3)}}, 2)).To(BeTrue())
		Expect(node.Rows(&e)).To(Equal(map[string]int64{"a": 3}))
		Expect(node.Update(&e, platform.Listing{Era: 1, Version: 51, Rows: []platform.Row{row("b", 51)}}, 3)).To(BeEmpty())
		Expect(node.Replace(&e, platform.Listing{Era: 1, Version: 52, Rows: []platform.Row{row("b", 51)}}, 3)).To(BeFalse())
		Expect(node.Update(&e, platform.Listing{Era: 2, Version: 21, Rows: []platform.Row{removal("a", 21)}}, 4)).To(HaveLen(1))
		Expect(node.Rows(&e)).To(BeEmpty())
	})

	// Guards against a follower that lacks rows or keeps old ones because its version is of an earlier
	// era, and against one that knows no eras and requests the table without end.
	DescribeTable("is sent to followers by their era",
		func(storeEra, era, version int64, whole bool, rows int) {
			var e node.EndpointTable
			node.Replace(&e, platform.Listing{Era: 2, Version: 20, Rows: []platform.Row{row("a", 3), row("b", 18)}}, 1)
			node.Update(&e, platform.Listing{Era: 2, Version: 22, Rows: []platform.Row{row("c", 22)}}, 1)
			req := &exchangev1.SnapshotRequest{StoreEra: storeEra, EndpointsEra: era, EndpointsVersion: version}
			resp := &exchangev1.SnapshotResponse{}
			node.FillResponse(&e, resp, node.FollowerRevision(&e, req))
			Expect(resp.GetEndpointsWhole()).To(Equal(whole))
			l, err := node.ChangedRows(resp)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Rows).To(HaveLen(rows))
			Expect(l.Revision()).To(Equal(platform.Revision{Era: 2, Version: 22}))
		},
		Entry("of the same era, up to date", int64(2), int64(2), int64(22), false, 0),
		Entry("of the same era, behind", int64(2), int64(2), int64(20), false, 1),
		Entry("of the same era, far behind", int64(2), int64(2), int64(19), true, 3),
		Entry("of an earlier era with a higher version", int64(1), int64(1), int64(50), true, 3),
		Entry("of an earlier era with the same version", int64(1), int64(1), int64(22), true, 3),
		Entry("of a later era", int64(3), int64(3), int64(5), false, 0),
		Entry("that knows no eras, with a higher version", int64(0), int64(0), int64(50), false, 0),
		Entry("that knows no eras, behind", int64(0), int64(0), int64(20), false, 1),
	)

	// Guards against followers that know less than their leader and send requests to endpoints that
	// have left. Followers receive changes, unpacked or packed, or the full table packed some
	// changes ago.
	It("is replicated completely to a follower, packed or not", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 30 {
			var leader, follower node.EndpointTable
			version := int64(1)
			node.Replace(&leader, platform.Listing{Version: version, Rows: []platform.Row{row("e0", 1)}}, 1)
			for range 60 {
				changed := platform.Listing{}
				for range 1 + random.IntN(20) {
					version++
					changed.Rows = append(changed.Rows, platform.Row{
						Key: fmt.Sprintf("e%d", random.IntN(60)), Version: version, Deleted: random.IntN(4) == 0,
					})
				}
				changed.Version = version
				node.Update(&leader, changed, 1)
				if random.IntN(3) > 0 {
					synchronize(&leader, &follower)
				}
				if random.IntN(20) == 0 {
					follower = node.EndpointTable{}
				}
			}
			synchronize(&leader, &follower)
			Expect(node.Rows(&follower)).To(Equal(node.Rows(&leader)))
		}
	})
})

// synchronize brings a follower up to date.
func synchronize(leader, follower *node.EndpointTable) {
	GinkgoHelper()
	resp := &exchangev1.SnapshotResponse{}
	node.FillResponse(leader, resp, node.KnownRevision(follower))
	if resp.GetEndpointsWhole() {
		l, err := node.FullListing(resp)
		Expect(err).NotTo(HaveOccurred())
		Expect(node.Replace(follower, l, 1)).To(BeTrue())
		return
	}
	l, err := node.ChangedRows(resp)
	Expect(err).NotTo(HaveOccurred())
	node.Update(follower, l, 1)
}
