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

// Defaults of Options.
const (
	defaultInFlight = 1024
	defaultDrain    = 60 * time.Second
)

// Options set up a run.
type Options struct {
	// Gateways are IP:port addresses to ask first.
	Gateways []string
	// Key returns the caller key of a workspace.
	Key func(workspace string) string
	// InFlight bounds the requests in flight; default 1024. An arrival over the
	// bound is not sent and counted.
	InFlight int
	// ClosedLoop sends the next request as soon as fewer than InFlight are in
	// flight, whatever its planned time.
	ClosedLoop bool
	// Attempts bounds the attempts at one request; 0 takes the client's default.
	Attempts int
	// Drain bounds the wait for answers after the last arrival; default 60 s.
	Drain time.Duration
	// Warmup is the time at the start whose requests are sent and checked but not
	// measured.
	Warmup time.Duration
	// StallThreshold is the gap between two tokens beyond which an answer stalls;
	// 0 takes StallFactor times the run's median gap.
	StallThreshold time.Duration
	// TellLengths sends each answer's length along, for the oracle policy.
	TellLengths bool
	// Progress is called about once a second; may be nil.
	Progress func(Progress)
}

// Progress is the state of a run.
type Progress struct {
	Elapsed  time.Duration
	Planned  int
	Sent     int64
	Ended    int64
	Failed   int64
	Tokens   int64
	InFlight int64
}

// result is what became of one item. Each is written by one goroutine and read after
// the run.
type result struct {
	item *Item
	sent bool
	// whole is set if the whole answer came.
	whole  bool
	reason crocusreel.Reason
	// first is the time from the planned arrival to the first token or, for a call,
	// to the reply.
	first time.Duration
	// gaps are the times between tokens.
	gaps []time.Duration
	// windowTokens came after the warm-up and before the last arrival.
	windowTokens int
	preemptions  int
	broken       Violation
	detail       string
}

// runner is one run in progress.
type runner struct {
	trace   Trace
	opts    Options
	clients map[string]*client.Client
	begin   time.Time
	results []result

	sent, ended, failed, tokens atomic.Int64
}

// Run sends the trace and reports. An error means that the run could not be made;
// refused and broken answers are in the report.
func Run(ctx context.Context, trace Trace, opts Options) (*Report, error) {
	if opts.InFlight == 0 {
		opts.InFlight = defaultInFlight
	}
	if opts.Drain == 0 {
		opts.Drain = defaultDrain
	}
	r := &runner{trace: trace, opts: opts, results: make([]result, len(trace.Items))}
	if err := r.connect(); err != nil {
		return nil, err
	}
	defer r.disconnect()
	r.begin = time.Now()
	stopProgress := r.progress()
	r.send(ctx)
	elapsed := time.Since(r.begin)
	stopProgress()
	if ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "load: run ended early")
	}
	return r.report(elapsed), nil
}

// connect makes one client for each workspace, as in the field, where each customer
// has its own key and its own retry budget.
func (r *runner) connect() error {
	transport := &http.Transport{MaxIdleConnsPerHost: r.opts.InFlight, IdleConnTimeout: time.Minute}
	r.clients = make(map[string]*client.Client)
	for _, ws := range r.trace.Mix.Workspaces {
		c, err := client.New(client.Options{
			Seeds:       r.opts.Gateways,
			Key:         r.opts.Key(ws.Name),
			MaxAttempts: r.opts.Attempts,
			HTTP:        &http.Client{Transport: transport},
		})
		if err != nil {
			return eris.Wrapf(err, "load: workspace %s", ws.Name)
		}
		r.clients[ws.Name] = c
	}
	return nil
}

func (r *runner) disconnect() {
	for _, c := range r.clients {
		c.Close()
	}
}

// send starts every item at its time and waits for the answers.
func (r *runner) send(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	room := make(chan struct{}, r.opts.InFlight)
	var running sync.WaitGroup
	for i := range r.trace.Items {
		res := &r.results[i]
		res.item = &r.trace.Items[i]
		if !r.await(ctx, res.item, room) {
			continue
		}
		res.sent = true
		r.sent.Add(1)
		running.Add(1)
		go func() {
			defer running.Done()
			r.one(ctx, res)
			<-room
		}()
	}
	r.drain(&running, cancel)
}

// await waits for the item's time and takes a place in flight; false means that the
// item is not sent.
func (r *runner) await(ctx context.Context, item *Item, room chan struct{}) bool {
	if r.opts.ClosedLoop {
		select {
		case room <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-time.After(time.Until(r.begin.Add(item.At))):
	case <-ctx.Done():
		return false
	}
	select {
	case room <- struct{}{}:
		return true
	default:
		return false
	}
}

// drain waits for the answers and gives up those that take too long.
func (r *runner) drain(running *sync.WaitGroup, cancel context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(r.opts.Drain):
		cancel()
		<-done
	}
}

// progress calls opts.Progress until the returned function is called.
func (r *runner) progress() (stop func()) {
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
				r.opts.Progress(r.state())
			case <-quit:
				r.opts.Progress(r.state())
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

func (r *runner) state() Progress {
	sent, ended := r.sent.Load(), r.ended.Load()
	return Progress{
		Elapsed:  time.Since(r.begin),
		Planned:  len(r.trace.Items),
		Sent:     sent,
		Ended:    ended,
		Failed:   r.failed.Load(),
		Tokens:   r.tokens.Load(),
		InFlight: sent - ended,
	}
}
