package answers_test

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/answers"
)

var limits = answers.Thresholds{FirstEvent: 1500 * time.Millisecond, Pause: 180 * time.Millisecond}

// The lines have the form that a node writes. One has the prefix that a log collector adds, and the
// last one comes from another program.
const nodeA = `time=2026-05-02T15:17:20Z level=info event="node started" data_centre=dc1 vm=a
   0.45 a-1 time=2026-05-02T15:17:31.2Z level=info event="request ended" endpoint=e1 events=100 first_event=400ms longest_gap=60ms request=r1 status=200 took=3.9s
time=2026-05-02T15:17:31.3Z level=info event="request ended" endpoint=e1 events=10 first_event=1.6s longest_gap=60ms request=r2 status=200 took=2s
time=2026-05-02T15:17:31.4Z level=info event="request ended" endpoint=e1 events=10 first_event=1s longest_gap=200ms request=r3 status=200 took=2s
time=2026-05-02T15:17:32.1Z level=info event="request ended" broken=true detail="stream cut: unexpected EOF" endpoint=e2 events=10 request=r4 status=200
time=2026-05-02T15:17:32.2Z level=info event="request ended" broken=true detail="stream cut: read tcp: \"x=1 event=no\" reset" endpoint=e3 events=10 request=r5 status=200
time=2026-05-02T15:17:32.3Z level=info event="memory copied" cause="no answer" endpoint=e4 refused=false request=r6
time=2026-05-02T15:17:32.4Z level=info event="memory copied" endpoint=e4 refused=false request=r7
time=2026-05-02T15:17:32.5Z level=info event="request ended" broken=true detail="stream cut: x" endpoint=e4 events=1 request=r7 status=200
time=2026-05-02T15:17:32.6Z level=info event="request ended" broken=true detail="caller gone" endpoint=e4 events=1 request=r8 status=200
no line of ours event="request ended" status=200
`

const nodeB = `time=2026-05-02T15:17:30Z level=info event="endpoint known" endpoint=e2 leaving=true
time=2026-05-02T15:17:30Z level=info event="stream goes on" request=r1
time=2026-05-02T15:17:33Z level=info event="request ended" endpoint=a1 request=r9 status=500 detail=endpoint_failed
time=2026-05-02T15:17:33Z level=info event="request ended" reason=queue_full request=r10 status=503
time=2026-05-02T15:17:33Z level=info event="request refused" reason=not_ready request=r11 status=503
`

// The cause of a request may be stated on a later line or in the log of another node. The causes
// must not depend on the order of the lines or on which node wrote them.
func TestCausesAreInferredFromTheLogsOfAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, logs := range [][]string{{nodeA, nodeB}, {nodeB, nodeA}} {
		r, err := answers.Read([]io.Reader{strings.NewReader(logs[0]), strings.NewReader(logs[1])}, limits, time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Causes).To(gomega.Equal(map[answers.Cause]int{
			answers.Whole: 1, answers.FirstEventLate: 1, answers.Paused: 1, answers.EngineLeft: 1, answers.EngineDied: 1,
			answers.CopyNotUsed: 1, answers.CallerGone: 1, answers.EndpointFailed: 1, answers.Refused: 2,
		}))
		g.Expect(r.Requests).To(gomega.Equal(10))
		g.Expect(r.Reasons).To(gomega.Equal(map[string]int{"queue_full": 1, "not_ready": 1}))
		g.Expect(r.Resumed).To(gomega.Equal(1))
		g.Expect(r.Pace).To(gomega.Equal(35 * time.Millisecond))
		g.Expect(r.Starts).To(gomega.HaveLen(1))
		g.Expect(r.Windows).To(gomega.HaveLen(3))
		g.Expect(r.Windows[0].Causes[answers.Whole]).To(gomega.Equal(1))
		g.Expect(answers.Quantile(r.FirstEvents, 0.99)).To(gomega.Equal(1600 * time.Millisecond))
	}
}

func TestReportIsWrittenAndPlotted(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := answers.Read([]io.Reader{strings.NewReader(nodeA + nodeB)}, limits, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	r.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("engine left, no copy\t1\t0.1000"))
	g.Expect(text.String()).To(gomega.ContainSubstring("refused: queue_full\t1"))
	file := filepath.Join(t.TempDir(), "lost.png")
	g.Expect(r.Plot(file)).To(gomega.Succeed())
	info, err := os.Stat(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(info.Size()).To(gomega.BeNumerically(">", 1000))
}

func TestLogsWithoutARequestMakeAnEmptyReport(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := answers.Read([]io.Reader{strings.NewReader("\n=\n\"\n a=\n")}, limits, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Requests).To(gomega.BeZero())
	g.Expect(r.Plot(filepath.Join(t.TempDir(), "x.png"))).To(gomega.Succeed())
}

// Guards against a report that hides that the losses are those of one workspace or one data centre, or that lists all of them.
func TestCausesByWorkspaceAndDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	log := `time=2026-05-02T15:17:20Z level=info event="node started" data_centre=dc7 vm=a
time=2026-05-02T15:17:31Z level=info event="request ended" status=200 workspace=ws0
time=2026-05-02T15:17:31Z level=info event="request ended" reason=queue_full status=503 workspace=ws0
`
	for i := range 8 {
		for range i + 1 {
			log += fmt.Sprintf("time=2026-05-02T15:17:32Z level=info event=\"request ended\" status=500 workspace=big%d\n", i)
		}
	}
	r, err := answers.Read([]io.Reader{strings.NewReader(log), strings.NewReader(nodeB)}, limits, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Workspaces["ws0"]).To(gomega.Equal(map[answers.Cause]int{answers.Whole: 1, answers.Refused: 1}))
	g.Expect(r.DataCentres).To(gomega.HaveLen(1))
	g.Expect(r.DataCentres["dc7"][answers.EndpointFailed]).To(gomega.Equal(36))
	var text strings.Builder
	r.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("big7\t8\t8: endpoint failed 8\n"))
	g.Expect(text.String()).To(gomega.ContainSubstring("big3\t4\t4: endpoint failed 4\n"))
	g.Expect(text.String()).NotTo(gomega.ContainSubstring("big2"))
	g.Expect(text.String()).To(gomega.ContainSubstring("dc7\t38\t37: endpoint failed 36, refused 1\n"))
}
