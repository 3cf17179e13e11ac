package relay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// leavingStream is a stream whose engine leaves while another one has capacity.
type leavingStream struct {
	*testRelay
	req           *relay.Request
	first, second *worker.Worker
	answer        *recordingSink
	done          chan relay.Result
	cancel        context.CancelFunc
}

// answerLatency is longer than an answer takes from one goroutine of this process to another.
const answerLatency = 50 * time.Millisecond

// longStreamEvents is the number of events of a stream that is still running when its engine dies.
const longStreamEvents = 100

// startLeaving starts a stream on an engine with the options, adds a second engine, and marks the
// first one as leaving.
func startLeaving(o worker.Options) *leavingStream {
	GinkgoHelper()
	s := &leavingStream{testRelay: newTestRelay(), answer: &recordingSink{}, done: make(chan relay.Result, 1)}
	o.ID, o.Events, o.EventInterval, o.KVStore = "first", longStreamEvents, 5*time.Millisecond, s.memory
	s.first = s.start("pool", o)
	s.req = s.request(routing.Streaming)
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	DeferCleanup(s.cancel)
	go func() { s.done <- s.Serve(ctx, s.req, s.answer) }()
	Eventually(s.answer.text).Should(ContainSubstring("id: 10\n"))
	s.second = s.engine("second", longStreamEvents, nil)
	s.leaving("first")
	return s
}

var _ = Describe("a stream whose engine dies while its memory is copied", func() {
	// A leaving engine copies a run and dies at that moment: the stream is cut, and the answer that
	// the copy exists arrives slightly earlier or later on another connection. A node that looks
	// for copies only at the cut gives the stream up; its log has a broken "request ended" right
	// before "memory copied".
	DescribeTable("continues from the copy whichever comes first, the cut or the answer",
		func(dying worker.CopyCrash) {
			s := startLeaving(worker.Options{CrashAfterCopy: &dying})
			var v relay.Result
			Eventually(s.done, 3*time.Second).Should(Receive(&v))
			Expect(v.Broken).To(BeFalse())
			Expect(v.Moves).To(Equal(1))
			Expect(s.answer.text()).To(Equal(events(s.req.ID, 1, longStreamEvents)))
			Expect(s.second.Runs()).To(HaveLen(1))
			Expect(s.second.Runs()[0].Resumed).To(BeTrue())
			Eventually(s.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
		},
		Entry("the answer first", worker.CopyCrash{CutAfter: 40 * time.Millisecond, AnswerAfter: 5 * time.Millisecond}),
		Entry("the cut first", worker.CopyCrash{CutAfter: 5 * time.Millisecond, AnswerAfter: 40 * time.Millisecond}),
		Entry("both at once", worker.CopyCrash{CutAfter: 10 * time.Millisecond, AnswerAfter: 10 * time.Millisecond}),
		Entry("the cut long before", worker.CopyCrash{CutAfter: time.Millisecond, AnswerAfter: 400 * time.Millisecond}),
	)

	// The engine dies before it sends the answer. No node knows the copy's handle, and the stream
	// must be reported as broken at once.
	It("is given up as soon as the answer is known to be lost", func() {
		s := startLeaving(worker.Options{
			CrashAfterCopy: &worker.CopyCrash{CutAfter: time.Millisecond, AnswerAfter: 40 * time.Millisecond, AnswerLost: true},
		})
		Eventually(s.done, 500*time.Millisecond).Should(Receive(HaveField("Broken", true)))
		Expect(s.second.Runs()).To(BeEmpty())
	})

	// The caller leaves while the stream waits for the answer. The copy must be freed and its
	// placement released.
	It("leaves no copy behind when its caller does not wait", func() {
		s := startLeaving(worker.Options{CrashAfterCopy: &worker.CopyCrash{CutAfter: time.Millisecond, AnswerAfter: 400 * time.Millisecond}})
		time.Sleep(100 * time.Millisecond)
		s.cancel()
		Eventually(s.done, 200*time.Millisecond).Should(Receive(HaveField("Broken", true)))
		Eventually(s.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
		Eventually(s.memory.Copies, 3*time.Second).Should(BeZero())
		Expect(s.second.Runs()).To(BeEmpty())
	})
})

var _ = Describe("a stream whose copy is made without an answer", func() {
	// The connection of the order to copy breaks although the engine lives. The copy exists; a
	// second order sends only the new part and returns the handle. A node that goes to another
	// target instead sends all of the memory again over a link on which other runs wait, and the
	// engine exits before the last of them is copied.
	It("asks the same target again", func() {
		s := startLeaving(worker.Options{LostMoveAnswers: 1})
		s.engine("third", longStreamEvents, nil)
		Eventually(s.first.MoveTargets, 100*time.Millisecond, time.Millisecond).Should(HaveLen(2))
		time.Sleep(answerLatency)
		Expect(s.first.MoveTargets()).To(HaveEach(s.first.MoveTargets()[0]))
		s.first.Stop()
		Eventually(s.done, 3*time.Second).Should(Receive(HaveField("Broken", false)))
		Expect(s.answer.text()).To(Equal(events(s.req.ID, 1, longStreamEvents)))
	})
})
