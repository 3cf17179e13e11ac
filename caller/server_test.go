package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
)

const testKey = "caller-key"

// fakeCore is a Core that answers each generation with two tokens, or refuses it.
type fakeCore struct {
	refusal *crocusreel.Refusal
	// refuseAfter is the number of tokens that are sent before the refusal.
	refuseAfter int
	generations []Generation
}

func (f *fakeCore) Ready() *crocusreel.Refusal { return nil }

func (f *fakeCore) Workspace(digest string) (*config.WorkspaceSpec, bool) {
	sum := sha256.Sum256([]byte(testKey))
	return &config.WorkspaceSpec{Name: "w"}, digest == hex.EncodeToString(sum[:])
}

func (f *fakeCore) Models(*config.WorkspaceSpec) []string { return []string{"m"} }

func (f *fakeCore) Addresses() ([]string, time.Duration) { return []string{"127.0.0.1:1"}, time.Second }

func (f *fakeCore) AcquireSlot(*config.WorkspaceSpec) (func(), *crocusreel.Refusal) {
	return func() {}, nil
}

func (f *fakeCore) Generate(_ context.Context, g Generation, sink Sink) *crocusreel.Refusal {
	f.generations = append(f.generations, g)
	texts := []string{"a ", "b "}
	if f.refusal != nil {
		texts = texts[:f.refuseAfter]
	}
	if len(texts) > 0 {
		_ = sink.Begin(Begin{Model: "m", Handle: "h", Endpoint: "e"})
	}
	for i, t := range texts {
		_ = sink.Token(i, t)
	}
	if f.refusal != nil {
		return f.refusal
	}
	_ = sink.Finish(Finish{Reason: "stop", Tokens: len(texts)})
	return nil
}

func (f *fakeCore) Resume(context.Context, Resume, Sink) *crocusreel.Refusal { return f.refusal }

func (f *fakeCore) Call(context.Context, ServiceCall) (endpoint.Reply, *crocusreel.Refusal) {
	return endpoint.Reply{Status: http.StatusOK}, f.refusal
}

func (f *fakeCore) Record(string, string) (any, bool) { return nil, false }

func post(core Core, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	NewHandler(core, Options{VM: "vm", MaxBodyBytes: 1000, Log: zap.NewNop()}).ServeHTTP(w, r)
	return w
}

