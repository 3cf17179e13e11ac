package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
	"github.com/crocusreel/crocusreel/load"
)

const (
	// calibrationLoad is the offered load of the calibration runs as a multiple of the estimated
	// capacity. It must saturate the engines without overloading them heavily.
	calibrationLoad = 1.25
	// calibrationSeed must differ from the seeds of all series.
	calibrationSeed = 9999
	// maxInFlight is the maximum number of requests of one run that are queued or running.
	maxInFlight = 4000
)

// Run is one run of one setting with its result.
type Run struct {
	Mix     string       `json:"mix"`
	Load    float64      `json:"load"`
	Seed    uint64       `json:"seed"`
	Setting Setting      `json:"setting"`
	Report  *load.Report `json:"report"`
	// CPUBusy is the CPU utilization of the whole machine during the run as a fraction, other
	// processes included; -1 if it could not be read.
	CPUBusy float64 `json:"cpu_busy"`
}

// Calibration holds the reference values of a mix, from which the offered loads and the stall
// threshold of its runs are derived.
type Calibration struct {
	Mix string `json:"mix"`
	// Capacity is the highest goodput of the saturated system under the oracle policy, in tokens
	// per second.
	Capacity float64 `json:"capacity"`
	// MedianGapMS is the median time between tokens under the oracle policy, in the last
	// calibration run. StallMS, the stall threshold of all runs of the mix, is load.StallFactor
	// times as long.
	MedianGapMS float64 `json:"median_gap_ms"`
	StallMS     float64 `json:"stall_ms"`
	// CPUBusy is as in Run, for the last calibration run.
	CPUBusy float64 `json:"cpu_busy"`
}

// Results holds all measurements of an experiment. TookS is its duration in seconds.
type Results struct {
	Started      time.Time     `json:"started"`
	TookS        float64       `json:"took_s"`
	Plan         Plan          `json:"plan"`
	Calibrations []Calibration `json:"calibrations"`
	Runs         []Run         `json:"runs"`
}

// Execute runs the experiment with up to parallel runs at a time and writes a line per run to
// progress. It stops at the first run that fails and when ctx ends; it then returns the completed
// runs along with the error. If it stops during calibration, it returns no results.
func Execute(ctx context.Context, p Plan, parallel int, progress io.Writer) (*Results, error) {
	res := &Results{Started: time.Now(), Plan: p}
	x := &executor{plan: p, progress: progress, mixes: map[string]*load.Mix{}}
	for _, name := range p.Mixes {
		mix, err := load.LoadMix(name)
		if err != nil {
			return nil, err
		}
		x.mixes[mix.Name] = mix
		res.Calibrations = append(res.Calibrations, Calibration{Mix: mix.Name})
	}
	if err := forEach(ctx, res.Calibrations, parallel, x.calibrate); err != nil {
		return nil, err
	}
	x.calibrations = res.Calibrations
	res.Runs = x.planRuns()
	err := forEach(ctx, res.Runs, parallel, x.execute)
	res.Runs = slices.DeleteFunc(res.Runs, func(r Run) bool { return r.Report == nil })
	res.TookS = time.Since(res.Started).Seconds()
	return res, err
}

// executor executes the runs of one experiment.
type executor struct {
	plan         Plan
	mixes        map[string]*load.Mix
	calibrations []Calibration

	// mu guards done and serializes writes to progress.
	mu       sync.Mutex
	progress io.Writer
	done     int
	total    int
}

// calibrate measures the capacity of the system for a mix and the gap between tokens. The first run
// bases its offered load on Estimate, which may be far off; the second one on the goodput of the
// first.
func (x *executor) calibrate(ctx context.Context, c *Calibration) error {
	mix := x.mixes[c.Mix]
	offered := Estimate(x.plan.System, mix)
	for _, setting := range []Setting{oracle(), oracle()} {
		tokens := calibrationLoad * offered * x.plan.Duration.Seconds()
		trace := load.NewTokenTrace(mix, int(tokens), x.plan.Duration, calibrationSeed)
		rep, busy, err := x.runTrace(ctx, mix, setting, trace, 0)
		if err != nil {
			return eris.Wrapf(err, "calibrate %s", c.Mix)
		}
		c.Capacity = max(c.Capacity, rep.Goodput)
		offered = c.Capacity
		c.CPUBusy = busy
		c.MedianGapMS = rep.BetweenTokens.P50
	}
	c.StallMS = load.StallFactor * c.MedianGapMS
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(x.progress, "%s: capacity %.0f tokens/s (estimate %.0f), stall threshold %.1f ms, processors %.0f%% busy\n",
		c.Mix, c.Capacity, Estimate(x.plan.System, mix), c.StallMS, 100*c.CPUBusy)
	return nil
}

