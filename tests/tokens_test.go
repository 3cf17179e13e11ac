package tests

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// twoDataCentres returns a system with one VM and one engine in each of two data centres.
func twoDataCentres() rig.Spec {
	return rig.Spec{
		Links: true,
		VMs:   []rig.VMSpec{{ID: "vm1", DataCentre: "dc1"}, {ID: "vm2", DataCentre: "dc2"}},
		Engines: []rig.EngineSpec{
			{Name: "e1", DataCentre: "dc1", Models: []string{"m"}},
			{Name: "e2", DataCentre: "dc2", Models: []string{"m"}},
		},
	}
}

var _ = Describe("Tokens of one answer", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() { r = startRig(twoDataCentres()) })

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// Engines mix frames of other requests into a stream, send frames twice, late or not at all,
	// and truncate some. If these were forwarded as they arrive, the caller would get a text with
	// gaps, repeats and another customer's words.
	It("come once and in order although engines send wrong frames", func(ctx SpecContext) {
		setFaults(ctx, admin.EngineFaults{
			CrossedFrames: 0.1, DuplicateFrames: 0.1, LateFrames: 0.1, MissingFrames: 0.02, TruncatedFrames: 0.02,
		}, r.Engines...)
		const streams, length = 16, 50
		var results []<-chan response
		for i := range streams {
			results = append(results, sendAsync(ctx, generationRequest(r.VMs[i%2].CallerAddress, fmt.Sprint("note ", i), length)))
		}
		for _, result := range results {
			expectComplete(<-result, length)
		}
	}, SpecTimeout(time.Minute))

	// The gateway that relays a stream is killed. The caller has part of the response and resumes
	// at another gateway; if the generation were restarted there, the second part would not fit the
	// first.
	It("go on at another gateway after the first one was killed", func(ctx SpecContext) {
		const length, before = 80, 10
		q := generationRequest(r.VMs[0].CallerAddress, "summary", length)
		q.onToken = func(index int) bool {
			if index == before {
				r.VMs[0].Gateway.Kill()
			}
			return true
		}
		first := send(ctx, q)
		Expect(first.done).To(BeFalse())
		Expect(first.handle).NotTo(BeEmpty())
		expectContiguous(first, 0)

		next := len(first.texts)
		rest := send(ctx, resumeRequest(r.VMs[1].CallerAddress, first.handle, next))
		Expect(rest.done).To(BeTrue(), "%+v", rest)
		expectContiguous(rest, next)
		Expect(next + len(rest.texts)).To(Equal(length))
		Expect(generationOf(rest)).To(Equal(generationOf(first)))

		Expect(r.VMs[0].Gateway.Start()).To(Succeed())
		Expect(r.WaitHealthy(ctx, r.VMs[0].CallerAddress)).To(Succeed())
	}, SpecTimeout(time.Minute))

	// The engine is killed during a response while another one is free. The rest of the first
	// generation is lost; the caller must get a typed error and not the tokens of a second
	// generation.
	It("end in a typed error if the engine dies", func(ctx SpecContext) {
		const length, before = 400, 10
		gateway := r.VMs[0].CallerAddress
		q := generationRequest(gateway, "draft", length)
		var engine *rig.Endpoint
		q.onStart = func(name string) { engine = endpointNamed(r, name) }
		q.onToken = func(index int) bool {
			if index == before {
				engine.Kill()
			}
			return true
		}
		s := send(ctx, q)
		Expect(s.done).To(BeFalse())
		expectContiguous(s, 0)
		Expect(s.refusal).NotTo(BeNil(), "%+v", s)
		Expect(s.refusal.Outcome).NotTo(Equal(crocusreel.OutcomeNotRun))

		restoreEndpoint(ctx, r, engine)
		rest := send(ctx, resumeRequest(gateway, s.handle, len(s.texts)))
		Expect(rest.refusal).NotTo(BeNil(), "%+v", rest)
		Expect(rest.refusal.Reason).To(Equal(crocusreel.ReasonGenerationLost))
		Expect(rest.texts).To(BeEmpty())
	}, SpecTimeout(time.Minute))

	// The link to the engine is reset twice during a response. The generation still exists: a
	// gateway that restarts it repeats tokens, and one that gives up loses the response.
	It("go on after the link to the engine was reset twice", func(ctx SpecContext) {
		const length = 80
		q := generationRequest(r.VMs[0].CallerAddress, "letter", length)
		q.onToken = func(index int) bool {
			if index == 10 || index == 30 {
				for _, e := range r.Engines {
					Expect(e.Link.Reset()).To(Succeed())
				}
			}
			return true
		}
		expectComplete(send(ctx, q), length)
	}, SpecTimeout(time.Minute))
})
