package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// Parameters of the test that a limited endpoint gets at most 1.5 times its limit, plus 5 requests,
// within limitWindow, once limitLearnTime has passed.
const (
	limitPerSecond = 3.0
	limitWindow    = 4 * time.Second
	limitLearnTime = 500 * time.Millisecond
	limitAllowed   = int(1.5*limitPerSecond*4) + 5
)

// noticeService is a plain service that sets the given status and headers on its answers.
type noticeService struct {
	*httptest.Server
	mu       sync.Mutex
	status   int
	headers  map[string]string
	arrivals []time.Time
}

func newNoticeService(t *testing.T, status int, headers map[string]string) *noticeService {
	s := &noticeService{status: status, headers: headers}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.URL.Path != endpoint.PathHealth {
			s.arrivals = append(s.arrivals, time.Now())
		}
		for name, value := range s.headers {
			w.Header().Set(name, value)
		}
		w.WriteHeader(s.status)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *noticeService) address() string { return strings.TrimPrefix(s.URL, "http://") }

// setAnswer replaces the status and the headers of all further answers.
func (s *noticeService) setAnswer(status int, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.headers = status, map[string]string{name: value}
}

func (s *noticeService) arrivalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// maxArrivals returns the largest number of arrivals after the given time within one window.
func (s *noticeService) maxArrivals(after time.Time, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []time.Time
	for _, at := range s.arrivals {
		if at.After(after) {
			late = append(late, at)
		}
	}
	most, from := 0, 0
	for to := range late {
		for late[to].Sub(late[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// newGatewaysTo returns the given number of gateways with a route to the services.
func newGatewaysTo(t *testing.T, count int, services ...*noticeService) []*testGateway {
	var members []*peerv1.Member
	for i := range count {
		members = append(members, &peerv1.Member{Id: fmt.Sprint("vm", i), GatewayAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	var all []*testGateway
	for i := range count {
		tg := newTestGateway(t, nil)
		tg.endpoints = newEndpoints(newNotices(fmt.Sprint("vm", i), time.Now, zap.NewNop()))
		cfg := *tg.state.Load().config
		cfg.Limits.RetryRatio = 1
		route := config.RouteSpec{Prefix: "/beds", TimeoutMS: 60_000, NonIdempotentMethods: []string{http.MethodPost}}
		for n, s := range services {
			name := fmt.Sprint("s", n)
			cfg.Endpoints = append(cfg.Endpoints, config.EndpointSpec{Name: name, Kind: config.KindService, Address: s.address()})
			route.Endpoints = append(route.Endpoints, name)
		}
		cfg.Routes = []config.RouteSpec{route}
		tg.state.Store(newSnapshot(2, &cfg, members))
		all = append(all, tg)
	}
	return all
}

// callRepeatedly calls through all gateways for the given time and returns the refusals.
func callRepeatedly(gateways []*testGateway, length time.Duration) []*crocusreel.Refusal {
	var mu sync.Mutex
	var refusals []*crocusreel.Refusal
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for _, tg := range gateways {
		for range 4 {
			callers.Go(func() {
				for time.Now().Before(end) {
					if _, refusal := tg.call(http.MethodGet, ""); refusal != nil {
						mu.Lock()
						refusals = append(refusals, refusal)
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return refusals
}

// Guards against gateways that together exceed the request limit of a service, by first attempts,
// retries and hedged calls.
func TestServiceLimitIsNotExceeded(t *testing.T) {
	for _, c := range []struct {
		name        string
		otherStatus int
	}{{"other service healthy", http.StatusOK}, {"other service refuses all calls", http.StatusServiceUnavailable}} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			limited := newNoticeService(t, http.StatusOK, map[string]string{endpoint.HeaderRequestLimit: fmt.Sprint(limitPerSecond)})
			other := newNoticeService(t, c.otherStatus, map[string]string{endpoint.HeaderOutcome: refusedOutcome(c.otherStatus)})
			began := time.Now()
			refusals := callRepeatedly(newGatewaysTo(t, 3, limited, other), limitLearnTime+limitWindow+time.Second)
			g.Expect(limited.maxArrivals(began.Add(limitLearnTime), limitWindow)).To(gomega.BeNumerically("<=", limitAllowed))
			if c.otherStatus == http.StatusOK {
				g.Expect(refusals).To(gomega.BeEmpty())
			}
		})
	}
}

func refusedOutcome(status int) string {
	if status == http.StatusOK {
		return ""
	}
	return string(crocusreel.OutcomeNotRun)
}

// Guards against calls that wait although the only service has reached its limit.
func TestCallBeyondTheOnlyServicesLimitIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	limited := newNoticeService(t, http.StatusOK, map[string]string{endpoint.HeaderRequestLimit: "0.5"})
	tg := newGatewaysTo(t, 3, limited)[0]
	_, refusal := tg.call(http.MethodGet, "")
	g.Expect(refusal).To(gomega.BeNil())
	began := time.Now()
	refused := 0
	for range 20 {
		if _, refusal = tg.call(http.MethodGet, ""); refusal != nil {
			refused++
			g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonEndpointLimit))
			g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeNotRun))
			g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
	}
	g.Expect(refused).To(gomega.BeNumerically(">=", 18))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
}

// Guards against calls to a service that has announced in an answer that it is about to stop, and
// against excluding its address for good when another service starts there.
func TestLeavingServiceGetsNoCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	leaving := newNoticeService(t, http.StatusOK, map[string]string{endpoint.HeaderLeaving: "1"})
	other := newNoticeService(t, http.StatusOK, nil)
	tg := newGatewaysTo(t, 1, leaving, other)[0]
	for range 40 {
		_, refusal := tg.call(http.MethodGet, "")
		g.Expect(refusal).To(gomega.BeNil())
	}
	g.Expect(leaving.arrivalCount()).To(gomega.BeNumerically("<=", 1))
	leaving.setAnswer(http.StatusOK, endpoint.HeaderLeaving, "")
	g.Eventually(func() int {
		_, _ = tg.call(http.MethodGet, "")
		return leaving.arrivalCount()
	}, 3*leavingRecheckInterval, 10*time.Millisecond).Should(gomega.BeNumerically(">", 1))
}

// Guards against calls, first attempts as well as retries, to a service that has refused one and
// asked this gateway for a pause.
func TestPausedServiceGetsNoCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	const pause = 2 * time.Second
	paused := newNoticeService(t, http.StatusServiceUnavailable,
		map[string]string{"Retry-After": "2", endpoint.HeaderOutcome: string(crocusreel.OutcomeNotRun)})
	other := newNoticeService(t, http.StatusOK, nil)
	tg := newGatewaysTo(t, 1, paused, other)[0]
	for paused.arrivalCount() == 0 {
		_, _ = tg.call(http.MethodGet, "")
	}
	before := paused.arrivalCount()
	end := time.Now().Add(pause - 200*time.Millisecond)
	for time.Now().Before(end) {
		_, refusal := tg.call(http.MethodGet, "")
		g.Expect(refusal).To(gomega.BeNil())
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(paused.arrivalCount()).To(gomega.Equal(before))
	time.Sleep(400 * time.Millisecond)
	g.Eventually(func() int {
		_, _ = tg.call(http.MethodGet, "")
		return paused.arrivalCount()
	}).Should(gomega.BeNumerically(">", before))
}

// Guards against refusals without a retry delay while the only service has asked for a pause.
func TestCallWithinTheOnlyServicesPauseIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	paused := newNoticeService(t, http.StatusServiceUnavailable,
		map[string]string{"Retry-After": "2", endpoint.HeaderOutcome: string(crocusreel.OutcomeNotRun)})
	tg := newGatewaysTo(t, 1, paused)[0]
	_, _ = tg.call(http.MethodGet, "")
	began := time.Now()
	_, refusal := tg.call(http.MethodGet, "")
	g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonEndpointLimit))
	g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeNotRun))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("~", 2*time.Second, 200*time.Millisecond))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(paused.arrivalCount()).To(gomega.Equal(1))
}

// Guards against sending generations to an engine that has asked this gateway for a pause.
func TestPausedEngineGetsNoGenerations(t *testing.T) {
	g := gomega.NewWithT(t)
	paused, other := &fakeEngine{length: 3}, &fakeEngine{length: 3}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": paused, "e2": other}, "e1", "e2")
	tg.endpoints.notices.record("e1", notice.Notice{Pause: time.Minute})
	g.Expect(tg.Generate(context.Background(), tg.generation(""), &fakeSink{})).To(gomega.BeNil())
	g.Expect(paused.starts).To(gomega.BeEmpty())
	g.Expect(other.starts).To(gomega.HaveLen(1))
}