// Estimate computes the capacity of a system from the engine model, in tokens per second. It
// assumes that as many answers as fit into KV memory and batch, each at half its median length on
// average, advance by one token per step. It ignores prefill, short generations and memory lost to
// the variance of lengths, so it is too high, which ensures that the first calibration run
// saturates the system.
func Estimate(s System, mix *load.Mix) float64 {
	length, prompt, share := 0.0, 0.0, 0.0
	for _, w := range mix.Work {
		if w.Kind == load.KindGeneration {
			length += w.Share * w.TokensMedian
			prompt += w.Share * float64(w.PromptTokens)
			share += w.Share
		}
	}
	context := (prompt + length/2) / share
	batch := min(float64(s.KVCapacity)/context, float64(s.MaxBatch))
	p := model.DefaultParams()
	step := p.Base.Seconds() + batch*p.PerSequence.Seconds() + batch*context*p.PerKVToken.Seconds()
	return batch / step * s.TimeScale * float64(s.Engines)
}

// planRuns returns the list of runs and sets x.total. The settings vary fastest, so that runs to be
// compared are close to each other in time.
func (x *executor) planRuns() []Run {
	var runs []Run
	for _, series := range x.plan.Series {
		for _, c := range x.calibrations {
			for _, l := range series.Loads {
				for _, seed := range series.Seeds {
					for _, s := range series.Settings {
						runs = append(runs, Run{Mix: c.Mix, Load: l, Seed: seed, Setting: s})
					}
				}
			}
		}
	}
	x.total = len(runs)
	return runs
}

// forEach calls do for every item, up to parallel at a time. After the first error it cancels the
// context that is passed to the calls, starts no further calls and returns the error.
func forEach[T any](ctx context.Context, items []T, parallel int, do func(context.Context, *T) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan *T)
	var workers sync.WaitGroup
	for range max(parallel, 1) {
		workers.Go(func() {
			for item := range next {
				if err := do(ctx, item); err != nil {
					cancel(err)
				}
			}
		})
	}
	for i := range items {
		if ctx.Err() != nil {
			break
		}
		next <- &items[i]
	}
	close(next)
	workers.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

func (x *executor) execute(ctx context.Context, run *Run) error {
	mix, c := x.mixes[run.Mix], x.calibration(run.Mix)
	tokens := run.Load * c.Capacity * x.plan.Duration.Seconds()
	trace := load.NewTokenTrace(mix, int(tokens), x.plan.Duration, run.Seed)
	stall := time.Duration(c.StallMS * float64(time.Millisecond))
	rep, busy, err := x.runTrace(ctx, mix, run.Setting, trace, stall)
	if err != nil {
		return eris.Wrapf(err, "%s at %.2f, seed %d, %s", run.Mix, run.Load, run.Seed, run.Setting.Name)
	}
	run.Report, run.CPUBusy = rep, busy
	x.reportProgress(run)
	return nil
}

func (x *executor) calibration(mix string) Calibration {
	for _, c := range x.calibrations {
		if c.Mix == mix {
			return c
		}
	}
	panic("experiment: no calibration for mix " + mix)
}

func (x *executor) reportProgress(run *Run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.done++
	r := run.Report
	fmt.Fprintf(x.progress, "%d/%d %s %.2f seed %d %-34s goodput %5.0f  preempted %6.1f/1000  stall %7.1f ms  p99 gap %6.1f ms  lookup p99 %5.1f ms  fairness %.2f  refusals %v  violations %v  cpu %.0f%%\n",
		x.done, x.total, run.Mix, run.Load, run.Seed, run.Setting.Name, r.Goodput, r.PreemptionsPer1000,
		r.StallMeanMS, r.BetweenTokens.P99, r.Lookup.P99, r.Fairness, r.Refusals, r.Violations, 100*run.CPUBusy)
}

// runTrace runs a trace on a freshly started system. It returns the report and the CPU utilization
// of the machine during the run.
func (x *executor) runTrace(ctx context.Context, mix *load.Mix, setting Setting, trace load.Trace, stall time.Duration) (*load.Report, float64, error) {
	awaitIdleCPU(ctx)
	sys, err := startSystem(ctx, x.plan.System, mix, setting)
	if err != nil {
		return nil, 0, err
	}
	defer sys.stop()
	stopFaults := sys.injectFaults(ctx, x.plan)
	before := readCPU()
	rep, err := load.Run(ctx, trace, load.Options{
		Gateways:        sys.CallerAddresses(),
		Key:             callerKey,
		MaxInFlight:     maxInFlight,
		DrainTimeout:    x.plan.Drain,
		Warmup:          x.plan.Warmup,
		StallThreshold:  stall,
		SendLengthHints: sendsLengthHints(setting),
	})
	busy := readCPU().busySince(before)
	stopFaults()
	return rep, busy, err
}
