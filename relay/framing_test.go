package relay_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// wayToEnd is how an engine ends its streams and the lines of their events.
type wayToEnd struct {
	framing worker.Framing
	lineEnd string
}

// eachWayToEnd returns an entry for each framing and end of lines.
func eachWayToEnd() []TableEntry {
	var entries []TableEntry
	for framing, name := range map[worker.Framing]string{worker.Chunked: "chunks", worker.UntilClose: "no length"} {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			entries = append(entries, Entry(fmt.Sprintf("%s, lines that end with %q", name, lineEnd), wayToEnd{framing, lineEnd}))
		}
	}
	return entries
}

func (e wayToEnd) events(id string, from, to int) string {
	return strings.ReplaceAll(events(id, from, to), "\n", e.lineEnd)
}

// engineEnding adds an engine with streams of 20 events.
func (r *testRelay) engineEnding(id string, e wayToEnd, faultOf func(*worker.Run) worker.Fault) *worker.Worker {
	GinkgoHelper()
	return r.start("pool", worker.Options{
		ID: id, Events: 20, EventInterval: 2 * time.Millisecond, KVStore: r.memory, FaultOf: faultOf, Framing: e.framing, LineEnd: e.lineEnd,
	})
}

var _ = Describe("a stream that ends without an error of its connection", func() {
	DescribeTable("is whole if it ends after an event", func(e wayToEnd) {
		r := newTestRelay()
		r.engineEnding("e1", e, nil)
		req := r.request(routing.Streaming)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(v.Events).To(Equal(20))
		Expect(a.text()).To(Equal(e.events(req.ID, 1, 20)))
	}, eachWayToEnd())

	// Guards against a part of an event that the caller gets as the end of a whole stream.
	DescribeTable("is broken if it ends inside an event, and that event is not passed on", func(e wayToEnd) {
		for _, fault := range []worker.Fault{worker.CutInEvent, worker.CutBeforeBlankLine} {
			r := newTestRelay()
			r.engineEnding("e1", e, always(fault))
			req := r.request(routing.Streaming)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeTrue())
			Expect(a.text()).To(Equal(e.events(req.ID, 1, 9)))
		}
	}, eachWayToEnd())

	DescribeTable("goes on from its copy if it ends inside an event", func(e wayToEnd) {
		r := newTestRelay()
		r.backups = true
		r.engineEnding("e1", e, once(worker.CutInEvent))
		r.engineEnding("e2", e, once(worker.CutInEvent))
		req := r.request(routing.Streaming)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(v.Moves).To(Equal(1))
		Expect(a.text()).To(Equal(e.events(req.ID, 1, 20)))
	}, eachWayToEnd())

	DescribeTable("runs again on a resumable route if it ends inside an event", func(e wayToEnd) {
		r := newTestRelay()
		again := func(run *worker.Run) worker.Fault {
			if run.Header.Get("Last-Event-Id") != "" {
				return worker.None
			}
			return worker.CutBeforeBlankLine
		}
		r.engineEnding("e1", e, again)
		r.engineEnding("e2", e, again)
		req := r.request(routing.Streaming)
		req.Route = &routing.Route{Name: "r", Kind: routing.Streaming, MaxAttempts: 2, Resumable: true}
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(v.Runs).To(Equal(2))
		Expect(a.text()).To(Equal(e.events(req.ID, 1, 20)))
	}, eachWayToEnd())

	It("may end with a comment", func() {
		reader := relay.NewEventReader(strings.NewReader("data: x\n\n: done\n"))
		got := ""
		for {
			batch, err := reader.Next()
			got += string(batch)
			if err != nil {
				Expect(err).To(MatchError("EOF"))
				break
			}
		}
		Expect(got).To(Equal("data: x\n\n: done\n"))
	})
})
