package client_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

var _ = Describe("Client", func() {
	var (
		ctx  context.Context
		fake *fakeGateways
		c    *client.Client
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(cancel)
		fake = newFakeGateways(2)
		DeferCleanup(fake.close)
		var err error
		c, err = client.New(client.Options{Seeds: fake.addresses()[:1], Key: "secret"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
	})

	It("caches the addresses for their TTL and uses all of them", func() {
		fake.handler = func(_ int, w http.ResponseWriter, _ *http.Request, _ string) {
			sendTokens(w, "g", 0, 3)
			sendEnd(w, 3)
		}
		gateways := map[string]bool{}
		for range 40 {
			answer, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Text).To(Equal(fullText("g", 3)))
			Expect(answer.Preemptions).To(Equal(2))
		}
		for _, r := range fake.received() {
			gateways[r.Gateway] = true
			Expect(r.Header.Get("Authorization")).To(Equal("Bearer secret"))
		}
		Expect(gateways).To(HaveLen(2))
		Expect(fake.addressRequests).To(Equal(1))
	})

	// Guards against incomplete answers when a gateway dies while it sends a stream: the connection
	// breaks without an end marker.
	It("resumes an interrupted stream at another gateway from the next token", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n == 0 {
				sendTokens(w, "g", 0, 4)
				abortConnection()
			}
			sendTokens(w, "g", 4, 9)
			sendEnd(w, 9)
		}
		answer, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(fullText("g", 9)))
		Expect(answer.Tokens).To(Equal(9))
		seen := fake.received()
		Expect(seen).To(HaveLen(2))
		Expect(seen[1].Path).To(Equal("/v1/resume"))
		Expect(seen[1].Body).To(MatchJSON(`{"handle":"handle-g","next_index":4}`))
		Expect(seen[1].Gateway).NotTo(Equal(seen[0].Gateway))
		Expect(c.Counts().Resumes).To(BeEquivalentTo(1))
	})

	// Guards against callers that wait without limit when the process of a gateway hangs: it
	// accepts the request, the connection stays open, and no response arrives.
	It("retries at another gateway if one hangs before the first token or the reply", func() {
		unblock := make(chan struct{})
		DeferCleanup(func() { close(unblock) })
		fake.handler = func(n int, w http.ResponseWriter, r *http.Request, _ string) {
			if n%2 == 0 {
				select {
				case <-unblock:
				case <-r.Context().Done():
				}
				return
			}
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, "12 beds")
				return
			}
			sendTokens(w, "g", 0, 2)
			sendEnd(w, 2)
		}
		shortTimeouts, err := client.New(client.Options{
			Seeds: fake.addresses(), Key: "secret",
			StartTimeout: 200 * time.Millisecond, CallTimeout: 200 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		answer, err := shortTimeouts.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(fullText("g", 2)))
		reply, err := shortTimeouts.Call(ctx, client.CallRequest{Path: "/beds"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(Equal("12 beds"))
		seen := fake.received()
		Expect(seen[0].Gateway).NotTo(Equal(seen[1].Gateway))
	})

	// Guards against repeated and missing tokens in an answer: a gateway sends tokens again that
	// the caller already has, and later omits some. The client has to check the token indices.
	It("drops repeated tokens and fetches the missing ones", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n == 0 {
				sendTokens(w, "g", 0, 3)
				sendTokens(w, "g", 1, 3)
				sendTokens(w, "g", 5, 6)
				sendEnd(w, 6)
				return
			}
			sendTokens(w, "g", 3, 6)
			sendEnd(w, 6)
		}
		answer, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(fullText("g", 6)))
		Expect(fake.received()[1].Body).To(MatchJSON(`{"handle":"handle-g","next_index":3}`))
	})

	// Guards against a truncated answer that is reported as complete: the last tokens are missing
	// although the stream has its end marker.
	It("does not accept an answer shorter than the length in the last chunk", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n == 0 {
				sendTokens(w, "g", 0, 3)
				sendEnd(w, 5)
				return
			}
			sendTokens(w, "g", 3, 5)
			sendEnd(w, 5)
		}
		answer, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(fullText("g", 5)))
	})

	// Guards against an answer that mixes two generations: the engine dies, its generation is lost,
	// and the tokens of a second one must not be appended to those of the first.
	It("restarts a complete answer after a lost generation, but ends a stream", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n%2 == 0 {
				sendTokens(w, "lost", 0, 4)
				sendErrorEvent(w, crocusreel.ReasonGenerationLost)
				return
			}
			sendTokens(w, "new", 0, 5)
			sendEnd(w, 5)
		}
		answer, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(fullText("new", 5)))

		stream, err := c.Generate(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		tokens, err := drain(stream)
		Expect(tokens).To(Equal(4))
		var refusal *crocusreel.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(crocusreel.ReasonGenerationLost))
	})

	// Guards against sustained overload: if the callers that a full system refuses all retry at
	// once, they keep it full.
	It("waits at least as long as the refusal asks for", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n == 0 {
				refuse(w, 503, crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, 300)
				return
			}
			sendTokens(w, "g", 0, 1)
			sendEnd(w, 1)
		}
		begin := time.Now()
		_, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically(">=", 300*time.Millisecond))
	})

	// Guards against resends by net/http itself: if a reused connection breaks after a booking was
	// sent, net/http would resend it with the same attempt number 1, and the gateway could answer
	// not_run for a booking that the first copy made.
	It("numbers every attempt of non-idempotent work under one key", func() {
		fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
			if n == 1 || n == 2 {
				abortConnection()
			}
			_, _ = io.WriteString(w, "booked")
		}
		call := client.CallRequest{Method: http.MethodPost, Path: "/beds/1", Body: []byte("{}")}
		call.NonIdempotent = true
		for range 2 {
			reply, err := c.Call(ctx, call)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(reply.Body)).To(Equal("booked"))
		}
		seen := fake.received()
		Expect(seen).To(HaveLen(4))
		for i, attempt := range []string{"1", "2", "3"} {
			r := seen[i+1]
			Expect(r.Header.Get("Crocusreel-Attempt")).To(Equal(attempt))
			Expect(r.Header.Get("Crocusreel-Idempotent")).To(Equal("false"))
			Expect(r.Header.Get("Idempotency-Key")).To(Equal(seen[1].Header.Get("Idempotency-Key")))
		}
	})

	DescribeTable("retries non-idempotent work only where that is safe",
		func(reason crocusreel.Reason, outcome crocusreel.Outcome, retryMS, attempts int) {
			fake.handler = func(n int, w http.ResponseWriter, _ *http.Request, _ string) {
				if n == 0 {
					refuse(w, 503, reason, outcome, retryMS)
					return
				}
				_, _ = io.WriteString(w, "booked")
			}
			call := client.CallRequest{Method: http.MethodPost, Path: "/beds/1"}
			call.NonIdempotent = true
			_, _ = c.Call(ctx, call)
			Expect(fake.received()).To(HaveLen(attempts))
		},
		Entry("did not run", crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, 1, 2),
		Entry("did not run and is not retryable", crocusreel.ReasonUnknownRoute, crocusreel.OutcomeNotRun, 0, 1),
		Entry("may have run", crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, 1, 1),
		Entry("is running", crocusreel.ReasonRunInProgress, crocusreel.OutcomeUnknown, 1, 2),
		Entry("ran, but its result is lost", crocusreel.ReasonRunInProgress, crocusreel.OutcomeUnknown, 0, 1),
		Entry("gateway is shutting down", crocusreel.ReasonShuttingDown, crocusreel.OutcomeNotRun, 0, 2),
	)

	It("returns a service's own error status as its reply", func() {
		fake.handler = func(_ int, w http.ResponseWriter, _ *http.Request, _ string) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"reason":"","detail":"no such bed"}`)
		}
		reply, err := c.Call(ctx, client.CallRequest{Path: "/beds/99"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusNotFound))
	})

	// Guards against retry storms: if every gateway refuses for a long time, the retries would be
	// many times the requests without a budget.
	It("limits retries by a budget", func() {
		fake.handler = func(_ int, w http.ResponseWriter, _ *http.Request, _ string) {
			refuse(w, 503, crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, 1)
		}
		smallBudget, err := client.New(client.Options{
			Seeds: fake.addresses(), Key: "secret", RetryRatio: 0.1, RetryBurst: 5,
			BaseBackoff: time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		const requests = 50
		for range requests {
			_, err := smallBudget.Call(ctx, client.CallRequest{Path: "/beds"})
			Expect(err).To(HaveOccurred())
		}
		Expect(len(fake.received())).To(BeNumerically("<=", requests+5+requests/10))
	})

	// Guards against double bookings: the connection breaks after a booking was sent, and then no
	// gateway can be reached. A caller that got not_run would book again under a new key.
	It("reports unknown if an earlier attempt may have run", func() {
		fake.handler = func(_ int, _ http.ResponseWriter, _ *http.Request, _ string) {
			go fake.close()
			abortConnection()
		}
		call := client.CallRequest{Method: http.MethodPost, Path: "/beds/1"}
		call.NonIdempotent = true
		_, err := c.Call(ctx, call)
		var lost *client.GatewayLostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Outcome).To(Equal(crocusreel.OutcomeUnknown))
	})

	It("reports not_run if no gateway can be reached", func() {
		fake.close()
		_, err := c.Complete(ctx, client.Request{Model: "m", Prompt: "p"})
		var lost *client.GatewayLostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})
})

func drain(s *client.Stream) (tokens int, err error) {
	defer s.Close()
	for {
		if _, err = s.Next(); err != nil {
			return tokens, err
		}
		tokens++
	}
}

// Guards against the beginning of a response without an end that is returned as a whole one.
var _ = It("fails a call whose response has no end", func() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	fake := newFakeGateways(1)
	DeferCleanup(fake.close)
	c, err := client.New(client.Options{Seeds: fake.addresses(), Key: "secret"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	fake.handler = func(_ int, w http.ResponseWriter, _ *http.Request, _ string) {
		for part := make([]byte, 1<<20); ; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}
	_, err = c.Call(ctx, client.CallRequest{Method: http.MethodPost, Path: "/beds/1"})
	Expect(err).To(HaveOccurred())
	var lost *client.GatewayLostError
	Expect(errors.As(err, &lost)).To(BeTrue())
	Expect(lost.Outcome).To(Equal(crocusreel.OutcomeUnknown))
})
