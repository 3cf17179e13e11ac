package scheduler

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// fuzzTimeout bounds the handling of one message, including the wait of a queued request.
const fuzzTimeout = 30 * time.Millisecond

// A faulty gateway, or anyone who can reach the peer listener, sends messages with extreme or
// malformed fields. A scheduler that crashes on one of them loses all permits of the pool.
func FuzzPeerMessages(f *testing.F) {
	engine := newFakeEngine("e1", 1000)
	m := NewManager(Options{VMID: "g1", Region: "r", EngineClient: func(config.EndpointSpec) endpoint.Engine { return engine }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	f.Cleanup(func() {
		cancel()
		<-done
	})
	m.Apply(Snapshot{
		Members: []*peerv1.Member{{Id: "g1", Region: "r", State: peerv1.MemberState_MEMBER_STATE_ALIVE, GatewayAddress: "127.0.0.1:1"}},
		Config:  baseConfig(map[string]*fakeEngine{"e1": engine}),
	})
	for _, seed := range []proto.Message{
		&peerv1.AcquireRequest{Model: "m", Gateway: "g2", Workspace: "w", PromptTokens: math.MaxUint32, MaxTokens: math.MaxUint32},
		&peerv1.AcquireRequest{Model: "m", Gateway: "g2", Workspace: "w", Class: "\x00", Priority: math.MinInt32},
		&peerv1.ReportRequest{Gateway: "g2", Pool: "m", Open: []*peerv1.Permit{{Id: "x", Endpoint: "e1", PromptTokens: math.MaxUint32, Produced: math.MaxUint32}}},
		&peerv1.ReportRequest{Gateway: "g2", Pool: "m", Strikes: []*peerv1.Strike{{Fingerprint: 1, Death: math.MaxUint64, AgeMs: math.MaxUint32}}, Releases: []*peerv1.Release{{}}},
		&peerv1.ReportRequest{Pool: "m", Partial: true},
	} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(true, data)
		f.Add(false, data)
	}
	_, handler := m.Handler()
	f.Fuzz(func(t *testing.T, acquire bool, data []byte) {
		path := peerv1.SchedulerReportProcedure
		if acquire {
			path = peerv1.SchedulerAcquireProcedure
		}
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTimeout)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data))
		r.Header.Set("Content-Type", "application/proto")
		handler.ServeHTTP(httptest.NewRecorder(), r)
	})
}
