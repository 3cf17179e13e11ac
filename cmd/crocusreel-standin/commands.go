package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/standin/engine"
	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
	standin "github.com/crocusreel/crocusreel/internal/standin/platform"
	"github.com/crocusreel/crocusreel/internal/standin/service"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
)

// weightsTimeout is the timeout of an engine's calls to the weight store of the platform.
const weightsTimeout = 5 * time.Second

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

type platformCommand struct {
	Listen          string  `required:"" help:"IP:port to listen on."`
	WriteRate       float64 `help:"Writes a second; 0 for no limit." default:"400"`
	ReadRate        float64 `help:"Reads a second; 0 for no limit." default:"2000"`
	LatencyMS       int     `name:"latency-ms" help:"Latency of each call, in milliseconds." default:"2"`
	VMLagMS         int     `name:"vm-lag-ms" help:"Lag of the list of VMs, in milliseconds." default:"2000"`
	WeightBytesPerS float64 `name:"weight-bytes-per-s" help:"Rate of the weight store, in bytes a second." default:"2e9"`
	ModelBytes      int64   `help:"Size of each load from the weight store, in bytes." default:"1000000000"`
	Seed            uint64  `help:"Seed of random faults." default:"1"`
}

// Run serves the stand-in of the platform until SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	s := standin.New(standin.Options{
		WriteRate: c.WriteRate, ReadRate: c.ReadRate,
		Latency: milliseconds(c.LatencyMS), VMLag: milliseconds(c.VMLagMS),
		WeightBytesPerS: c.WeightBytesPerS, ModelBytes: c.ModelBytes, Seed: c.Seed,
	})
	return serve("platform", c.Listen, s.Handler(), nil)
}

type serviceCommand struct {
	Listen       string `required:"" help:"IP:port to listen on."`
	Name         string `required:"" help:"Name of the service."`
	LatencyMS    int    `name:"latency-ms" help:"Latency of each call, in milliseconds." default:"2"`
	DropsRepeats bool   `help:"Answer a repeated idempotency key from memory."`
	Journal      string `help:"File that keeps the run list over restarts."`
	Seed         uint64 `help:"Seed of random faults." default:"1"`
}

// Run serves the stand-in of a plain service until SIGINT or SIGTERM.
func (c *serviceCommand) Run() error {
	s, err := service.New(service.Options{
		Name: c.Name, Latency: milliseconds(c.LatencyMS), Deduplicate: c.DropsRepeats,
		Journal: c.Journal, Seed: c.Seed, Exit: os.Exit,
	})
	if err != nil {
		return err
	}
	return serve(c.Name, c.Listen, s.Handler(), nil)
}

type workerCommand struct {
	Listen          string `required:"" help:"IP:port to listen on."`
	ID              string `required:"" help:"Instance ID."`
	Events          int    `help:"Events of a stream; 0 for a plain service."`
	EventIntervalMS int    `name:"event-interval-ms" help:"Time before each event, in milliseconds." default:"10"`
	WorkMS          int    `name:"work-ms" help:"Time of each plain call, in milliseconds." default:"2"`
	Slots           int    `help:"Requests that run at a time; 0 for no limit."`
	QueueLength     int    `help:"Requests that may wait for a slot."`

	RefuseShare    float64 `help:"Share of requests that are refused, from 0 to 1."`
	RefusalsBearID bool    `name:"refusals-bear-id" help:"Refusals bear the ID of their request."`
	FailShare      float64 `help:"Share of requests that are answered with status 500, from 0 to 1."`
	LateShare      float64 `help:"Share of answers after which a further answer, without a request, comes late, from 0 to 1."`
	Seed           uint64  `help:"Seed of what is refused, fails and comes late."`
}