// An invalid request must be refused with a reason and the outcome not_run, and must not reach the
// core.
func TestBadRequestsAreRefusedBeforeTheCore(t *testing.T) {
	const good = `{"model":"m","prompt":"p"}`
	cases := map[string]struct {
		body    string
		headers []string
		status  int
		reason  crocusreel.Reason
	}{
		"wrong key":             {good, []string{"Authorization", "Bearer other"}, 401, crocusreel.ReasonUnauthorized},
		"no key":                {good, []string{"Authorization", ""}, 401, crocusreel.ReasonUnauthorized},
		"not JSON":              {`{`, nil, 400, crocusreel.ReasonBadRequest},
		"no model":              {`{"prompt":"p"}`, nil, 400, crocusreel.ReasonBadRequest},
		"too large":             {`{"model":"m","prompt":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, crocusreel.ReasonTooLarge},
		"no idempotency key":    {good, []string{api.HeaderIdempotent, "false"}, 400, crocusreel.ReasonKeyRequired},
		"bad idempotent":        {good, []string{api.HeaderIdempotent, "no"}, 400, crocusreel.ReasonBadRequest},
		"priority out of range": {good, []string{api.HeaderPriority, "11"}, 400, crocusreel.ReasonBadRequest},
		"bad class":             {good, []string{api.HeaderClass, "lookup"}, 400, crocusreel.ReasonBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			core := &fakeCore{}
			w := post(core, "/v1/completions", c.body, c.headers...)
			var body api.ErrorBody
			g.Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(gomega.Succeed())
			g.Expect(w.Code).To(gomega.Equal(c.status))
			g.Expect(body.Reason).To(gomega.Equal(c.reason))
			g.Expect(body.Outcome).To(gomega.Equal(crocusreel.OutcomeNotRun))
			g.Expect(core.generations).To(gomega.BeEmpty())
		})
	}
}

// A refusal due to overload must carry a retry time. Without one, callers retry immediately and add
// to the overload. Retry-After is rounded up to whole seconds.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	core := &fakeCore{refusal: crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, 1200*time.Millisecond, "full")}
	w := post(core, "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("2"))
	g.Expect(w.Header().Get(api.HeaderRetryAfterMS)).To(gomega.Equal("1200"))
}

// A gateway that refuses a second attempt with an idempotency key must not report not_run, since the
// first attempt may have run. The caller would repeat the work under a new key, and it would run
// twice. Only a declared first attempt gets not_run.
func TestNotRunOnlyForFirstAttemptWithKey(t *testing.T) {
	for attempt, outcome := range map[string]crocusreel.Outcome{
		"1": crocusreel.OutcomeNotRun,
		"2": crocusreel.OutcomeUnknown,
		"":  crocusreel.OutcomeUnknown,
	} {
		g := gomega.NewWithT(t)
		core := &fakeCore{refusal: crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, time.Second, "full")}
		w := post(core, "/v1/completions", `{"model":"m","prompt":"p"}`, api.HeaderIdempotencyKey, "k", api.HeaderAttempt, attempt)
		var body api.ErrorBody
		g.Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(gomega.Succeed())
		g.Expect(body.Outcome).To(gomega.Equal(outcome), "attempt %q", attempt)
	}
}

// A generation that is lost after its first token must end its stream with an error event. A stream
// that merely stopped would look complete to a caller that ignores the missing [DONE] marker.
func TestLostStreamEndsInATypedError(t *testing.T) {
	g := gomega.NewWithT(t)
	core := &fakeCore{refuseAfter: 1, refusal: crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, time.Second, "lost")}
	w := post(core, "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true}`)
	g.Expect(w.Body.String()).To(gomega.ContainSubstring("event: error\ndata: {"))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"reason":"generation_lost","outcome":"ran"`))
	g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("[DONE]"))
}

// Arbitrary bodies and priority headers must yield status 200, 400 or 413, and must not crash the
// process.
func FuzzCompletions(f *testing.F) {
	f.Add(`{"model":"m:a","prompt":"p","max_tokens":-1}`, "5")
	f.Add(`{"model":"m","prompt":["p"]}`, "-99999999999999999999")
	f.Add(`[]`, "")
	f.Fuzz(func(t *testing.T, body, priority string) {
		w := post(&fakeCore{}, "/v1/completions", body, api.HeaderPriority, priority)
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest && w.Code != http.StatusRequestEntityTooLarge {
			t.Fatalf("status %d for %q", w.Code, body)
		}
	})
}

// A caller streams an answer, pauses, and reuses the connection. The write deadline left over from
// the stream must not break the next response, since that request's work would run and its answer be
// lost.
func TestConnectionOutlivesAStreamsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	const timeout = 100 * time.Millisecond
	srv := httptest.NewServer(NewHandler(&fakeCore{}, Options{MaxBodyBytes: 1000, WriteTimeout: timeout, Log: zap.NewNop()}))
	defer srv.Close()
	for _, body := range []string{`{"model":"m","prompt":"p","stream":true}`, `{"model":"m","prompt":"p"}`} {
		r, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/completions", strings.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.GetBody = nil
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := srv.Client().Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
		time.Sleep(2 * timeout)
	}
}

// A caller requests a large response and never reads it. The write must time out; otherwise each such
// caller holds a goroutine, a concurrency slot and the response's memory indefinitely.
func TestWriteToStalledReaderTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	done := make(chan struct{})
	core := &largeReplyCore{size: 64 << 20}
	handler := NewHandler(core, Options{MaxBodyBytes: 1000, WriteTimeout: 100 * time.Millisecond, Log: zap.NewNop()})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		handler.ServeHTTP(w, r)
	}))
	defer srv.CloseClientConnections()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /services/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(done, "20s").Should(gomega.BeClosed())
}

// largeReplyCore is a Core that answers service calls with a body of size bytes.
type largeReplyCore struct {
	fakeCore
	size int
}

func (b *largeReplyCore) Call(context.Context, ServiceCall) (endpoint.Reply, *crocusreel.Refusal) {
	return endpoint.Reply{Status: http.StatusOK, Body: make([]byte, b.size)}, nil
}
