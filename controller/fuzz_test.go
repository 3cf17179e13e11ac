package controller

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/settings"
)

// answerTimeout is the time after which a message counts as never answered.
const answerTimeout = 10 * time.Second

// A faulty peer, or an attacker who reaches the peer listener, sends messages with extreme or
// malformed fields. A controller that crashes or hangs on one leaves its VM without configuration
// and membership.
func FuzzPeerListener(f *testing.F) {
	c := New(Options{
		Settings: settings.Controller{
			VM: settings.VM{ID: "vm-1", DataCentre: "dc", Region: "r"}, PeerAddress: "127.0.0.1:1",
			ProbeIntervalMS: 1000, ConfigIntervalMS: 1000, LeaseMS: 6000,
		},
		Platform:  newFakePlatform(),
		Transport: virtualTransport{newNetwork(), "127.0.0.1:1"},
		Engine:    func(string) endpoint.Engine { return nil },
		Log:       zap.NewNop(),
	})
	member := &peerv1.Member{Id: "vm-1", Incarnation: math.MaxUint64, State: 99, ControllerAddress: "not an address"}
	document := &peerv1.ConfigDocument{Version: math.MaxUint64, Document: []byte("{")}
	procedures := []string{
		peerv1.MembershipPingProcedure, peerv1.MembershipJoinProcedure, peerv1.MembershipIndirectPingProcedure,
		peerv1.MembershipFetchConfigProcedure, peerv1.NodeSetLeavingProcedure,
	}
	for _, seed := range []proto.Message{
		&peerv1.PingRequest{Updates: []*peerv1.Member{member}, ConfigVersion: math.MaxUint64},
		&peerv1.JoinRequest{From: member}, &peerv1.IndirectPingRequest{}, document,
	} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		for i := range procedures {
			f.Add(uint8(i), data)
		}
	}
	handler := c.PeerHandler()
	f.Fuzz(func(t *testing.T, procedure uint8, data []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		path := procedures[int(procedure)%len(procedures)]
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data))
		r.Header.Set("Content-Type", "application/proto")
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			handler.ServeHTTP(httptest.NewRecorder(), r)
		}()
		select {
		case <-answered:
		case <-time.After(answerTimeout):
			stacks := make([]byte, 1<<20)
			t.Fatalf("no answer; goroutines:\n%s", stacks[:runtime.Stack(stacks, true)])
		}
	})
}
