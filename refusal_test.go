package crocusreel_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/onsi/gomega"
)

// Every refusal reason must be documented in docs/OPERATIONS.md; otherwise operators have no
// guidance when it occurs. A reason that is added without its table row fails this test.
func TestEveryReasonIsInTheOperatorsPage(t *testing.T) {
	g := gomega.NewWithT(t)
	source, err := os.ReadFile("refusal.go")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	page, err := os.ReadFile("docs/OPERATIONS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reasons := regexp.MustCompile(`Reason = "(\w+)"`).FindAllSubmatch(source, -1)
	g.Expect(reasons).NotTo(gomega.BeEmpty())
	for _, r := range reasons {
		g.Expect(string(page)).To(gomega.ContainSubstring("| `" + string(r[1]) + "` |"))
	}
}
