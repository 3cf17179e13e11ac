package engine

import (
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// eventTimeout is the timeout of waits for events that must occur.
const eventTimeout = 20 * time.Second

// testEngine is an engine under test with clients of its HTTP APIs.
type testEngine struct {
	client endpoint.Engine
	admin  *admin.Client
	// exitStatus is the status with which the engine asked to exit; -1 if none.
	exitStatus atomic.Int64
}

func startEngine(o Options) *testEngine {
	r := &testEngine{}
	r.exitStatus.Store(-1)
	o.Models = []string{"m"}
	o.TimeScale = 50
	o.Exit = func(status int) { r.exitStatus.Store(int64(status)) }
	e, err := New(o)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	DeferCleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	addr := strings.TrimPrefix(server.URL, "http://")
	r.client = endpoint.NewEngine(addr, endpoint.Options{StallTimeout: eventTimeout})
	r.admin = admin.NewClient(addr)
	return r
}

func (r *testEngine) generate(id, prompt string) endpoint.Stream {
	stream, err := r.client.Generate(context.Background(), endpoint.GenerateRequest{
		RequestID: "r-" + id, GenerationID: id, Workspace: "w", Model: "m", Prompt: prompt,
	})
	Expect(err).NotTo(HaveOccurred())
	return stream
}

// waitEnded waits until the only run has ended and returns it.
func (r *testEngine) waitEnded() admin.Run {
	var runs []admin.Run
	Eventually(func() bool {
		var err error
		runs, err = r.admin.Runs(context.Background())
		return err == nil && len(runs) == 1 && runs[0].Ended
	}, eventTimeout, 20*time.Millisecond).Should(BeTrue())
	return runs[0]
}

func next(s endpoint.Stream) endpoint.Frame {
	f, err := s.Next()
	Expect(err).NotTo(HaveOccurred())
	return f
}

var _ = Describe("the stand-in engine", func() {
	ctx := context.Background()

	// Guards the handover of a stream: one gateway dies in mid-stream and another one resumes at
	// the next token.
	It("resumes a generation after its stream broke", func() {
		r := startEngine(Options{DetachGrace: eventTimeout})
		stream := r.generate("g1", "x [[len=100]]")
		Expect(next(stream).Index).To(Equal(0))
		Expect(stream.Close()).To(Succeed())
		resumed, err := r.client.Resume(ctx, "g1", 1)
		Expect(err).NotTo(HaveOccurred())
		for i := 1; i <= 100; i++ {
			f := next(resumed)
			Expect(f.Index).To(Equal(i))
			Expect(f.Done).To(Equal(i == 100))
		}
	})

	It("cancels a generation without streams after the grace time", func() {
		r := startEngine(Options{DetachGrace: 50 * time.Millisecond})
		stream := r.generate("g1", "x [[len=100000]]")
		next(stream)
		Expect(stream.Close()).To(Succeed())
		Expect(r.waitEnded().FinishReason).To(Equal("cancelled"))
	})

	It("cancels with only_detached only a generation without streams", func() {
		r := startEngine(Options{})
		stream := r.generate("g1", "x [[len=100000]]")
		Expect(r.client.Cancel(ctx, "g1", true)).To(Succeed())
		next(stream)
		Expect(r.client.Cancel(ctx, "g1", false)).To(Succeed())
		Expect(r.waitEnded().FinishReason).To(Equal("cancelled"))
	})

	It("executes orders with stale fencing tokens if it does not check them", func() {
		r := startEngine(Options{})
		Expect(r.client.Order(ctx, endpoint.Order{Fence: 9, Verb: "load", Model: "n", Version: "2"})).To(Succeed())
		Expect(r.client.Order(ctx, endpoint.Order{Fence: 3, Verb: "unload", Model: "m"})).To(Succeed())
		Eventually(func() ([]endpoint.LoadedModel, error) {
			s, err := r.client.State(ctx)
			return s.Models, err
		}, eventTimeout).Should(Equal([]endpoint.LoadedModel{{Model: "n", Version: "2"}}))
		Expect(r.admin.Orders(ctx)).To(HaveLen(2))
	})

	It("refuses orders with stale fencing tokens if it checks them, and records all orders", func() {
		r := startEngine(Options{ChecksFence: true})
		Expect(r.client.Order(ctx, endpoint.Order{Fence: 9, Verb: "role", Role: "decode"})).To(Succeed())
		Expect(r.client.Order(ctx, endpoint.Order{Fence: 3, Verb: "unload", Model: "m"})).NotTo(Succeed())
		Expect(r.client.State(ctx)).To(And(HaveField("Fence", BeEquivalentTo(9)), HaveField("Models", HaveLen(1))))
		orders, err := r.admin.Orders(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(orders[1].Applied).To(BeFalse())
	})

	It("finishes a failed load without adding the model", func() {
		r := startEngine(Options{})
		Expect(r.admin.SetFaults(ctx, admin.EngineFaults{FailLoads: true})).To(Succeed())
		Expect(r.client.Order(ctx, endpoint.Order{Verb: "load", Model: "n"})).To(Succeed())
		Eventually(func() (endpoint.State, error) { return r.client.State(ctx) }, eventTimeout).
			Should(And(HaveField("Loading", false), HaveField("Models", HaveLen(1))))
	})

	// A VM is reclaimed at short notice, which cuts off longer answers: the engine must announce it
	// without the report lag and exit with status 0 at the deadline.
	It("announces its reclaim and then exits", func() {
		r := startEngine(Options{ReportLag: time.Hour})
		Expect(r.admin.SetFaults(ctx, admin.EngineFaults{ReclaimInMS: 300})).To(Succeed())
		Expect(r.client.Load(ctx)).To(HaveField("Leaving", true))
		Eventually(r.exitStatus.Load, eventTimeout).Should(BeEquivalentTo(0))
	})

	It("exits after a few tokens of a request with the crash marker", func() {
		r := startEngine(Options{})
		r.generate("g1", "x [[crash]] [[len=50]]")
		Eventually(r.exitStatus.Load, eventTimeout).Should(BeEquivalentTo(admin.ExitStatusDied))
	})

	It("delays load reports by the report lag", func() {
		r := startEngine(Options{ReportLag: time.Hour})
		stream := r.generate("g1", "x [[len=100000]]")
		next(stream)
		Expect(r.client.Load(ctx)).To(And(HaveField("Running", 0), HaveField("KVCapacity", 30000)))
	})

	It("publishes cache events with gaps", func() {
		r := startEngine(Options{Seed: 3})
		Expect(r.admin.SetFaults(ctx, admin.EngineFaults{CacheEventGaps: 0.5})).To(Succeed())
		prompt := strings.Repeat("a prompt that is long enough for some whole blocks of tokens. ", 40)
		r.generate("g1", prompt+"[[len=2]]")
		r.waitEnded()
		events, err := r.client.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).NotTo(BeEmpty())
		Expect(events[len(events)-1].Seq).To(BeNumerically(">", len(events)))
		known := endpoint.PrefixHashes("m", prompt)
		Expect(known).To(ContainElement(events[0].Prefix))
	})

	// Simulates the failure of one direction of a link: the engine receives requests and decodes,
	// but none of its bytes arrive.
	It("continues to decode while it is mute", func() {
		r := startEngine(Options{KeepAlive: 20 * time.Millisecond, DetachGrace: eventTimeout})
		stream := r.generate("g1", "x [[len=50]]")
		Expect(r.admin.SetFaults(ctx, admin.EngineFaults{Mute: true})).To(Succeed())
		Expect(r.waitEnded().Tokens).To(Equal(50))
		Expect(r.admin.SetFaults(ctx, admin.EngineFaults{})).To(Succeed())
		Expect(next(stream).Index).To(Equal(0))
	})

	It("restores the run list from its journal after a restart", func() {
		journal := filepath.Join(GinkgoT().TempDir(), "journal")
		r := startEngine(Options{Journal: journal})
		r.generate("g1", "x [[len=1]]")
		before := r.waitEnded()
		after, err := startEngine(Options{Journal: journal}).admin.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(HaveLen(1))
		Expect(after[0].GenerationID).To(Equal(before.GenerationID))
		Expect(after[0].Incarnation).To(Equal(before.Incarnation))
	})

	It("draws the same length for a request on every engine with the same seed", func() {
		o := Options{Seed: 5}.withDefaults()
		Expect(outputLength(o, "r1", "x")).To(Equal(outputLength(o, "r1", "y")))
		Expect(outputLength(o, "r1", "x [[len=17]]")).To(Equal(17))
	})
})
