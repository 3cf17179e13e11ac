package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/engine"
)

// serve starts a server with the handler and returns its address.
func serve(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// startEngine starts a stand-in engine that decodes a hundred times faster than real time.
func startEngine(o engine.Options) (endpoint.Engine, *admin.Client) {
	o.TimeScale = 100
	o.Models = []string{"m"}
	e, err := engine.New(o)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = e.Run(ctx) }()
	addr := serve(e.Handler())
	return endpoint.NewEngine(addr, endpoint.Options{StallTimeout: 5 * time.Second}), admin.NewClient(addr)
}

func generation(id, prompt string) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{RequestID: "r-" + id, GenerationID: id, Workspace: "w", Model: "m", Prompt: prompt}
}

// failure matches an *endpoint.Error.
func failure(outcome crocusreel.Outcome, kind endpoint.ErrorKind) types.GomegaMatcher {
	return WithTransform(func(err error) *endpoint.Error {
		var e *endpoint.Error
		errors.As(err, &e)
		return e
	}, And(Not(BeNil()), HaveField("Outcome", outcome), HaveField("Kind", kind)))
}

// drain reads a stream to its end.
func drain(s endpoint.Stream) (frames []endpoint.Frame, err error) {
	defer func() { _ = s.Close() }()
	for {
		f, err := s.Next()
		if err == io.EOF {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

var _ = Describe("the engine client", func() {
	ctx := context.Background()

	It("reads a complete answer", func() {
		client, _ := startEngine(engine.Options{})
		stream, err := client.Generate(ctx, generation("g1234567890", "x [[len=4]]"))
		Expect(err).NotTo(HaveOccurred())
		frames, err := drain(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(frames).To(HaveLen(5))
		Expect(frames[3].Text).To(Equal("g1234567.3 "))
		Expect(frames[4]).To(And(HaveField("Done", true), HaveField("Index", 4), HaveField("FinishReason", "stop")))
	})

	It("ends at the token limit with finish reason length", func() {
		client, _ := startEngine(engine.Options{})
		req := generation("g1", "x [[len=40]]")
		req.MaxTokens = 3
		stream, err := client.Generate(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		frames, err := drain(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(frames[len(frames)-1]).To(And(HaveField("Index", 3), HaveField("FinishReason", "length")))
	})

	// Guards against a lost retry: nothing was sent to an engine that is down, so the request may
	// be sent to another one.
	It("reports a refused connection as not run", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		client := endpoint.NewEngine(strings.TrimPrefix(server.URL, "http://"), endpoint.Options{})
		_, err := client.Generate(ctx, generation("g1", "x"))
		Expect(err).To(failure(crocusreel.OutcomeNotRun, endpoint.KindUnreachable))
	})

	It("reports the engine's own refusal as not run", func() {
		client, _ := startEngine(engine.Options{})
		req := generation("g1", "x")
		req.Model = "other"
		_, err := client.Generate(ctx, req)
		Expect(err).To(failure(crocusreel.OutcomeNotRun, endpoint.KindRefused))
	})

	// Guards against running work twice: an intermediary may answer 503 while the engine runs the
	// work.
	It("reports an untyped error answer as unknown", func() {
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
		}))
		_, err := endpoint.NewEngine(addr, endpoint.Options{}).Generate(ctx, generation("g1", "x"))
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindProtocol))
	})

	// Guards against running work twice: the engine accepts the work and the connection breaks
	// before the answer, but the work runs.
	It("reports a lost answer as unknown, and the run is listed", func() {
		client, faults := startEngine(engine.Options{})
		Expect(faults.SetFaults(ctx, admin.EngineFaults{LoseNext: 1})).To(Succeed())
		_, err := client.Generate(ctx, generation("g1", "x"))
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
		Expect(faults.Runs(ctx)).To(HaveLen(1))
	})

	// Guards against a wrong answer: a frame that is cut within its text could be mistaken for a
	// shorter token.
	It("reports a truncated frame as lost", func() {
		client, faults := startEngine(engine.Options{})
		Expect(faults.SetFaults(ctx, admin.EngineFaults{TruncatedFrames: 1})).To(Succeed())
		stream, err := client.Generate(ctx, generation("g1", "x [[len=4]]"))
		Expect(err).NotTo(HaveOccurred())
		frames, err := drain(stream)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
		Expect(frames).To(BeEmpty())
	})

	// The last line is valid JSON but lacks its line break, and the answer ends without an error.
	It("reports an answer that ends without its last frame as lost", func() {
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"request_id":"r-g1","generation_id":"g1","index":0,"text":"a"}`+"\n"+
				`{"request_id":"r-g1","generation_id":"g1","index":1,"done":true}`)
		}))
		stream, err := endpoint.NewEngine(addr, endpoint.Options{}).Generate(ctx, generation("g1", "x"))
		Expect(err).NotTo(HaveOccurred())
		frames, err := drain(stream)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindLost))
		Expect(frames).To(HaveLen(1))
	})

	// Guards against a caller that waits forever because the connection becomes silent without an
	// error.
	It("reports a silent connection as stalled", func() {
		release := make(chan struct{})
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == endpoint.PathGenerate {
				_, _ = io.WriteString(w, `{"request_id":"r-g1","generation_id":"g1","index":0,"text":"a"}`+"\n")
				w.(http.Flusher).Flush()
			}
			<-release
		}))
		DeferCleanup(func() { close(release) })
		client := endpoint.NewEngine(addr, endpoint.Options{StallTimeout: 200 * time.Millisecond})
		stream, err := client.Generate(ctx, generation("g1", "x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = drain(stream)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindStalled))
		_, err = client.Load(ctx)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindStalled))
	})

	// Guards against a stall timeout that aborts good answers: a busy engine has no token to send
	// for a while, but sends keep-alive bytes.
	It("does not report a stall while the engine sends keep-alive bytes", func() {
		client, faults := startEngine(engine.Options{KeepAlive: 20 * time.Millisecond})
		Expect(faults.SetFaults(ctx, admin.EngineFaults{Stalled: true})).To(Succeed())
		stream, err := client.Generate(ctx, generation("g1", "x [[len=2]]"))
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(500*time.Millisecond, func() { _ = faults.SetFaults(ctx, admin.EngineFaults{}) })
		Expect(drain(stream)).To(HaveLen(3))
	})

	// Guards against a caller that waits forever: decoding hangs inside the engine while its server
	// continues to send keep-alive bytes.
	It("reports an engine that is alive but makes no progress as stalled", func() {
		e, err := engine.New(engine.Options{Models: []string{"m"}, KeepAlive: 20 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		addr := serve(e.Handler()) // Run is not called, so nothing is decoded.
		client := endpoint.NewEngine(addr, endpoint.Options{ProgressTimeout: 200 * time.Millisecond})
		stream, err := client.Generate(ctx, generation("g1", "x [[len=2]]"))
		Expect(err).NotTo(HaveOccurred())
		_, err = drain(stream)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindStalled))
	})

	It("maps unknown generations, stale fences and repeated requests", func() {
		client, _ := startEngine(engine.Options{ChecksFence: true, Deduplicate: true})
		_, err := client.Resume(ctx, "none", 0)
		Expect(err).To(failure(crocusreel.OutcomeUnknown, endpoint.KindUnknownGeneration))
		Expect(client.Order(ctx, endpoint.Order{Fence: 2, Verb: "role", Role: "decode"})).To(Succeed())
		Expect(client.Order(ctx, endpoint.Order{Fence: 1, Verb: "role", Role: "mixed"})).
			To(failure(crocusreel.OutcomeNotRun, endpoint.KindStaleFence))
		first := generation("g1", "x [[len=1]]")
		first.IdempotencyKey = "k"
		stream, err := client.Generate(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		_, err = drain(stream)
		Expect(err).NotTo(HaveOccurred())
		second := generation("g2", "x [[len=1]]")
		second.IdempotencyKey = "k"
		_, err = client.Generate(ctx, second)
		Expect(err).To(failure(crocusreel.OutcomeRan, endpoint.KindRepeat))
		Expect(client.(endpoint.KeyLookup).LookupRun(ctx, "w", "k")).To(HaveField("State", endpoint.RunEnded))
		Expect(client.(endpoint.KeyLookup).LookupRun(ctx, "other", "k")).To(HaveField("State", endpoint.RunNone))
	})
})
