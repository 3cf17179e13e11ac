package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/entry"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
)

// site is an entry with one plain service and one engine behind it.
type site struct {
	now    time.Duration
	config *knowledge.ConfigurationTracker
	gate   *entry.Gate
	app    *worker.Worker
	url    string
	// usage and hint are the sizes that callers state.
	usage, hint string
}

func newSite() *site {
	GinkgoHelper()
	s := &site{now: time.Hour, gate: entry.NewGate(), usage: "100,2000"}
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
	endpoints.Update(fleet.Instance{ID: "i1", Service: "app", Address: app.Address(), DataCentre: "dc1", Slots: 6})
	endpoints.Update(fleet.Instance{ID: "e1", Service: "pool", Address: engine.Address(), DataCentre: "dc1", Slots: 24})
	h := &entry.Handler{
		Config: s.config,
		Gate:   s.gate,
		Bodies: entry.NewBodies(1500),
		Log:    zap.NewNop(),
		Freshness: entry.Freshness{
			Keys:    4600 * time.Millisecond,
			Denials: 1800 * time.Millisecond,
		},
		Relay: &relay.Relay{
			Fleet: endpoints, Client: client, Protocol: platform.Wire{}, Mover: platform.NewEngines(client), Log: zap.NewNop(),
			Budgets: &retry.Windows{Ratio: 0.2, Slack: 50, Length: 10 * time.Second, Now: boottime.Now, Nodes: func() int { return 1 }},
			Strikes: relay.NewStrikes(boottime.Now),
			Vacated: relay.NewVacatedRuns(func() time.Duration { return time.Duration(time.Now().UnixNano()) }),
		},
	}
	h.Relay.Admit = h.Recheck
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	s.url = server.URL
	return s
}

// configure puts a configuration in force that was confirmed just now.
func (s *site) configure() {
	s.config.Apply(routing.NewTable(&routing.Configuration{
		Version: 1,
		Routes: []routing.Route{
			{Name: "calls", Host: "a.example", Prefix: "/calls/", Timeout: 2 * time.Second, MaxAttempts: 1, Backends: []routing.Backend{{Service: "app", Weight: 1}}},
			{Name: "open", Host: "a.example", Prefix: "/open/", Timeout: 2 * time.Second, Public: true, MaxAttempts: 1, Backends: []routing.Backend{{Service: "app", Weight: 1}}},
			{Name: "drafts", Host: "a.example", Prefix: "/drafts/", Kind: routing.Streaming, Timeout: 9 * time.Second, MaxAttempts: 1, Backends: []routing.Backend{{Service: "pool", Weight: 1}}},
		},
		Services: map[string]*routing.Service{
			"app":  {Name: "app"},
			"pool": {Name: "pool", Engine: &routing.EngineSpec{Slots: 24, CacheTokens: 30_000, TokensPerEvent: 4}},
		},
		Limits:    routing.Limits{MaxBodyBytes: 1000},
		Keys:      map[string]*routing.Workspace{"key": {Name: "ws"}},
		NeedsKeys: true,
	}), 1, nil, knowledge.Confirmation{ConfirmedAt: s.now, AnsweredAt: s.now})
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *site) send(path, key, body string) reply {
	GinkgoHelper()
	return s.sendAs("request-1", path, key, body)
}

