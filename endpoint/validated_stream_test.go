package endpoint_test

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/engine"
)

// frames is a Stream of the given frames.
type frames []endpoint.Frame

func (f *frames) Next() (endpoint.Frame, error) {
	if len(*f) == 0 {
		return endpoint.Frame{}, io.EOF
	}
	next := (*f)[0]
	*f = (*f)[1:]
	return next, nil
}

func (f *frames) Close() error { return nil }

func token(generation string, index int) endpoint.Frame {
	return endpoint.Frame{RequestID: "r", GenerationID: generation, Index: index, Text: "t"}
}

func end(generation string, index int) endpoint.Frame {
	return endpoint.Frame{RequestID: "r", GenerationID: generation, Index: index, Done: true}
}

var _ = Describe("validated streams", func() {
	check := func(in frames, next int) ([]endpoint.Frame, map[string]int, error) {
		drops := map[string]int{}
		out, err := drain(endpoint.ValidateStream(&in, "r", "g", next, func(kind string) { drops[kind]++ }))
		return out, drops, err
	}

	// Guards against an answer that contains text of another request or repeated text because an
	// engine mixes up two answers, repeats frames or sends them late.
	It("drop and count frames of other requests and repeated frames", func() {
		out, drops, err := check(frames{
			token("g", 0), token("other", 1), token("g", 1), token("g", 1), token("g", 0), end("other", 2), end("g", 2),
		}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal([]endpoint.Frame{token("g", 0), token("g", 1), end("g", 2)}))
		Expect(drops).To(Equal(map[string]int{endpoint.DropCrossed: 2, endpoint.DropRepeated: 2}))
	})

	// Guards against an answer that silently lacks a token because a frame was lost.
	It("fail at a gap in the indices", func() {
		out, _, err := check(frames{token("g", 0), token("g", 2), end("g", 3)}, 0)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindProtocol))
		Expect(out).To(HaveLen(1))
	})

	It("fail if the last frame leaves out tokens or is that of another generation", func() {
		_, _, err := check(frames{token("g", 0), end("g", 5)}, 0)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindProtocol))
		_, _, err = check(frames{token("g", 0), end("other", 1)}, 0)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
	})

	It("begin at the requested index", func() {
		out, drops, err := check(frames{token("g", 3), token("g", 4), end("g", 5)}, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(HaveLen(2))
		Expect(drops).To(HaveKeyWithValue(endpoint.DropRepeated, 1))
	})

	It("end if an engine sends only invalid frames", func() {
		var in frames
		for range 5000 {
			in = append(in, token("other", 0))
		}
		_, _, err := check(in, 0)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindProtocol))
	})

	// Guards against wrong answers from an engine with all frame faults at once: the answer must be
	// complete, or end with an error and be resumable from where it ended.
	It("deliver a complete answer of a faulty engine by resuming", func() {
		ctx := context.Background()
		client, faults := startEngine(engine.Options{Seed: 7})
		Expect(faults.SetFaults(ctx, admin.EngineFaults{
			CrossedFrames: 0.2, DuplicateFrames: 0.2, LateFrames: 0.2, MissingFrames: 0.02, TruncatedFrames: 0.02,
		})).To(Succeed())
		drops := 0
		onDrop := func(string) { drops++ }
		raw, err := client.Generate(ctx, generation("g1", "x [[len=200]]"))
		Expect(err).NotTo(HaveOccurred())
		got, err := drain(endpoint.ValidateStream(raw, "r-g1", "g1", 0, onDrop))
		resumes := 0
		for err != nil {
			resumes++
			Expect(resumes).To(BeNumerically("<", 200))
			raw, resumeErr := client.Resume(ctx, "g1", len(got))
			Expect(resumeErr).NotTo(HaveOccurred())
			var more []endpoint.Frame
			more, err = drain(endpoint.ValidateStream(raw, "r-g1", "g1", len(got), onDrop))
			got = append(got, more...)
		}
		Expect(got).To(HaveLen(201))
		for i, f := range got {
			Expect(f.Index).To(Equal(i))
			Expect(f.GenerationID).To(Equal("g1"))
		}
		Expect(drops).To(BeNumerically(">", 0))
		Expect(resumes).To(BeNumerically(">", 0))
	})
})
