// Package client is the Go client library for callers. It discovers the gateway addresses from a
// seed gateway, balances requests over them, retries where the outcome of an attempt permits it,
// and resumes an interrupted stream at another gateway.
package client

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/tcpend"
	"github.com/crocusreel/crocusreel/retry"
)

// Default values of Options. dialTimeout is not configurable.
const (
	defaultMaxAttempts  = 6
	defaultRetryRatio   = 0.2
	defaultRetryBurst   = 20
	defaultBaseBackoff  = 50 * time.Millisecond
	defaultMaxBackoff   = 3 * time.Second
	defaultStallTimeout = 30 * time.Second
	defaultStartTimeout = 60 * time.Second
	defaultCallTimeout  = 20 * time.Second
	dialTimeout         = 2 * time.Second
)

// Options configures a Client. Seeds and Key are required.
type Options struct {
	// Seeds are the IP:port addresses of the gateways from which the address list is first
	// requested.
	Seeds []string
	// Key is the caller key of the workspace, sent as bearer token.
	Key string
	// Scheme is "http" (default) or "https".
	Scheme string
	// HTTP sends the requests; if nil, the client creates an http.Client for itself.
	HTTP *http.Client
	// MaxAttempts is the maximum number of attempts per request, including the first; default 6.
	MaxAttempts int
	// RetryRatio is the number of retries that each request adds to the retry budget; default 0.2.
	RetryRatio float64
	// RetryBurst is the maximum number of retries that the budget accumulates; default 20.
	RetryBurst float64
	// BaseBackoff and MaxBackoff limit the random delay before a retry, which is added to the
	// delay that a refusal asks for. The upper bound is BaseBackoff before the first retry and
	// doubles with each one up to MaxBackoff; defaults 50 ms and 3 s.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// StartTimeout is the maximum wait for the first token of a generation before the request is
	// sent to another gateway; default 60 s. It must be longer than the service's maximum queueing
	// time.
	StartTimeout time.Duration
	// CallTimeout is the maximum duration of one attempt of a call, up to the end of the response;
	// default 20 s. It must be longer than the timeouts of the routes.
	CallTimeout time.Duration
	// StallTimeout is the maximum time without an event on a started stream before the stream is
	// resumed at another gateway; default 30 s.
	StallTimeout time.Duration
}

// Client sends requests to the gateways. It is safe for concurrent use.
type Client struct {
	opts      Options
	http      *http.Client
	addresses *addressBook
	budget    *retry.Budget
	counters  counters
}

// counters holds the atomic counters behind Counts.
type counters struct {
	retries  atomic.Int64
	resumes  atomic.Int64
	restarts atomic.Int64
}

// Counts holds the number of recoveries of a Client from failures.
type Counts struct {
	// Retries counts attempts after the first one.
	Retries int64 `json:"retries"`
	// Resumes counts the interrupted streams that were resumed at a gateway.
	Resumes int64 `json:"resumes"`
	// Restarts counts the generations that Complete started again after a generation failed midway.
	Restarts int64 `json:"restarts"`
}

// New returns a Client. It fails if a required option is missing.
func New(opts Options) (*Client, error) {
	if len(opts.Seeds) == 0 {
		return nil, eris.New("client: at least one seed address is required")
	}
	if opts.Key == "" {
		return nil, eris.New("client: a caller key is required")
	}
	opts = withDefaults(opts)
	c := &Client{
		opts:   opts,
		http:   opts.HTTP,
		budget: retry.NewBudget(opts.RetryRatio, opts.RetryBurst),
	}
	c.addresses = newAddressBook(opts.Seeds, c.fetchAddresses)
	return c, nil
}

func withDefaults(o Options) Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: newTransport()}
	}
	o.Scheme = cmp.Or(o.Scheme, "http")
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.RetryRatio = cmp.Or(o.RetryRatio, defaultRetryRatio)
	o.RetryBurst = cmp.Or(o.RetryBurst, defaultRetryBurst)
	o.BaseBackoff = cmp.Or(o.BaseBackoff, defaultBaseBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	o.StartTimeout = cmp.Or(o.StartTimeout, defaultStartTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, defaultStallTimeout)
	return o
}

// newTransport returns a transport with TCP keep-alive probes. They detect within seconds (5 s
// idle, then three probes 2 s apart) that a gateway's VM has disappeared without closing its
// connections.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     5 * time.Second,
			Interval: 2 * time.Second,
			Count:    3,
		},
	}
	return &http.Transport{
		DialContext:         tcpend.Dialer(dialer),
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}
}

// Counts returns the number of recoveries since the client was created.
func (c *Client) Counts() Counts {
	return Counts{
		Retries:  c.counters.retries.Load(),
		Resumes:  c.counters.resumes.Load(),
		Restarts: c.counters.restarts.Load(),
	}
}

// Addresses returns the addresses of the gateways in use, nearest first. It requests them from a
// gateway if the cached list has expired.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	return c.addresses.current(ctx)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
