package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/rig"
)

const (
	overheadModel = "m"
	// overheadShortAnswers is the number of one-token answers timed on each path, and
	// overheadLongAnswers the number of long answers, of overheadAnswerTokens tokens each. All are
	// sent one after the other.
	overheadShortAnswers = 300
	overheadLongAnswers  = 9
	overheadAnswerTokens = 4000
	// overheadTimeScale is the time scale of the engine. It makes the engine's step time
	// negligible.
	overheadTimeScale = 1e6
	// clockTick is the unit of the CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

// PathCost is the latency and CPU cost of answers on one path.
type PathCost struct {
	// FirstP50 and FirstP99 are quantiles of the time to the first token of one-token answers, in
	// microseconds.
	FirstP50 float64 `json:"first_p50_us"`
	FirstP99 float64 `json:"first_p99_us"`
	// PerToken is the median and range, over the long answers, of the mean time per token after the
	// first, in microseconds.
	PerToken Spread `json:"per_token_us"`
	// Processor is the CPU time of engine and gateway together per token, in microseconds. It is
	// measured over the long answers.
	Processor float64 `json:"processor_us"`
}

// Overhead compares the cost of streams through a gateway with that of streams read directly from
// the engine.
type Overhead struct {
	Direct  PathCost `json:"direct"`
	Gateway PathCost `json:"gateway"`
}

// streamFunc sends one generation of the given number of tokens over one path and reads the answer.
// It returns the time to the first token and the time to the end of the stream.
type streamFunc func(ctx context.Context, tokens int) (first, total time.Duration, err error)

// MeasureOverhead measures both paths alternately on one system, with one engine and one gateway
// that is also the scheduler. It starts the system in a temporary directory below s.Dir and removes
// it at the end.
func MeasureOverhead(ctx context.Context, s System) (*Overhead, error) {
	dir, err := os.MkdirTemp(s.Dir, "overhead-")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	r, err := rig.Start(ctx, rig.Spec{
		Dir: dir,
		Bin: s.Bin,
		VMs: []rig.VMSpec{{ID: "vm1", DataCentre: "dc1"}},
		Engines: []rig.EngineSpec{{
			Name: "engine1", DataCentre: "dc1", Models: []string{overheadModel},
			Args: []string{"--kv-capacity", "1000000", "--time-scale", strconv.Itoa(overheadTimeScale)},
		}},
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		r.Close()
		_ = os.RemoveAll(dir)
	}()
	c, err := client.New(client.Options{Seeds: r.CallerAddresses(), Key: rig.DefaultKey})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	engine := endpoint.NewEngine(r.Engines[0].Address, endpoint.Options{})
	processes := []*rig.Process{r.Engines[0].Process, r.VMs[0].Gateway}
	paths := []streamFunc{directStream(engine), gatewayStream(c)}
	costs, err := measurePaths(ctx, paths, processes)
	if err != nil {
		return nil, err
	}
	return &Overhead{Direct: costs[0], Gateway: costs[1]}, nil
}

func directStream(engine endpoint.Engine) streamFunc {
	return func(ctx context.Context, tokens int) (first, total time.Duration, err error) {
		begin := time.Now()
		stream, err := engine.Generate(ctx, endpoint.GenerateRequest{
			RequestID: uuid.NewString(), GenerationID: uuid.NewString(), Workspace: "w",
			Model: overheadModel, Prompt: lengthPrompt(tokens), MaxTokens: tokens,
		})
		if err != nil {
			return 0, 0, err
		}
		defer stream.Close()
		return timeTokens(begin, tokens, func() error {
			_, err := stream.Next()
			return err
		})
	}
}

func gatewayStream(c *client.Client) streamFunc {
	return func(ctx context.Context, tokens int) (first, total time.Duration, err error) {
		begin := time.Now()
		stream, err := c.Generate(ctx, client.Request{
			Model: overheadModel, Prompt: lengthPrompt(tokens), MaxTokens: tokens,
		})
		if err != nil {
			return 0, 0, err
		}
		defer stream.Close()
		return timeTokens(begin, tokens, func() error {
			_, err := stream.Next()
			return err
		})
	}
}

func lengthPrompt(tokens int) string { return fmt.Sprintf("[[len=%d]]", tokens) }

// timeTokens reads a stream to its end and returns the times since begin of the first token and of
// the end. It fails if the stream has fewer than the given number of tokens. The last frame of the
// engine carries no token, so the number of frames may exceed that of the tokens.
func timeTokens(begin time.Time, tokens int, next func() error) (first, total time.Duration, err error) {
	for i := 0; ; i++ {
		err := next()
		if errors.Is(err, io.EOF) {
			if i < tokens {
				return 0, 0, eris.Errorf("stream ended after %d of %d tokens", i, tokens)
			}
			return first, time.Since(begin), nil
		}
		if err != nil {
			return 0, 0, err
		}
		if i == 0 {
			first = time.Since(begin)
		}
	}
}

// measurePaths measures every path with the same number of answers, alternating between the paths.
// The processes are those whose CPU time counts.
func measurePaths(ctx context.Context, paths []streamFunc, processes []*rig.Process) ([]PathCost, error) {
	costs := make([]PathCost, len(paths))
	firsts := make([][]float64, len(paths))
	perToken := make([][]float64, len(paths))
	processor := make([]time.Duration, len(paths))
	for range overheadShortAnswers {
		for i, p := range paths {
			first, _, err := p(ctx, 1)
			if err != nil {
				return nil, err
			}
			firsts[i] = append(firsts[i], micros(first))
		}
	}
	for range overheadLongAnswers {
		for i, p := range paths {
			before := cpuTime(processes)
			first, total, err := p(ctx, overheadAnswerTokens)
			if err != nil {
				return nil, err
			}
			processor[i] += cpuTime(processes) - before
			perToken[i] = append(perToken[i], micros(total-first)/(overheadAnswerTokens-1))
		}
	}
	for i := range costs {
		slices.Sort(firsts[i])
		costs[i] = PathCost{
			FirstP50:  firsts[i][len(firsts[i])/2],
			FirstP99:  firsts[i][len(firsts[i])*99/100],
			PerToken:  spreadOf(perToken[i]),
			Processor: micros(processor[i]) / (overheadLongAnswers * overheadAnswerTokens),
		}
	}
	return costs, nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Indices of the user and system time among the fields of /proc/PID/stat that follow the process
// name in parentheses.
const (
	statUser   = 11
	statSystem = 12
)

// cpuTime returns the total CPU time that the processes have used so far, or 0 if it cannot
// be read, for example on systems without /proc.
func cpuTime(processes []*rig.Process) time.Duration {
	sum := time.Duration(0)
	for _, p := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			return 0
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{statUser, statSystem} {
			if n, err := strconv.Atoi(fields[i]); err == nil {
				sum += time.Duration(n) * clockTick
			}
		}
	}
	return sum
}

// Markdown renders the comparison as a table.
func (o *Overhead) Markdown() string {
	var b strings.Builder
	b.WriteString("| | direct | through a gateway | ratio |\n|---|---|---|---|\n")
	row := func(name string, direct, gateway float64) {
		fmt.Fprintf(&b, "| %s | %.1f | %.1f | %.2f |\n", name, direct, gateway, gateway/direct)
	}
	row("to the first token, p50, us", o.Direct.FirstP50, o.Gateway.FirstP50)
	row("to the first token, p99, us", o.Direct.FirstP99, o.Gateway.FirstP99)
	row("time of a token, median, us", o.Direct.PerToken.Median, o.Gateway.PerToken.Median)
	row("processor time of a token at engine and gateway, us", o.Direct.Processor, o.Gateway.Processor)
	fmt.Fprintf(&b, "\n%d answers of one token and %d of %d tokens on each path, in turn; time of a token ranges from %.1f to %.1f direct and from %.1f to %.1f through the gateway.\n",
		overheadShortAnswers, overheadLongAnswers, overheadAnswerTokens,
		o.Direct.PerToken.Min, o.Direct.PerToken.Max, o.Gateway.PerToken.Min, o.Gateway.PerToken.Max)
	return b.String()
}
