package experiment

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a comparison of two zeros that the page reports as reached. It occurs at loads at
// which no policy preempts anything, and a reader would take it for a result.
func TestComparisonOfZerosIsUndecided(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(atMost("mix", "preemptions", 0, 0, 0.5).verdict()).To(gomega.Equal("undecided"))
	g.Expect(atMost("mix", "preemptions", 0, 4, 0.5).verdict()).To(gomega.Equal("yes"))
	g.Expect(atMost("mix", "preemptions", 3, 4, 0.5).verdict()).To(gomega.Equal("no"))
	g.Expect(atMost("mix", "preemptions", 1, 0, 0.5).verdict()).To(gomega.Equal("no"))
	g.Expect(atLeast("mix", "goodput", 0, 0, 0.9).verdict()).To(gomega.Equal("undecided"))
	g.Expect(atLeast("mix", "goodput", 9, 10, 0.9).verdict()).To(gomega.Equal("yes"))
}
