package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

// Guards against a node that is not sent a newer configuration because its row has a higher version
// of an earlier era, or that is sent the copy's older one.
var _ = DescribeTable("the configuration is sent to a node",
	func(req *exchangev1.SnapshotRequest, sent bool) {
		own := knowledge.Snapshot{
			Revision: platform.Revision{Era: 2, Version: 40}, Table: routing.NewTable(&routing.Configuration{Version: 9}),
		}
		Expect(node.ConfigurationNewer(req, own)).To(Equal(sent))
	},
	Entry("that has none", &exchangev1.SnapshotRequest{StoreEra: 2}, true),
	Entry("that has the same row", &exchangev1.SnapshotRequest{StoreEra: 2, ConfigEra: 2, ConfigVersion: 40, ConfigNumber: 9}, false),
	Entry("that has an earlier row", &exchangev1.SnapshotRequest{StoreEra: 2, ConfigEra: 2, ConfigVersion: 39, ConfigNumber: 8}, true),
	Entry("that has an earlier one with a higher row of an earlier era",
		&exchangev1.SnapshotRequest{StoreEra: 1, ConfigEra: 1, ConfigVersion: 90, ConfigNumber: 8}, true),
	Entry("that has the same one of an earlier era", &exchangev1.SnapshotRequest{StoreEra: 1, ConfigEra: 1, ConfigVersion: 90, ConfigNumber: 9}, true),
	Entry("that has a later one, lost with an earlier era", &exchangev1.SnapshotRequest{StoreEra: 2, ConfigEra: 1, ConfigVersion: 30, ConfigNumber: 10}, false),
	Entry("that has the copy's earlier one", &exchangev1.SnapshotRequest{StoreEra: 3, ConfigEra: 3, ConfigVersion: 30, ConfigNumber: 8}, true),
	Entry("that knows no eras, with a higher row", &exchangev1.SnapshotRequest{ConfigVersion: 90}, false),
	Entry("that knows no eras, with a lower row", &exchangev1.SnapshotRequest{ConfigVersion: 39}, true),
)