func (s *site) sendAs(id, path, key, body string) reply {
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
	req.Header.Set("Crocusreel-Deadline-Ms", "5000")
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
		s := newSite()
		s.configure()
		r := s.send("/calls/1?x=1", "key", "body")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(Equal("answer to request-1"))
		run := s.app.Runs()[0]
		Expect(run.Target).To(Equal("/calls/1?x=1"))
		Expect(run.Header.Get("Crocusreel-Tenant")).To(Equal("ws"))
		Expect(run.Header).NotTo(HaveKey("Authorization"))
	})

	DescribeTable("refuses what is wrong with a status of its own, unrun",
		func(id, path, key, body string, status int) {
			s := newSite()
			s.configure()
			r := s.sendAs(id, path, key, body)
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

	// Callers send many large bodies at once. Those for which there is no memory are asked
	// to come back; what is read is given back when a request ends.
	It("bounds the memory of all bodies together", func() {
		s := newSite()
		s.configure()
		large := string(make([]byte, 900))
		first := make(chan reply)
		go func() { first <- s.sendAs("long", "/drafts/1", "key", large) }()
		Eventually(s.gate.Inside).Should(Equal(1))
		time.Sleep(50 * time.Millisecond)
		full := s.send("/calls/1", "key", large)
		Expect(full.status).To(Equal(http.StatusServiceUnavailable))
		Expect(full.body).To(ContainSubstring("queue_full"))
		Expect((<-first).status).To(Equal(http.StatusOK))
		for range 5 {
			Expect(s.send("/calls/1", "key", large).status).To(Equal(http.StatusOK))
		}
	})

	// A node that has just started knows no configuration. 404 or 401 would make callers
	// give up for good.
	It("asks callers to come back while it knows no configuration", func() {
		s := newSite()
		r := s.send("/calls/1", "key", "")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get("Retry-After")).To(Equal("0.2"))
	})

	// A node is cut off from the store, or its machine was suspended, and a key is taken
	// away meanwhile. Past the limit the node must not serve any key; it does not know
	// that one is wrong, so it may not say so either.
	It("serves no key that was not confirmed lately, and does not call it unknown", func() {
		s := newSite()
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

	// A route was added, and this node has not heard from the store since. Callers of the
	// new route come back in place of giving up.
	It("does not deny a route while the store is silent", func() {
		s := newSite()
		s.configure()
		s.now += 1900 * time.Millisecond
		Expect(s.send("/none/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusOK))
	})

	// A node is told to stop. A stream that cannot end in time would be cut; its caller
	// is sent elsewhere at once. Calls go on to be served, and callers told to leave.
	It("refuses long streams while it is leaving, and serves calls", func() {
		s := newSite()
		s.configure()
		s.gate.Leave(time.Now().Add(3 * time.Second))
		draft := s.send("/drafts/1", "key", "")
		Expect(draft.status).To(Equal(http.StatusServiceUnavailable))
		Expect(draft.body).To(ContainSubstring("shutting_down"))
		call := s.send("/calls/1", "key", "")
		Expect(call.status).To(Equal(http.StatusOK))
	})

	// Callers' estimates are often far too low: a draft that was expected to take two
	// seconds takes twenty, and is cut when the node stops. Only the longest answer that
	// is allowed says whether it can end in time.
	It("does not trust a caller's estimate while it is leaving", func() {
		s := newSite()
		s.configure()
		s.hint = "40"
		s.gate.Leave(time.Now().Add(3 * time.Second))
		Expect(s.send("/drafts/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		s.usage = "100,48"
		Expect(s.send("/drafts/1", "key", "").status).To(Equal(http.StatusOK))
	})

	// A process ends between two requests of one connection. A request that comes in that
	// moment must not be begun.
	It("begins nothing once it is closed", func() {
		s := newSite()
		s.configure()
		Expect(s.gate.Enter()).To(BeTrue())
		Expect(s.gate.Close()).To(BeFalse())
		s.gate.Exit()
		Expect(s.gate.Close()).To(BeTrue())
		Expect(s.send("/calls/1", "key", "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.app.Runs()).To(BeEmpty())
	})

	It("forwards a stream as it comes and unchanged", func() {
		s := newSite()
		s.configure()
		r := s.send("/drafts/1", "key", "")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(HavePrefix("id: 1\ndata: token 1 of request-1\n\nid: 2\n"))
		Expect(r.body).To(HaveSuffix("id: 40\ndata: token 40 of request-1\n\n"))
		Expect(r.header.Get("Crocusreel-Response-Seal")).To(Equal(worker.Seal("e1", "request-1")))
	})

	// A caller leaves in the middle of its stream.
	It("ends requests whose callers are gone", func() {
		s := newSite()
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
		Eventually(s.gate.Inside, time.Second).Should(BeZero())
	})
})
