package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/entry"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
	"github.com/crocusreel/crocusreel/runtimes"
)

// fixture is an entry.Handler with one service for plain calls and one engine behind it.
type fixture struct {
	now         time.Duration
	config      *knowledge.ConfigurationTracker
	gate        *drain.Gate
	app, engine *worker.Worker
	url         string
	logs        *observer.ObservedLogs
	// usage and hint are the header values in which callers state token counts and the expected
	// length.
	usage, hint string
}

func newFixture() *fixture {
	GinkgoHelper()
	s := &fixture{now: time.Hour, gate: drain.NewGate(), usage: "100,2000"}
	s.config = knowledge.NewConfigurationTracker(func() time.Duration { return s.now })
	client := h1.NewClient()
	endpoints := fleet.New("dc1", boottime.Now)
	app, err := worker.Start(worker.Options{ID: "i1"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(app.Stop)
	s.app = app
	engine, err := worker.Start(worker.Options{ID: "e1", Events: 40, EventInterval: 10 * time.Millisecond, KVStore: worker.NewKVStore()})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(engine.Stop)
	s.engine = engine
	endpoints.Update(fleet.Instance{ID: "i1", Service: "app", Address: app.Address(), DataCentre: "dc1", Slots: 6})
	endpoints.Update(fleet.Instance{ID: "e1", Service: "pool", Address: engine.Address(), DataCentre: "dc1", Slots: 24})
	core, logs := observer.New(zap.InfoLevel)
	s.logs = logs
	h := &entry.Handler{
		Config:     s.config,
		Gate:       s.gate,
		BodyMemory: entry.NewBodyMemory(1500),
		Log:        zap.New(core),
		Freshness: entry.FreshnessLimits{
			MaxKeyAge:    4600 * time.Millisecond,
			MaxDenialAge: 1800 * time.Millisecond,
		},
		Relay: &relay.Relay{
			Fleet: endpoints, Client: client, Protocol: platform.Protocol{}, Mover: platform.NewEngineClient(client), Log: zap.NewNop(),
			Budgets: retry.NewLocal(0.2, 50, 10*time.Second, boottime.Now),
			Strikes: relay.NewStrikes(boottime.Now), Quarantine: quarantine.New(boottime.Now),
			Vacated:  relay.NewVacatedRuns(func() time.Duration { return time.Duration(time.Now().UnixNano()) }),
			Runtimes: runtimes.NewTracker(boottime.Now),
		},
	}
	h.Relay.Admit = h.Recheck
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	s.url = server.URL
	return s
}

// configure applies a configuration that was confirmed just now.
func (s *fixture) configure() {
	s.config.Apply(knowledge.Snapshot{Revision: platform.Revision{Version: 1}, Table: routing.NewTable(&routing.Configuration{
		Version: 1,
		Routes: []routing.Route{
			{Name: "calls", Host: "a.example", Prefix: "/calls/", Timeout: 2 * time.Second, MaxAttempts: 1, Backends: []routing.Backend{{Service: "app", Weight: 1}}},
			{Name: "open", Host: "a.example", Prefix: "/open/", Timeout: 2 * time.Second, Public: true, MaxAttempts: 1, Backends: []routing.Backend{{Service: "app", Weight: 1}}},
			{Name: "untimed", Host: "a.example", Prefix: "/untimed/", MaxAttempts: 1, Backends: []routing.Backend{{Service: "app", Weight: 1}}},
			{Name: "drafts", Host: "a.example", Prefix: "/drafts/", Kind: routing.Streaming, Timeout: 9 * time.Second, MaxAttempts: 1, Backends: []routing.Backend{{Service: "pool", Weight: 1}}},
		},
		Services: map[string]*routing.Service{
			"app":  {Name: "app"},
			"pool": {Name: "pool", Engine: &routing.EngineSpec{Slots: 24, CacheTokens: 30_000, TokensPerEvent: 4}},
		},
		Limits:    routing.Limits{MaxBodyBytes: 1000},
		Keys:      map[string]*routing.Workspace{"key": {Name: "ws"}},
		NeedsKeys: true,
	}), Confirmation: knowledge.Confirmation{ConfirmedAt: s.now, AnsweredAt: s.now}})
}

// leave makes the node leave: it stops after the given time, and answers that name it are valid until then.
func (s *fixture) leave(after time.Duration) {
	now := time.Now()
	s.gate.Leave(drain.Schedule{LeavesAt: now, AddressesExpire: now.Add(after), StopsAt: now.Add(after)})
}

// observe sends requests until it is known how long they take.
func (s *fixture) observe(path string) {
	GinkgoHelper()
	for range 5 {
		Expect(s.send(path, "key", "").status).To(Equal(http.StatusOK))
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *fixture) send(path, key, body string) reply {
	GinkgoHelper()
	return s.sendWithID("request-1", path, key, body)
}

func (s *fixture) sendWithID(id, path, key, body string) reply {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, s.url+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	if id != "" {
		req.Header.Set("Crocusreel-Attempt-Id", id)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if !strings.HasPrefix(path, "/untimed/") {
		req.Header.Set("Crocusreel-Deadline-Ms", "5000")
	}
	req.Header.Set("Crocusreel-Token-Usage", s.usage)
	if s.hint != "" {
		req.Header.Set("Crocusreel-Length-Hint", s.hint)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

var _ = Describe("the entry for callers", func() {
	It("serves a caller with a known key and hides the key from the endpoint", func() {
		s := newFixture()
		s.configure()
		r := s.send("/calls/1?x=1", "key", "body")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(Equal("answer to request-1"))
		run := s.app.Runs()[0]
		Expect(run.Target).To(Equal("/calls/1?x=1"))
		Expect(run.Header.Get("Crocusreel-Tenant")).To(Equal("ws"))
		Expect(run.Header).NotTo(HaveKey("Authorization"))
	})

	// Guards against losses of one workspace that no log line attributes to it.
	It("logs the workspace of a request", func() {
		s := newFixture()
		s.configure()
		Expect(s.send("/calls/1", "key", "body").status).To(Equal(http.StatusOK))
		Eventually(func() int { return s.logs.FilterMessage("request ended").Len() }).Should(Equal(1))
		Expect(s.logs.FilterMessage("request ended").All()[0].ContextMap()).To(HaveKeyWithValue("workspace", "ws"))
	})

	DescribeTable("refuses invalid requests with the matching status and does not run them",
		func(id, path, key, body string, status int) {
			s := newFixture()
			s.configure()
			r := s.sendWithID(id, path, key, body)
			Expect(r.status).To(Equal(status))
			Expect(r.body).To(ContainSubstring(`"outcome":"not_run"`))
			Expect(s.app.Runs()).To(BeEmpty())
		},
		Entry("no ID", "", "/calls/1", "key", "", http.StatusBadRequest),
		Entry("no route", "r", "/none/1", "key", "", http.StatusNotFound),
		Entry("no key", "r", "/calls/1", "", "", http.StatusUnauthorized),
		Entry("unknown key", "r", "/calls/1", "other", "", http.StatusUnauthorized),
		Entry("body over the limit", "r", "/calls/1", "key", string(make([]byte, 1001)), http.StatusRequestEntityTooLarge),
	)

	// Guards against running out of memory when callers send many large bodies at once. Bodies over
	// the bound are refused with a retry delay, and the memory is returned when a request ends.
	It("bounds the memory of all request bodies together", func() {
		s := newFixture()
		s.configure()
		large := string(make([]byte, 900))
		first := make(chan reply)
		go func() { first <- s.sendWithID("long", "/drafts/1", "key", large) }()
		Eventually(s.gate.InFlight).Should(Equal(1))
		time.Sleep(50 * time.Millisecond)
		full := s.send("/calls/1", "key", large)
		Expect(full.status).To(Equal(http.StatusServiceUnavailable))
		Expect(full.body).To(ContainSubstring("queue_full"))
		Expect((<-first).status).To(Equal(http.StatusOK))
		for range 5 {
			Expect(s.send("/calls/1", "key", large).status).To(Equal(http.StatusOK))
		}
	})

	// Guards against answering 404 or 401 on a node that has just started and has no configuration
	// yet: callers would give up for good.
	It("asks callers to retry while it has no configuration", func() {
		s := newFixture()
		r := s.send("/calls/1", "key", "")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get("Retry-After")).To(Equal("0.2"))
	})

	// Guards against serving a key that was revoked while the node was disconnected from the store
	// or its machine was suspended. Past the limit the node must not serve any key, but must not
	// report one as unknown either.
	It("serves no key that was not confirmed recently and does not reject it as unknown", func() {
		s := newFixture()
		s.configure()
		s.now += 4500 * time.Millisecond
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusOK))
		s.now += 200 * time.Millisecond
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send("/calls/1", "other", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send("/none/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send("/open/1", "", "").status).To(Equal(http.StatusOK))
		Expect(s.app.Runs()).To(HaveLen(2))
	})

	// Guards against final refusals for a route that was added after the store last answered this
	// node: its callers must retry instead of giving up.
	It("does not reject a route as unknown while the store does not answer", func() {
		s := newFixture()
		s.configure()
		s.now += 1900 * time.Millisecond
		Expect(s.send("/none/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusOK))
	})

	// Guards against calls that fail at once because neither the caller nor the route sets a timeout.
	It("serves a call without a timeout, also while it is leaving", func() {
		s := newFixture()
		s.configure()
		s.observe("/untimed/1")
		s.leave(3 * time.Second)
		Expect(s.send("/untimed/1", "key", "").status).To(Equal(http.StatusOK))
		s.leave(0)
		late := s.send("/untimed/1", "key", "")
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.body).To(ContainSubstring("not_run"))
	})

	// Guards against cutting streams when a node stops: one that cannot end in time is refused at
	// once, so that its caller uses another node. Calls are still served.
	It("refuses long streams while it is leaving and serves calls", func() {
		s := newFixture()
		s.configure()
		s.observe("/drafts/1")
		s.leave(3 * time.Second)
		draft := s.send("/drafts/1", "key", "")
		Expect(draft.status).To(Equal(http.StatusServiceUnavailable))
		Expect(draft.body).To(ContainSubstring("shutting_down"))
		call := s.send("/calls/1", "key", "")
		Expect(call.status).To(Equal(http.StatusOK))
	})

	// Guards against cutting a stream that takes far longer than its caller estimated, such as
	// twenty seconds instead of two. Only the maximum length allowed shows whether it can end in
	// time.
	It("ignores the caller's length estimate while it is leaving", func() {
		s := newFixture()
		s.configure()
		s.hint = "40"
		s.observe("/drafts/1")
		s.leave(3 * time.Second)
		Expect(s.send("/drafts/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		s.usage = "100,48"
		Expect(s.send("/drafts/1", "key", "").status).To(Equal(http.StatusOK))
	})

	// Guards against requests that are cut off by a node which has seen too few runs to bound them.
	It("refuses requests of unknown length while it is leaving", func() {
		s := newFixture()
		s.configure()
		s.usage = "100,48"
		s.leave(3 * time.Second)
		for _, path := range []string{"/untimed/1", "/drafts/1"} {
			refused := s.send(path, "key", "")
			Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.body).To(And(ContainSubstring("shutting_down"), ContainSubstring("not_run")))
		}
		Expect(s.logs.FilterMessage("request refused").FilterField(zap.Bool("longest_run_known", false)).Len()).To(Equal(2))
		Expect(s.engine.Runs()).To(BeEmpty())
	})

	// Guards against starting a request that arrives on an open connection while the process exits.
	It("starts no request once it is closed", func() {
		s := newFixture()
		s.configure()
		_, r := s.gate.Admit(context.Background())
		Expect(r).NotTo(BeNil())
		Expect(s.gate.CloseIfIdle()).To(BeFalse())
		r.End()
		Expect(s.gate.CloseIfIdle()).To(BeTrue())
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.app.Runs()).To(BeEmpty())
	})

	It("forwards a stream unchanged", func() {
		s := newFixture()
		s.configure()
		r := s.send("/drafts/1", "key", "")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(HavePrefix("id: 1\ndata: token 1 of request-1\n\nid: 2\n"))
		Expect(r.body).To(HaveSuffix("id: 40\ndata: token 40 of request-1\n\n"))
		Expect(r.header.Get("Crocusreel-Response-Seal")).To(Equal(worker.Seal("e1", "request-1")))
	})

	// Guards against requests that stay in flight after the caller disconnects in the middle of the
	// stream.
	It("ends requests whose callers have disconnected", func() {
		s := newFixture()
		s.configure()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/drafts/1", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "a.example"
		req.Header.Set("Crocusreel-Attempt-Id", "r")
		req.Header.Set("Authorization", "Bearer key")
		req.Header.Set("Crocusreel-Token-Usage", "100,160")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		Eventually(s.gate.InFlight, time.Second).Should(BeZero())
	})
})
