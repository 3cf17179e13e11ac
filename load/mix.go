// Package load generates load: it sends request mixes, reproducible by seed, to the gateways,
// verifies every answer and reports latency, throughput and errors as seen by the callers.
package load

import (
	"math"
	"os"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/examples"
	"github.com/crocusreel/crocusreel/internal/tomlcheck"
)

// Kind classifies the requests of a mix.
type Kind string

// Kinds of requests.
const (
	// KindGeneration is a streamed generation of unknown length.
	KindGeneration Kind = "generation"
	// KindShort is a short streamed generation.
	KindShort Kind = "short"
	// KindLookup is an idempotent call to a plain service, that is, one without an engine.
	KindLookup Kind = "lookup"
	// KindNonIdempotent is a call to a plain service that must be executed at most once.
	KindNonIdempotent Kind = "non_idempotent"
)

// isGeneration reports whether requests of this kind are generations, which run on an engine.
func (k Kind) isGeneration() bool { return k == KindGeneration || k == KindShort }

// Mix describes the request traffic of one deployment.
type Mix struct {
	Name string `toml:"name" required:"true"`
	// Model is the model of all generations.
	Model string `toml:"model" required:"true"`
	// FirstMeasure is the metric that matters most to the deployment: "stall" or "preemption".
	FirstMeasure string `toml:"first_measure" default:"stall" oneof:"stall|preemption"`
	// StallWeight and PreemptionWeight are the weights of the two costs in the deployment's
	// configuration.
	StallWeight      float64           `toml:"stall_weight" default:"1" min:"0"`
	PreemptionWeight float64           `toml:"preemption_weight" default:"1" min:"0"`
	Workspaces       []Workspace       `toml:"workspaces" required:"true"`
	Work             []RequestTemplate `toml:"work" required:"true"`
}

// Workspace is one customer in a mix.
type Workspace struct {
	Name string `toml:"name" required:"true"`
	// Share is the relative share of all requests that this workspace sends; the shares need not
	// add up to 1.
	Share float64 `toml:"share" default:"1" min:"0"`
	// Weight is the weight of the workspace under contention, as in the configuration.
	Weight float64 `toml:"weight" default:"1" min:"0.001"`
	// LengthFactor scales the median length of the workspace's generations; short generations are
	// not scaled.
	LengthFactor float64 `toml:"length_factor" default:"1" min:"0.01" max:"100"`
}

// RequestTemplate describes one type of request in a mix.
type RequestTemplate struct {
	Name string `toml:"name" required:"true"`
	Kind Kind   `toml:"kind" required:"true" oneof:"generation|short|lookup|non_idempotent"`
	// Share is the relative share of this type among all requests; the shares need not add up to 1.
	Share float64 `toml:"share" default:"1" min:"0"`
	// PromptTokens is the length of the prompt. Its first SharedPromptTokens tokens are the same
	// for all requests of this type from one workspace.
	PromptTokens       int `toml:"prompt_tokens" default:"32" min:"1" max:"100000"`
	SharedPromptTokens int `toml:"shared_prompt_tokens" default:"0" min:"0" max:"100000"`
	// TokensMedian and TokensSigma are the median and the sigma (standard deviation of the
	// logarithm) of the lognormal distribution of answer lengths in tokens.
	TokensMedian float64 `toml:"tokens_median" default:"100" min:"1" max:"100000"`
	TokensSigma  float64 `toml:"tokens_sigma" default:"0.5" min:"0" max:"3"`
	// MaxTokens is the maximum length of an answer.
	MaxTokens int `toml:"max_tokens" default:"4096" min:"1" max:"100000"`
	// Correlation is the fraction, from 0 to 1, of the variance of the log length that is common to
	// all requests of a workspace within the same period of length correlationPeriod.
	Correlation float64 `toml:"correlation" default:"0" min:"0" max:"1"`
	Priority    int     `toml:"priority" default:"0" min:"-10" max:"10"`
	// Method and Path are the HTTP method and path of calls to plain services.
	Method string `toml:"method" default:"GET" oneof:"GET|POST|PUT|PATCH|DELETE"`
	Path   string `toml:"path" default:"/"`
}

// ParseMix parses a mix from TOML. The file name is used in error messages only. The error lists
// every problem found.
func ParseMix(file, text string) (*Mix, error) {
	m := new(Mix)
	problems := tomlcheck.Load(file, text, m)
	if len(problems) == 0 {
		checkShares(file, m, &problems)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

func checkShares(file string, m *Mix, problems *tomlcheck.Problems) {
	workspaces, work := 0.0, 0.0
	for _, w := range m.Workspaces {
		workspaces += w.Share
	}
	for _, w := range m.Work {
		work += w.Share
	}
	if workspaces <= 0 {
		problems.Add(file, "workspaces", "shares that add up to 0", "at least one share above 0")
	}
	if work <= 0 {
		problems.Add(file, "work", "shares that add up to 0", "at least one share above 0")
	}
}

// LoadMix reads the mix from the file with the given name. If no such file exists, it returns the
// embedded example mix of that name.
func LoadMix(name string) (*Mix, error) {
	text, err := os.ReadFile(name)
	if err == nil {
		return ParseMix(name, string(text))
	}
	if !os.IsNotExist(err) {
		return nil, eris.Wrap(err, "read mix")
	}
	example, err := examples.Mix(name)
	if err != nil {
		return nil, err
	}
	return ParseMix(name, example)
}

// MeanTokens returns the expected number of generated tokens per request of the mix, plain calls
// included. It ignores the limits on the length of an answer.
func (m *Mix) MeanTokens() float64 {
	factor, shares := 0.0, 0.0
	for _, w := range m.Workspaces {
		factor += w.Share * w.LengthFactor
		shares += w.Share
	}
	factor /= shares
	tokens, total := 0.0, 0.0
	for _, w := range m.Work {
		total += w.Share
		if !w.Kind.isGeneration() {
			continue
		}
		mean := w.TokensMedian * math.Exp(w.TokensSigma*w.TokensSigma/2)
		if w.Kind == KindGeneration {
			mean *= factor
		}
		tokens += w.Share * mean
	}
	return tokens / total
}
