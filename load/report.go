package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

const (
	// StallFactor is the default stall threshold as a multiple of the median gap between tokens.
	StallFactor = 4
	// maxMicros is the upper bound of histogram values in microseconds, significantDigits
	// the number of decimal digits that histograms keep.
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the results of one run as seen by the callers.
type Report struct {
	Mix  string `json:"mix"`
	Seed uint64 `json:"seed"`
	// DurationS is the planned length of the sending period in seconds. ElapsedS is the time from
	// the start of the run to the last answer in seconds.
	DurationS float64 `json:"duration_s"`
	ElapsedS  float64 `json:"elapsed_s"`

	// Requests is the number of requests planned after the warm-up. The counts and times below
	// exclude the warm-up too, except for violations, OfferedTokensPerS and Client, which cover the
	// whole run. A closed-loop run has no warm-up.
	Requests int `json:"requests"`
	// NotSent counts requests that were not sent because the limit of requests in flight was
	// reached.
	NotSent int `json:"not_sent"`
	// Whole counts complete answers, replies of plain services included. Generations counts the
	// complete generations among them.
	Whole       int `json:"whole"`
	Generations int `json:"generations"`
	// Refusals counts requests that were sent but got no complete answer, by reason. The reasons
	// include failures at the client, such as a lost connection.
	Refusals map[crocusreel.Reason]int `json:"refusals"`
	// Violations counts answers that violated a guarantee. Examples describes the first of them, at
	// most maxExamples.
	Violations map[Violation]int `json:"violations"`
	Examples   []string          `json:"examples,omitempty"`

	// StallThresholdMS is the gap between tokens beyond which an answer is stalled. The stall time
	// of an answer is the sum, over its gaps, of the time in excess of the threshold.
	StallThresholdMS float64 `json:"stall_threshold_ms"`
	StallMeanMS      float64 `json:"stall_mean_ms"`
	StallP99MS       float64 `json:"stall_p99_ms"`
	// Stalled counts answers with a stall time above 0.
	Stalled int `json:"stalled"`

	// PreemptionsPer1000 is the number of preemptions per 1,000 complete generations.
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"`

	BetweenTokens Quantiles `json:"between_tokens"`
	// FirstToken and ShortFirst are the times to the first token of generations and of short
	// generations, Lookup is the time to the reply of a plain service. All are measured from the
	// planned arrival, so queueing and retries are included.
	FirstToken Quantiles `json:"first_token"`
	ShortFirst Quantiles `json:"short_first"`
	Lookup     Quantiles `json:"lookup"`

	// OfferedTokensPerS is the rate of tokens that the whole trace requests.
	OfferedTokensPerS float64 `json:"offered_tokens_per_s"`
	// Goodput is the number of tokens of complete answers received per second, counting tokens that
	// arrived after the warm-up and within the sending period. In a closed loop all tokens of
	// complete answers count.
	Goodput float64 `json:"goodput"`
	// Fairness is Jain's index over the served tokens of the workspaces, each divided by its
	// weighted max-min fair share of all served tokens. Answers count whenever they arrive, also
	// after the sending period, so the index reflects refusals but not waiting times.
	Fairness float64       `json:"fairness"`
	Client   client.Counts `json:"client"`

	// curves are the distributions for the plot.
	curves []curve
}

// Quantiles summarizes a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// OK reports whether no answer violated a guarantee.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// maxExamples is the maximum length of Report.Examples.
const maxExamples = 10

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range, and the value is clamped to the range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// report aggregates the results. It must be called after all requests have ended.
func (r *runner) report(elapsed time.Duration) *Report {
	rep := &Report{
		Mix:        r.trace.Mix.Name,
		Seed:       r.trace.Seed,
		DurationS:  r.trace.Duration.Seconds(),
		ElapsedS:   elapsed.Seconds(),
		Refusals:   map[crocusreel.Reason]int{},
		Violations: map[Violation]int{},
	}
	r.countOutcomes(rep)
	r.measureTimes(rep)
	r.measureTokens(rep, elapsed)
	for _, c := range r.clients {
		n := c.Counts()
		rep.Client.Retries += n.Retries
		rep.Client.Resumes += n.Resumes
		rep.Client.Restarts += n.Restarts
	}
	return rep
}

// measured reports whether the request counts in the statistics. Requests of the warm-up do not; a
// closed-loop run has no warm-up.
func (r *runner) measured(res *result) bool {
	return r.opts.ClosedLoop || res.item.At >= r.opts.Warmup
}

func (r *runner) countOutcomes(rep *Report) {
	for i := range r.results {
		res := &r.results[i]
		r.countViolation(rep, res)
		if !r.measured(res) {
			continue
		}
		rep.Requests++
		switch {
		case !res.sent:
			rep.NotSent++
		case res.complete:
			rep.Whole++
		default:
			rep.Refusals[res.failureReason]++
		}
	}
}

// countViolation counts violations in the warm-up too, because the guarantees hold at all times.
func (r *runner) countViolation(rep *Report, res *result) {
	if res.violation == "" {
		return
	}
	rep.Violations[res.violation]++
	if len(rep.Examples) < maxExamples {
		rep.Examples = append(rep.Examples, res.item.Key+": "+string(res.violation)+": "+res.violationDetail)
	}
}

func (r *runner) measureTimes(rep *Report) {
	between, first, short, lookup := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	preemptions := 0
	for i := range r.results {
		res := &r.results[i]
		if !r.measured(res) {
			continue
		}
		for _, gap := range res.gaps {
			record(between, gap)
		}
		if !res.complete {
			continue
		}
		switch res.item.Template.Kind {
		case KindGeneration:
			record(first, res.firstLatency)
		case KindShort:
			record(short, res.firstLatency)
		case KindLookup:
			record(lookup, res.firstLatency)
		}
		if res.item.Template.Kind.isGeneration() {
			rep.Generations++
			preemptions += res.preemptions
		}
	}
	rep.curves = []curve{
		newCurve("between tokens", between), newCurve("to first token", first),
		newCurve("to first token, short", short), newCurve("lookups", lookup),
	}
	rep.BetweenTokens = quantiles(between)
	rep.FirstToken = quantiles(first)
	rep.ShortFirst = quantiles(short)
	rep.Lookup = quantiles(lookup)
	if rep.Generations > 0 {
		rep.PreemptionsPer1000 = 1000 * float64(preemptions) / float64(rep.Generations)
	}
	r.measureStalls(rep)
}

// measureStalls computes the stall times of all generations that received a token or completed.
func (r *runner) measureStalls(rep *Report) {
	threshold := r.opts.StallThreshold
	if threshold == 0 {
		threshold = time.Duration(StallFactor * rep.BetweenTokens.P50 * float64(time.Millisecond))
	}
	var stalls []time.Duration
	sum := time.Duration(0)
	for i := range r.results {
		res := &r.results[i]
		if !r.measured(res) || !res.item.Template.Kind.isGeneration() || (res.firstLatency == 0 && !res.complete) {
			continue
		}
		stall := stallTime(res.gaps, threshold)
		sum += stall
		stalls = append(stalls, stall)
		if stall > 0 {
			rep.Stalled++
		}
	}
	rep.StallThresholdMS = millis(threshold)
	if len(stalls) == 0 {
		return
	}
	slices.Sort(stalls)
	rep.StallMeanMS = millis(sum) / float64(len(stalls))
	rep.StallP99MS = millis(stalls[(len(stalls)-1)*99/100])
}

// stallTime returns the sum of the time by which each gap exceeds the threshold.
func stallTime(gaps []time.Duration, threshold time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, gap := range gaps {
		if gap > threshold {
			sum += gap - threshold
		}
	}
	return sum
}

func (r *runner) measureTokens(rep *Report, elapsed time.Duration) {
	window := r.trace.Duration - r.opts.Warmup
	if r.opts.ClosedLoop {
		window = elapsed
	}
	demand := map[string]float64{}
	served := map[string]float64{}
	tokens := 0
	for i := range r.results {
		res := &r.results[i]
		if res.complete {
			tokens += r.goodputTokens(res)
		}
		if !r.measured(res) {
			continue
		}
		demand[res.item.Workspace] += float64(res.item.Tokens)
		if res.complete {
			served[res.item.Workspace] += float64(res.item.Tokens)
		}
	}
	if window > 0 {
		rep.Goodput = float64(tokens) / window.Seconds()
	}
	if r.trace.Duration > 0 {
		rep.OfferedTokensPerS = float64(r.trace.Tokens()) / r.trace.Duration.Seconds()
	}
	rep.Fairness = fairness(r.trace.Mix.Workspaces, demand, served)
}

// goodputTokens returns the number of tokens of a complete answer that count towards goodput. In an
// open-loop run it excludes tokens received after the sending period: once arrivals stop, the
// backlog drains completely, and counting it would hide overload.
func (r *runner) goodputTokens(res *result) int {
	if r.opts.ClosedLoop {
		return res.item.Tokens
	}
	return res.measuredTokens
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
