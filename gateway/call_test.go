package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
)

// fakeService replies, blocks until its caller gives up, or breaks the connection.
type fakeService struct {
	calls  atomic.Int64
	frozen bool
	breaks bool
}

func (s *fakeService) Do(ctx context.Context, _ endpoint.Call) (endpoint.Reply, error) {
	s.calls.Add(1)
	if s.frozen {
		<-ctx.Done()
		return endpoint.Reply{}, &endpoint.Error{Kind: endpoint.KindStalled, Outcome: crocusreel.OutcomeUnknown, Cause: ctx.Err()}
	}
	if s.breaks {
		return endpoint.Reply{}, &endpoint.Error{Kind: endpoint.KindLost, Outcome: crocusreel.OutcomeUnknown, Cause: io.ErrUnexpectedEOF}
	}
	return endpoint.Reply{Status: http.StatusOK}, nil
}

// Ready fails once a call has broken the service, as a crashed service does not answer.
func (s *fakeService) Ready(context.Context) error {
	if s.breaks && s.calls.Load() > 0 {
		return &endpoint.Error{Outcome: crocusreel.OutcomeNotRun, Kind: endpoint.KindUnreachable}
	}
	return nil
}

// withServices adds one route to the services.
func (g *testGateway) withServices(services map[string]*fakeService) {
	cfg := *g.state.Load().config
	cfg.Limits.Strikes = 3
	route := config.RouteSpec{Prefix: "/beds", TimeoutMS: 60_000, NonIdempotentMethods: []string{http.MethodPost}}
	for name, s := range services {
		cfg.Endpoints = append(cfg.Endpoints, config.EndpointSpec{Name: name, Kind: config.KindService, Address: name})
		route.Endpoints = append(route.Endpoints, name)
		g.endpoints.services[name] = s
	}
	cfg.Routes = []config.RouteSpec{route}
	g.state.Store(newSnapshot(2, &cfg, nil))
}

func (g *testGateway) call(method, key string) (endpoint.Reply, *crocusreel.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return g.Call(ctx, caller.ServiceCall{
		Attempt: caller.Attempt{RequestID: uuid.NewString(), Workspace: g.ws, IdempotencyKey: key, BodySHA256: "b"},
		Method:  method, Path: "/beds/1",
	})
}

// Guards against lookups that wait for the route's whole timeout when one of two services freezes.
// A frozen service does not break its connections, so only a hedged call gets an answer in time.
func TestLateLookupIsAnsweredByAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	tg := newTestGateway(t, nil)
	tg.withServices(map[string]*fakeService{"frozen": {frozen: true}, "alive": {}})
	for range 6 {
		reply, refusal := tg.call(http.MethodGet, "")
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(reply.Status).To(gomega.Equal(http.StatusOK))
	}
}

// Guards against hedging a non-idempotent call that is late, which could make a booking twice.
func TestLateBookingIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &fakeService{frozen: true}, &fakeService{frozen: true}
	tg := newTestGateway(t, nil)
	tg.withServices(map[string]*fakeService{"a": a, "b": b})
	ended := make(chan *crocusreel.Refusal, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*initialHedgeDelay)
	defer cancel()
	go func() {
		_, refusal := tg.Call(ctx, caller.ServiceCall{
			Attempt: caller.Attempt{RequestID: "r", Workspace: tg.ws, IdempotencyKey: "k", BodySHA256: "b"},
			Method:  http.MethodPost, Path: "/beds/1",
		})
		ended <- refusal
	}()
	g.Eventually(ended, "20s").Should(gomega.Receive(gomega.HaveField("Outcome", crocusreel.OutcomeUnknown)))
	g.Expect(a.calls.Load() + b.calls.Load()).To(gomega.Equal(int64(1)))
}

// Guards against non-idempotent calls without a key when the route lists the method as
// non-idempotent and the caller's header says otherwise or is missing.
func TestRouteDecidesWhatMayBeRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &fakeService{}
	tg := newTestGateway(t, nil)
	tg.withServices(map[string]*fakeService{"s": s})
	_, refusal := tg.call(http.MethodPost, "")
	g.Expect(refusal).To(gomega.HaveField("Reason", crocusreel.ReasonKeyRequired))
	g.Expect(s.calls.Load()).To(gomega.BeZero())
}

// Guards against a call that crashes each service that runs it, one after the other, because its
// caller resends it under new keys.
func TestCrashingCallIsStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &fakeService{breaks: true}, &fakeService{breaks: true}
	tg := newTestGateway(t, nil)
	tg.withServices(map[string]*fakeService{"a": a, "b": b})
	for range 10 {
		_, refusal := tg.call(http.MethodPost, uuid.NewString())
		g.Expect(refusal).NotTo(gomega.BeNil())
	}
	_, refusal := tg.call(http.MethodPost, uuid.NewString())
	g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonSuspectRequest))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(a.calls.Load() + b.calls.Load()).To(gomega.Equal(int64(3)))
}

// Guards against retry storms when all services of a route fail and many workspaces call at once:
// their retries, each within its own budget, would multiply the load. The services must get no more
// calls than the first attempts plus the budgets.
func TestRetriesOfManyWorkspacesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &fakeService{breaks: true}, &fakeService{breaks: true}
	tg := newTestGateway(t, nil)
	tg.withServices(map[string]*fakeService{"a": a, "b": b})
	const workspaces, calls = 50, 20
	for w := range workspaces {
		for i := range calls {
			_, _ = tg.Call(context.Background(), caller.ServiceCall{
				Attempt: caller.Attempt{RequestID: uuid.NewString(), Workspace: &config.WorkspaceSpec{Name: strconv.Itoa(w)}},
				Method:  http.MethodGet, Path: "/beds/" + strconv.Itoa(w*calls+i),
			})
		}
	}
	const firsts = workspaces * calls
	g.Expect(a.calls.Load() + b.calls.Load()).To(gomega.BeNumerically("<=", firsts+firsts/10+2*endpointRetryBurst))
}
