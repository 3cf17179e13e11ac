package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

func row(key string, version int64) platform.Row { return platform.Row{Key: key, Version: version} }

func removal(key string, version int64) platform.Row {
	return platform.Row{Key: key, Version: version, Deleted: true}
}

var _ = Describe("the rows of the endpoints", func() {
	// A node follows another one while an answer of the store to an earlier question is
	// still on its way. Taken as it comes, it would bring back an endpoint that has left,
	// and callers' work would be sent there.
	It("take nothing that is older than what is known", func() {
		var e node.Entries
		Expect(node.Replace(&e, platform.Listing{Version: 10, Rows: []platform.Row{row("a", 3), row("b", 9)}}, 1)).To(BeTrue())
		Expect(node.Update(&e, platform.Listing{Version: 12, Rows: []platform.Row{removal("a", 12)}}, 2)).To(HaveLen(1))
		Expect(node.Update(&e, platform.Listing{Version: 11, Rows: []platform.Row{row("a", 11), row("b", 9)}}, 3)).To(BeEmpty())
		Expect(node.Replace(&e, platform.Listing{Version: 11, Rows: []platform.Row{row("a", 11)}}, 3)).To(BeFalse())
		Expect(node.Update(&e, platform.Listing{Version: 13, Rows: []platform.Row{row("a", 13)}}, 4)).To(HaveLen(1))
	})
})
