package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

// Default values of Options.
const (
	defaultInFlight = 1024
	defaultDrain    = 60 * time.Second
)

// Options configures a run.
type Options struct {
	// Gateways are the IP:port addresses of the gateways that clients contact first. Clients learn
	// further addresses from them.
	Gateways []string
	// Key returns the API key of a workspace.
	Key func(workspace string) string
	// MaxInFlight is the maximum number of requests in flight; default 1024. A request that arrives
	// at the limit is not sent and counts in Report.NotSent.
	MaxInFlight int
	// ClosedLoop sends the next request as soon as fewer than MaxInFlight are in flight, regardless
	// of its planned time.
	ClosedLoop bool
	// MaxAttempts is the maximum number of attempts per request; 0 means the default of the client.
	MaxAttempts int
	// DrainTimeout is the maximum wait for answers after the last request was sent; default 60 s.
	// Requests that are still in flight after it are cancelled.
	DrainTimeout time.Duration
	// Warmup is the time at the start of a run during which requests are sent and verified but not
	// measured. It is ignored in a closed loop.
	Warmup time.Duration
	// StallThreshold is the gap between two tokens beyond which an answer is stalled; 0 means
	// StallFactor times the median gap of the run.
	StallThreshold time.Duration
	// SendLengthHints sends the length of the answer with each generation request, for the oracle
	// policy.
	SendLengthHints bool
	// Progress, if not nil, is called about once a second and at the end of the run, from a
	// goroutine of its own.
	Progress func(Progress)
}

// Progress is a snapshot of the counters of a run. Ended includes failed requests.
type Progress struct {
	Elapsed  time.Duration
	Planned  int
	Sent     int64
	Ended    int64
	Failed   int64
	Tokens   int64
	InFlight int64
}

// result is the outcome of one item. Only the goroutine that sends the item writes to it; it is
// read after the run.
type result struct {
	item *Item
	sent bool
	// complete is set if the answer is complete. Otherwise failureReason says why not.
	complete      bool
	failureReason crocusreel.Reason
	// firstLatency is the time from the planned arrival to the first token or, for a plain call, to
	// the reply.
	firstLatency time.Duration
	// gaps are the times between consecutive tokens.
	gaps []time.Duration
	// measuredTokens is the number of tokens received after the warm-up and within the sending
	// period.
	measuredTokens int
	preemptions    int
	// violation is the first violation found in the answer, or empty; violationDetail describes it.
	violation       Violation
	violationDetail string
}

// runner executes one run.
type runner struct {
	trace     Trace
	opts      Options
	clients   map[string]*client.Client
	startedAt time.Time
	results   []result

	sent, ended, failed, tokens atomic.Int64
}

// Run sends the requests of the trace, waits for the answers and returns the report. Refused
// requests and violations are not errors but part of the report. An error means that the clients
// could not be created or that ctx was cancelled.
func Run(ctx context.Context, trace Trace, opts Options) (*Report, error) {
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = defaultInFlight
	}
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = defaultDrain
	}
	r := &runner{trace: trace, opts: opts, results: make([]result, len(trace.Items))}
	if err := r.createClients(); err != nil {
		return nil, err
	}
	defer r.closeClients()
	r.startedAt = time.Now()
	stopProgress := r.startProgress()
	r.send(ctx)
	elapsed := time.Since(r.startedAt)
	stopProgress()
	if ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "load: run cancelled before its end")
	}
	return r.report(elapsed), nil
}

// createClients creates one client per workspace, as in production, where each customer has its own
// API key and its own retry budget. The clients share one HTTP transport.
func (r *runner) createClients() error {
	transport := &http.Transport{MaxIdleConnsPerHost: r.opts.MaxInFlight, IdleConnTimeout: time.Minute}
	r.clients = make(map[string]*client.Client)
	for _, ws := range r.trace.Mix.Workspaces {
		c, err := client.New(client.Options{
			Seeds:       r.opts.Gateways,
			Key:         r.opts.Key(ws.Name),
			MaxAttempts: r.opts.MaxAttempts,
			HTTP:        &http.Client{Transport: transport},
		})
		if err != nil {
			return eris.Wrapf(err, "load: create client of workspace %s", ws.Name)
		}
		r.clients[ws.Name] = c
	}
	return nil
}

func (r *runner) closeClients() {
	for _, c := range r.clients {
		c.Close()
	}
}

// send sends every item at its planned time, each in its own goroutine, and waits for the answers.
func (r *runner) send(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, r.opts.MaxInFlight)
	var running sync.WaitGroup
	for i := range r.trace.Items {
		res := &r.results[i]
		res.item = &r.trace.Items[i]
		if !r.acquireSlot(ctx, res.item, slots) {
			continue
		}
		res.sent = true
		r.sent.Add(1)
		running.Add(1)
		go func() {
			defer running.Done()
			r.sendItem(ctx, res)
			<-slots
		}()
	}
	r.drain(&running, cancel)
}

// acquireSlot waits for the planned time of the item and acquires one of the slots, which the
// caller must release. In a closed loop it waits for a free slot instead. It returns false if the
// item must not be sent, because no slot is free at its planned time or ctx is done.
func (r *runner) acquireSlot(ctx context.Context, item *Item, slots chan struct{}) bool {
	if r.opts.ClosedLoop {
		select {
		case slots <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-time.After(time.Until(r.startedAt.Add(item.At))):
	case <-ctx.Done():
		return false
	}
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// drain waits for the answers. It cancels the requests that are still in flight after
// Options.DrainTimeout.
func (r *runner) drain(running *sync.WaitGroup, cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(r.opts.DrainTimeout):
		cancel()
		<-done
	}
}

// startProgress starts a goroutine that calls Options.Progress once a second. The returned function
// stops it, after a last call, and waits for it.
func (r *runner) startProgress() (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.opts.Progress(r.snapshot())
			case <-quit:
				r.opts.Progress(r.snapshot())
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

func (r *runner) snapshot() Progress {
	sent, ended := r.sent.Load(), r.ended.Load()
	return Progress{
		Elapsed:  time.Since(r.startedAt),
		Planned:  len(r.trace.Items),
		Sent:     sent,
		Ended:    ended,
		Failed:   r.failed.Load(),
		Tokens:   r.tokens.Load(),
		InFlight: sent - ended,
	}
}
