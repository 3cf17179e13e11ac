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

// spec is an engine of the users' deployments: 18,432 bytes a token over 2,700 Mbit/s are 18,300
// tokens a second.
var spec = &routing.EngineSpec{Slots: 24, CacheTokens: 34_360, BytesPerToken: 18_432, LinkMbps: 2700, CanMove: true, TokensPerEvent: 4}

var _ = Describe("the order in which runs leave an engine", func() {
	// Engines are reclaimed 1.5 to 2.1 s after their notice, and nine runs of 4,000 tokens need two
	// seconds on the link. Copied concurrently, all of them finish late and all nine streams are
	// lost.
	It("lets the small runs of a full engine leave within the notice, one after another", func() {
		var runs []relay.EngineRun
		for i := range 9 {
			runs = append(runs, relay.EngineRun{ID: fmt.Sprintf("r%d", i), Tokens: 5200 - 300*i, Events: 1})
		}
		saved := 0
		end, largest := time.Duration(0), 0
		for _, r := range relay.MigrationOrder(runs, spec) {
			Expect(r.Tokens).To(BeNumerically(">", largest))
			largest = r.Tokens
			if end += relay.MoveTime(r.Tokens, spec); end <= 1500*time.Millisecond {
				saved++
			}
		}
		Expect(saved).To(BeNumerically(">=", 6))
	})

	// Each node asks the engine itself. The answers list the runs in any order and at different
	// times, so that runs have grown. Nodes with different orders move their runs concurrently or
	// wait for each other.
	It("does not depend on the order and the moment of the report", func() {
		a := []relay.EngineRun{
			{ID: "x", Tokens: 1100, Events: 20},
			{ID: "y", Tokens: 1020, Events: 5},
			{ID: "z", Tokens: 2050, Events: 260},
			{ID: "unread", Tokens: 112},
		}
		b := []relay.EngineRun{
			{ID: "unread", Tokens: 900},
			{ID: "z", Tokens: 2150, Events: 285},
			{ID: "y", Tokens: 1120, Events: 30},
			{ID: "x", Tokens: 1200, Events: 45},
		}
		names := func(runs []relay.EngineRun) (ids []string) {
			for _, r := range relay.MigrationOrder(runs, spec) {
				ids = append(ids, r.ID)
			}
			return ids
		}
		Expect(names(a)).To(Equal([]string{"y", "z", "x", "unread"}))
		Expect(names(b)).To(Equal(names(a)))
	})
})

var _ = Describe("the turns of runs that leave an engine", func() {
	now := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	runs := []relay.EngineRun{{ID: "a", Tokens: 1000, Events: 1}, {ID: "b", Tokens: 2000, Events: 1}, {ID: "c", Tokens: 3000, Events: 1}}

	// A run that starts before the last part of another run is copied has its own copy queued ahead
	// of that part, and the other run's caller waits for both.
	It("come once the earlier runs have left, on any node", func(ctx SpecContext) {
		here := relay.NewVacatedRuns(now)
		d := relay.NewDeparture(here, runs, spec)
		Expect(d.Await(ctx, "a")).To(BeNumerically("<", 20*time.Millisecond))
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Await(ctx, "b")
		}()
		Consistently(done, 30*time.Millisecond).ShouldNot(BeClosed())
		there := relay.NewVacatedRuns(now)
		relay.NewDeparture(there, runs, spec).Leave("a")
		here.Merge(there.OwnRecent(time.Second))
		Eventually(done, 30*time.Millisecond).Should(BeClosed())
	}, SpecTimeout(5*time.Second))

	// The node of the first run has failed, or its copy goes to another data centre. The other runs
	// must not wait until the engine has left.
	It("come after a timeout if nothing is reported of the earlier runs", func(ctx SpecContext) {
		d := relay.NewDeparture(relay.NewVacatedRuns(now), runs, spec)
		slack := func(tokens int) time.Duration {
			return time.Duration(relay.TurnSlackFactor * float64(relay.MoveTime(tokens, spec)))
		}
		Expect(d.Await(ctx, "b")).To(BeNumerically("~", slack(1000), 40*time.Millisecond))
		d.Leave("a")
		Expect(d.Await(ctx, "c")).To(BeNumerically("~", slack(2000), 40*time.Millisecond))
	}, SpecTimeout(5*time.Second))

	// A run moves to an engine that soon leaves as well. The report that it has left the first
	// engine must not count for the second.
	It("count a run as moved from one engine only", func(ctx SpecContext) {
		here := relay.NewVacatedRuns(now)
		d := relay.NewDeparture(here, runs, spec)
		d.Leave("a")
		other := relay.NewVacatedRuns(now)
		other.Merge(here.OwnRecent(time.Second))
		Expect(d.Await(ctx, "b")).To(BeNumerically("<", 20*time.Millisecond))
		Expect(relay.NewRunKey("a", 7)).NotTo(Equal(relay.NewRunKey("a", 8)))
	}, SpecTimeout(5*time.Second))
})

var _ = Describe("the reader of events", func() {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

	// A stream arrives in reads of any size. The caller must get all events, and complete ones
	// only.
	It("returns complete events whatever the size of the reads", func() {
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

	// An engine dies in the middle of an event. Joined to the next event of the resumed run, the
	// partial event would form an event that no engine sent.
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

	// Two nodes may report the same death. Counted twice, it would stop a request that met two
	// deaths by chance.
	It("count each death once, whoever reports it", func() {
		s := newStrikes()
		work := relay.NewFingerprint("ws", "/x", []byte("body"))
		s.Add(work, 1)
		s.Merge(work, 1)
		s.Merge(work, 2)
		Expect(s.Count(work)).To(Equal(2))
		Expect(s.Count(relay.NewFingerprint("ws", "/x", []byte("other")))).To(BeZero())
	})

	// A node runs for weeks, and now and then an engine dies while it runs a common request. Added
	// up, such unrelated deaths, hours apart, would refuse that request forever.
	It("expire", func() {
		s := newStrikes()
		for endpoint := range uint32(3) {
			s.Add(7, endpoint)
			now += time.Hour
		}
		Expect(s.Count(7)).To(BeZero())
	})

	It("are broadcast to other nodes for a limited time", func() {
		s := newStrikes()
		s.Add(7, 1)
		s.Merge(8, 1)
		Expect(s.OwnRecent(time.Second)).To(HaveLen(1))
		now += 2 * time.Second
		Expect(s.OwnRecent(time.Second)).To(BeEmpty())
	})

	// A crash of all engines cuts hundreds of requests, none of which is at fault.
	It("are bounded in number", func() {
		s := newStrikes()
		for i := range 5000 {
			s.Merge(relay.Fingerprint(i), 1)
		}
		s.Merge(1, 2)
		Expect(s.Count(1)).To(BeNumerically("<=", 2))
	})
})
