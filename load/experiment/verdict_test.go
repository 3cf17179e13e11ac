package experiment

import (
	"testing"

	"github.com/onsi/gomega"
)

// Under a load at which no policy preempts anything, both figures of a comparison are zero.
// A reader of the page who sees "reached" would take it for a result.
func TestTwoZerosDecideNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(atMost("mix", "preemptions", 0, 0, 0.5).verdict()).To(gomega.Equal("undecided"))
	g.Expect(atMost("mix", "preemptions", 0, 4, 0.5).verdict()).To(gomega.Equal("yes"))
	g.Expect(atMost("mix", "preemptions", 3, 4, 0.5).verdict()).To(gomega.Equal("no"))
	g.Expect(atMost("mix", "preemptions", 1, 0, 0.5).verdict()).To(gomega.Equal("no"))
	g.Expect(atLeast("mix", "goodput", 0, 0, 0.9).verdict()).To(gomega.Equal("undecided"))
	g.Expect(atLeast("mix", "goodput", 9, 10, 0.9).verdict()).To(gomega.Equal("yes"))
}
