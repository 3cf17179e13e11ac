package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const reportProcedure = "/peer.v1.Scheduler/Report"

var _ = Describe("messages", func() {
	// Each report costs the scheduler time. If reports or polls grew with the number of gateways or
	// engines, a growing region would overload its own schedulers.
	It("to a scheduler are bounded whatever the number of gateways and engines", func() {
		for _, n := range []int{1, 8, 50, 137, 410, 1800} {
			each := time.Duration(n) * time.Second
			Expect(each).To(BeNumerically("<=", reportsPerSecond*reportIntervalFor(n)), "%d gateways", n)
			Expect(each).To(BeNumerically("<=", pollsPerSecond*pollIntervalFor(n)), "%d engines", n)
			Expect(reportExpiry(n)).To(BeNumerically(">=", missedReports*reportIntervalFor(n)))
		}
	})

	DescribeTable("from each gateway do not rise with the number of gateways", func(gateways int) {
		ids := make([]string, gateways)
		for i := range ids {
			ids[i] = fmt.Sprintf("g%02d", i)
		}
		r := newTestRegion(ids, newFakeEngine("e1", 1000000))
		for _, m := range r.managers {
			_, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
		}
		// The change of view makes every gateway send one additional report.
		time.Sleep(time.Second)
		before := r.calls.get(reportProcedure)
		const seconds = 3
		time.Sleep(seconds * time.Second)
		perGateway := float64(r.calls.get(reportProcedure)-before) / float64(gateways) / seconds
		GinkgoWriter.Printf("%d gateways: %.2f reports per gateway and second\n", gateways, perGateway)
		AddReportEntry(fmt.Sprintf("%d gateways: %.2f reports per gateway and second", gateways, perGateway))
		// One report per second, plus one if an additional tick falls into the window.
		Expect(perGateway).To(BeNumerically("<=", 1+1.0/seconds))
	},
		Entry("2 gateways", 2), Entry("8 gateways", 8), Entry("24 gateways", 24),
	)
})
