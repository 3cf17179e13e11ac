// Package specs is a suite with a spec that fails, for tests of knownred.
package specs

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sample")
}

var _ = Describe("a sample (of specs)", func() {
	It("fails", func() { Expect(1).To(Equal(2)) })
	It("fails and is not listed", func() { Expect(os.Getenv("SAMPLE_FAILS")).To(BeEmpty()) })
	It("passes", func() { Expect(os.Getenv("SAMPLE_FAILS")).NotTo(Equal("other")) })
})
