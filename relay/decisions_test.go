package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// spec is an engine of the users: 18,432 bytes a token over 2,700 Mbit/s are 18,300
// tokens a second.
var spec = &routing.EngineSpec{Slots: 24, Memory: 34_360, BytesPerToken: 18_432, LinkMbps: 2700, CanMove: true, TokensPerEvent: 4}

var _ = Describe("the order in which runs leave an engine", func() {
	// Engines are reclaimed 1.5 to 2.1 s after their notice. Nine runs of 4,000 tokens
	// need two seconds on the link. Begun at once they would all end late, and with them
	// all nine streams would be lost.
	It("lets the small runs of a full engine leave within the notice, without overlap", func() {
		var runs []relay.EngineRun
		for i := range 9 {
			runs = append(runs, relay.EngineRun{ID: fmt.Sprintf("r%d", i), Tokens: 5200 - 300*i})
		}
		starts := relay.EvacuationOrder(runs, spec)
		saved := 0
		for _, r := range runs {
			end := starts[r.ID] + relay.CopyTime(r.Tokens, spec)
			if end <= 1500*time.Millisecond {
				saved++
			}
			for _, other := range runs {
				if other.Tokens > r.Tokens {
					Expect(starts[other.ID]).To(BeNumerically(">=", end))
				}
			}
		}
		Expect(saved).To(BeNumerically(">=", 5))
	})

	// Each node works out the order from its own question to the engine; the answers
	// list the runs in any order.
	It("does not depend on the order of the report", func() {
		a := []relay.EngineRun{{ID: "x", Tokens: 100}, {ID: "y", Tokens: 100}, {ID: "z", Tokens: 50}}
		b := []relay.EngineRun{a[2], a[1], a[0]}
		Expect(relay.EvacuationOrder(a, spec)).To(Equal(relay.EvacuationOrder(b, spec)))
	})
})

var _ = Describe("the reader of events", func() {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

	// Events come in pieces of any size. Whatever the cut, the caller gets whole events
	// and all of them.
	It("returns whole events whatever the pieces", func() {
		r := relay.NewEventReader(iotest.OneByteReader(bytes.NewBufferString(stream)))
		var got []byte
		for {
			batch, err := r.Next()
			got = append(got, batch...)
			if err != nil {
				Expect(err).To(Equal(io.EOF))
				break
			}
			Expect(batch).To(HaveSuffix("\n\n"))
		}
		Expect(string(got)).To(Equal(stream))
	})

	// An engine dies in the middle of an event. The half event joined to the next one
	// of the run's continuation would be an event that nobody made.
	It("never returns a part of an event", func() {
		r := relay.NewEventReader(bytes.NewBufferString(stream[:len(stream)-3]))
		batch, err := r.Next()
		for err == nil {
			Expect(string(batch)).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			batch, err = r.Next()
		}
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
		Expect(batch).To(BeEmpty())
	})

	It("does not grow without bound", func() {
		r := relay.NewEventReader(bytes.NewReader(make([]byte, 1<<20)))
		_, err := r.Next()
		Expect(err).To(MatchError(io.ErrShortBuffer))
	})
})

var _ = Describe("strikes", func() {
	var now time.Duration
	newStrikes := func() *relay.Strikes {
		now = time.Hour
		return relay.NewStrikes(func() time.Duration { return now })
	}

	// A request kills each engine that runs it and comes again at other nodes. Two nodes
	// may report one death; counted twice it would stop a request that met two deaths
	// by chance.
	It("count each death once, whoever reports it", func() {
		s := newStrikes()
		work := relay.NewFingerprint("ws", "/x", []byte("body"))
		s.Add(work, 1)
		s.Merge(work, 1)
		s.Merge(work, 2)
		Expect(s.Count(work)).To(Equal(2))
		Expect(s.Count(relay.NewFingerprint("ws", "/x", []byte("other")))).To(BeZero())
	})

	It("are told to others for a while only", func() {
		s := newStrikes()
		s.Add(7, 1)
		s.Merge(8, 1)
		Expect(s.Fresh(time.Second)).To(HaveLen(1))
		now += 2 * time.Second
		Expect(s.Fresh(time.Second)).To(BeEmpty())
	})

	// A crash of all engines cuts hundreds of requests. None of them is at fault.
	It("are bounded in number", func() {
		s := newStrikes()
		for i := range 5000 {
			s.Merge(relay.Fingerprint(i), 1)
		}
		s.Merge(1, 2)
		Expect(s.Count(1)).To(BeNumerically("<=", 2))
	})
})
