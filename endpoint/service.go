package endpoint

import (
	"context"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
)

// serviceClient implements Service over HTTP.
type serviceClient struct{ httpClient }

// NewService returns a client of the plain service at addr (IP:port). It does not retry calls and
// does not follow redirects.
func NewService(addr string, o Options) Service {
	return &serviceClient{newHTTPClient(addr, o)}
}

// Do implements Service.
func (s *serviceClient) Do(ctx context.Context, c Call) (Reply, error) {
	resp, sending, fail := s.send(ctx, c.Method, callPath(c), callHeader(c), c.Body)
	if fail != nil {
		return Reply{}, fail
	}
	defer func() { _ = resp.Body.Close() }()
	body, fail := readAll(resp.Body, s.options.MaxBodyBytes)
	if fail != nil {
		return Reply{}, fail
	}
	if resp.Header.Get(HeaderOutcome) == string(crocusreel.OutcomeNotRun) {
		return Reply{}, sending.believe(resp.Header, notRunError(KindRefused, eris.Errorf("status %d", resp.StatusCode)))
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Ready implements Service.
func (s *serviceClient) Ready(ctx context.Context) error {
	resp, _, fail := s.send(ctx, http.MethodGet, PathHealth, nil, nil)
	if fail != nil {
		return fail
	}
	defer func() { _ = resp.Body.Close() }()
	if _, fail := readAll(resp.Body, maxAnswerBytes); fail != nil {
		return fail
	}
	if resp.StatusCode != http.StatusOK {
		return notRunError(KindRefused, eris.Errorf("status %d", resp.StatusCode))
	}
	return nil
}

// callPath returns the request target. Without a leading slash, a path would be appended directly
// to the address and could change the host.
func callPath(c Call) string {
	path := "/" + strings.TrimPrefix(c.Path, "/")
	if c.Query == "" {
		return path
	}
	return path + "?" + c.Query
}

func callHeader(c Call) http.Header {
	h := http.Header{}
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set("Content-Type", c.ContentType)
	set(HeaderRequestID, c.RequestID)
	set(HeaderWorkspace, c.Workspace)
	set(HeaderIdempotencyKey, c.IdempotencyKey)
	return h
}
