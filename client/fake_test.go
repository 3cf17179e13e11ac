package client_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/crocusreel/crocusreel"
)

// fakeRequest is a request as received by a fake gateway.
type fakeRequest struct {
	Gateway string
	Path    string
	Header  http.Header
	Body    string
}

// fakeGateways is a set of fake gateways that share their generations, as real ones do through the
// engines.
type fakeGateways struct {
	mu      sync.Mutex
	servers []*httptest.Server
	// requests and addressRequests are guarded by mu. addressRequests counts the requests for the
	// address list, which are not in requests.
	requests        []fakeRequest
	addressRequests int
	// handler answers the n-th request, counted from 0 and without those for the address list.
	handler func(n int, w http.ResponseWriter, r *http.Request, body string)
}

func newFakeGateways(gateways int) *fakeGateways {
	f := &fakeGateways{}
	for range gateways {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.serve(server, w, r)
		}))
		f.servers = append(f.servers, server)
	}
	return f
}

func (f *fakeGateways) addresses() []string {
	var out []string
	for _, s := range f.servers {
		out = append(out, s.Listener.Addr().String())
	}
	return out
}

func (f *fakeGateways) close() {
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

func (f *fakeGateways) serve(server *httptest.Server, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		f.mu.Lock()
		f.addressRequests++
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"addresses": f.addresses(), "ttl_ms": 60000})
		return
	}
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	f.mu.Lock()
	n := len(f.requests)
	f.requests = append(f.requests, fakeRequest{server.Listener.Addr().String(), r.URL.Path, r.Header.Clone(), body.String()})
	f.mu.Unlock()
	f.handler(n, w, r, body.String())
}

func (f *fakeGateways) received() []fakeRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fakeRequest(nil), f.requests...)
}

// refuse sends a refusal. retryMS is the retry delay in milliseconds; 0 sends none.
func refuse(w http.ResponseWriter, status int, reason crocusreel.Reason, outcome crocusreel.Outcome, retryMS int) {
	if retryMS > 0 {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Crocusreel-Retry-After-Ms", fmt.Sprint(retryMS))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprint(w, refusalBody(reason, outcome))
}

func refusalBody(reason crocusreel.Reason, outcome crocusreel.Outcome) string {
	return fmt.Sprintf(`{"error":{"message":"refused","type":"t","code":"c"},"reason":%q,"outcome":%q}`, reason, outcome)
}

// sendTokens streams the tokens [from, to) of a generation. The first chunk carries the handle.
func sendTokens(w http.ResponseWriter, generation string, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		handle := ""
		if i == from {
			handle = "handle-" + generation
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"%s.%d \",\"index\":0,\"finish_reason\":null}],\"crocusreel\":{\"handle\":%q,\"index\":%d}}\n\n",
			generation, i, handle, i)
	}
	w.(http.Flusher).Flush()
}

// sendEnd streams the last chunk, which gives the length in tokens, and the end marker.
func sendEnd(w http.ResponseWriter, tokens int) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"crocusreel\":{\"index\":%d,\"preemptions\":2}}\n\n", tokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func sendErrorEvent(w http.ResponseWriter, reason crocusreel.Reason) {
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", refusalBody(reason, crocusreel.OutcomeRan))
}

// abortConnection aborts the connection in the middle of the response.
func abortConnection() { panic(http.ErrAbortHandler) }

// fullText returns the text of the first tokens of a generation, as sendTokens sends it.
func fullText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%s.%d ", generation, i)
	}
	return b.String()
}
