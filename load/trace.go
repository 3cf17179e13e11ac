package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/crocusreel/crocusreel"
)

// markerTokens is the length, in tokens, of the marker in a prompt that sets the length of the
// answer of a stand-in engine.
const markerTokens = 3

// correlationPeriod is the time after which the common component of the answer lengths of a
// workspace is drawn again; see RequestTemplate.Correlation.
const correlationPeriod = 2 * time.Second

// Item is one planned request.
type Item struct {
	// At is the planned time of sending, relative to the start of the run.
	At        time.Duration
	Workspace string
	Template  *RequestTemplate
	// Tokens is the expected length of the answer; 0 for plain calls.
	Tokens int
	Prompt string
	// Key is the idempotency key.
	Key string
}

// Class returns the request class under which the item is sent.
func (i Item) Class() crocusreel.Class {
	switch i.Template.Kind {
	case KindGeneration:
		return crocusreel.ClassGeneration
	case KindShort:
		return crocusreel.ClassShort
	default:
		return crocusreel.ClassLookup
	}
}

// Trace is the sequence of requests of a run. Traces are deterministic: equal mixes, sizes and
// seeds give equal traces.
type Trace struct {
	Mix  *Mix
	Seed uint64
	// Duration is the length of the sending period.
	Duration time.Duration
	// Items are sorted by At.
	Items []Item
}

// Tokens returns the total number of tokens that the trace requests.
func (t Trace) Tokens() int {
	sum := 0
	for _, i := range t.Items {
		sum += i.Tokens
	}
	return sum
}

// NewTrace returns a trace of the given duration with Poisson arrivals at the given rate in
// requests per second.
func NewTrace(mix *Mix, rate float64, duration time.Duration, seed uint64) Trace {
	g := newTraceGenerator(mix, seed)
	t := Trace{Mix: mix, Seed: seed, Duration: duration}
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return t
		}
		t.Items = append(t.Items, g.newItem(at))
	}
}

// NewCountTrace returns a trace of the given number of requests with Poisson arrivals at the given
// rate in requests per second. Its duration ends with the last arrival.
func NewCountTrace(mix *Mix, rate float64, requests int, seed uint64) Trace {
	g := newTraceGenerator(mix, seed)
	t := Trace{Mix: mix, Seed: seed}
	at := time.Duration(0)
	for range requests {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		t.Items = append(t.Items, g.newItem(at))
	}
	t.Duration = at
	return t
}

// NewTokenTrace returns a trace whose requests add up to at least the given number of tokens; only
// the last request may exceed it. Arrival times are uniform over the duration, which is the
// distribution of a Poisson process conditioned on its number of arrivals. The offered load is
// therefore the same for every seed, up to the length of one answer, however heavy the tail of the
// lengths is.
func NewTokenTrace(mix *Mix, tokens int, duration time.Duration, seed uint64) Trace {
	g := newTraceGenerator(mix, seed)
	t := Trace{Mix: mix, Seed: seed, Duration: duration}
	for sum := 0; sum < tokens; {
		at := time.Duration(g.random.Float64() * float64(duration))
		item := g.newItem(at)
		sum += item.Tokens
		t.Items = append(t.Items, item)
	}
	slices.SortStableFunc(t.Items, func(a, b Item) int { return cmp.Compare(a.At, b.At) })
	return t
}

// traceGenerator draws the items of a trace.
type traceGenerator struct {
	mix       *Mix
	seed      uint64
	random    *rand.Rand
	itemCount int
	// prefixes holds the shared prefixes of prompts, keyed by workspace and request template.
	prefixes map[string]string
}

func newTraceGenerator(mix *Mix, seed uint64) *traceGenerator {
	return &traceGenerator{
		mix:      mix,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, 0)),
		prefixes: map[string]string{},
	}
}

func (g *traceGenerator) newItem(at time.Duration) Item {
	workspace := g.pickWorkspace()
	template := g.pickTemplate()
	g.itemCount++
	item := Item{
		At:        at,
		Workspace: workspace.Name,
		Template:  template,
		Key:       fmt.Sprintf("load-%d-%d-%08x", g.seed, g.itemCount, g.random.Uint32()),
	}
	if template.Kind.isGeneration() {
		item.Tokens = g.length(at, workspace, template)
		item.Prompt = g.prompt(workspace, template, item.Tokens)
	}
	return item
}

func (g *traceGenerator) pickWorkspace() *Workspace {
	list := g.mix.Workspaces
	i := g.pickWeighted(len(list), func(i int) float64 { return list[i].Share })
	return &list[i]
}

func (g *traceGenerator) pickTemplate() *RequestTemplate {
	list := g.mix.Work
	i := g.pickWeighted(len(list), func(i int) float64 { return list[i].Share })
	return &list[i]
}

func (g *traceGenerator) pickWeighted(n int, share func(int) float64) int {
	total := 0.0
	for i := range n {
		total += share(i)
	}
	x := g.random.Float64() * total
	for i := range n {
		x -= share(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// length draws a lognormal answer length in tokens. A fraction RequestTemplate.Correlation of the
// variance of its logarithm is common to the workspace within a period of length correlationPeriod.
func (g *traceGenerator) length(at time.Duration, ws *Workspace, template *RequestTemplate) int {
	z := math.Sqrt(template.Correlation)*g.sharedNormal(at, ws) +
		math.Sqrt(1-template.Correlation)*g.random.NormFloat64()
	median := template.TokensMedian
	if template.Kind == KindGeneration {
		median *= ws.LengthFactor
	}
	n := int(math.Round(median * math.Exp(template.TokensSigma*z)))
	return min(max(n, 1), template.MaxTokens)
}

// sharedNormal returns a standard normal value that depends only on the seed, the workspace and the
// period of length correlationPeriod that contains at.
func (g *traceGenerator) sharedNormal(at time.Duration, ws *Workspace) float64 {
	hash := uint64(14695981039346656037)
	for _, b := range []byte(ws.Name) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	period := uint64(at / correlationPeriod)
	return rand.New(rand.NewPCG(g.seed^hash, period)).NormFloat64()
}

// prompt builds a prompt of about RequestTemplate.PromptTokens tokens. It starts with the prefix
// shared within the workspace and ends with the marker that sets the answer length of stand-in
// engines to tokens.
func (g *traceGenerator) prompt(ws *Workspace, template *RequestTemplate, tokens int) string {
	name := ws.Name + "/" + template.Name
	prefix, ok := g.prefixes[name]
	if !ok {
		prefix = fillerText("shared-"+name, template.SharedPromptTokens)
		g.prefixes[name] = prefix
	}
	uniqueTokens := max(template.PromptTokens-template.SharedPromptTokens-markerTokens, 0)
	uniqueStem := fmt.Sprintf("own%d", g.itemCount)
	return prefix + fillerText(uniqueStem, uniqueTokens) + fmt.Sprintf("[[len=%d]]", tokens)
}

// bytesPerToken is the mean token length that gateways and stand-in engines assume to estimate the
// number of tokens of a prompt.
const bytesPerToken = 4

// fillerText returns a text of n tokens, that is n*bytesPerToken bytes, made of repetitions of
// stem.
func fillerText(stem string, n int) string {
	if n <= 0 {
		return ""
	}
	size := n * bytesPerToken
	return strings.Repeat(stem+" ", size/(len(stem)+1)+1)[:size]
}