// Run serves the endpoint until SIGINT or SIGTERM. Standard output is its run log.
func (c *workerCommand) Run() error {
	faults := worker.NewRandomFaults(c.Seed, c.RefuseShare, c.FailShare, c.LateShare)
	w, err := worker.Start(worker.Options{
		FaultOf: faults.FaultOf, LateOf: faults.LateOf, RefusalsBearID: c.RefusalsBearID,
		ID: c.ID, Address: c.Listen, Events: c.Events, EventInterval: milliseconds(c.EventIntervalMS), WorkTime: milliseconds(c.WorkMS),
		Slots: c.Slots, QueueLength: c.QueueLength, StopsOnClose: true, KVStore: worker.NewKVStore(), RunLog: os.Stdout,
	})
	if err != nil {
		return eris.Wrap(err, "start endpoint")
	}
	defer w.Stop()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

type engineCommand struct {
	Listen        string   `required:"" help:"IP:port to listen on."`
	Name          string   `required:"" help:"Name of the engine."`
	Model         []string `sep:"none" help:"Model loaded at the start, NAME or NAME@VERSION; may be repeated."`
	Role          string   `help:"Role at the start." default:"mixed"`
	KVCapacity    int      `name:"kv-capacity" help:"KV memory, in tokens." default:"30000"`
	CacheBlocks   int      `help:"Prefix cache, in blocks of 16 tokens." default:"512"`
	MaxBatch      int      `help:"Generations that run at once." default:"64"`
	MaxWaiting    int      `help:"Generations that may wait." default:"1024"`
	MaxTokens     int      `help:"Bound of an answer without one, in tokens." default:"8192"`
	LengthMedian  float64  `help:"Median of the lognormal length, in tokens." default:"180"`
	LengthSigma   float64  `help:"Sigma of the lognormal length." default:"0.9"`
	TimeScale     float64  `help:"Divides the time of each step." default:"1"`
	ReportLagMS   int      `name:"report-lag-ms" help:"Age of load reports, in milliseconds." default:"500"`
	CacheLagMS    int      `name:"cache-lag-ms" help:"Age of cache events, in milliseconds." default:"1000"`
	DetachGraceMS int      `name:"detach-grace-ms" help:"How long a generation without a stream goes on, in milliseconds." default:"5000"`
	KeepMS        int      `name:"keep-ms" help:"How long an ended generation can be resumed, in milliseconds." default:"30000"`
	KeepAliveMS   int      `name:"keep-alive-ms" help:"Interval of keep-alive bytes, in milliseconds." default:"1000"`
	LoadMS        int      `name:"load-ms" help:"Time to load weights, in milliseconds." default:"500"`
	Platform      string   `help:"IP:port of the platform whose weight store is asked."`
	ChecksFence   bool     `help:"Refuse orders with an old fencing number."`
	DropsRepeats  bool     `help:"Refuse a repeated idempotency key and answer lookups by key."`
	Journal       string   `help:"File that keeps the run list over restarts."`
	Seed          uint64   `help:"Seed of lengths and random faults." default:"1"`
}

// Run serves the stand-in of an inference engine until SIGINT or SIGTERM.
func (c *engineCommand) Run() error {
	e, err := engine.New(c.options())
	if err != nil {
		return err
	}
	return serve(c.Name, c.Listen, e.Handler(), e.Run)
}

func (c *engineCommand) options() engine.Options {
	params := model.DefaultParams()
	params.KVBlocks = c.KVCapacity / params.BlockTokens
	params.CacheBlocks = c.CacheBlocks
	params.MaxBatch = c.MaxBatch
	o := engine.Options{
		Name: c.Name, Models: c.Model, Role: c.Role, Params: params, TimeScale: c.TimeScale,
		MaxWaiting: c.MaxWaiting, MaxTokens: c.MaxTokens,
		LengthMedian: c.LengthMedian, LengthSigma: c.LengthSigma,
		ReportLag: milliseconds(c.ReportLagMS), CacheLag: milliseconds(c.CacheLagMS),
		DetachGrace: milliseconds(c.DetachGraceMS), Retention: milliseconds(c.KeepMS),
		KeepAlive: milliseconds(c.KeepAliveMS), LoadTime: milliseconds(c.LoadMS),
		ChecksFence: c.ChecksFence, Deduplicate: c.DropsRepeats,
		Journal: c.Journal, Seed: c.Seed, Exit: os.Exit,
	}
	if c.Platform != "" {
		o.Weights = platform.New(c.Platform, weightsTimeout)
	}
	return o
}
