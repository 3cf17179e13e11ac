// Package experiment compares scheduling policies. Each policy runs the same seeded traces on a
// complete system of its own, which consists of real processes on the loopback interface and
// time-scaled stand-in engines. The results are reported side by side.
package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/config"
)

// Setting is a scheduling policy with its parameters.
type Setting struct {
	// Name is unique. Family groups settings of one policy, which form one frontier in the plots.
	Name      string  `json:"name"`
	Family    string  `json:"family"`
	Policy    string  `json:"policy"`
	Scope     string  `json:"scope"`
	Watermark float64 `json:"watermark"`
	// StallWeight and PreemptionWeight, if at least one is set, replace the weights of the mix.
	StallWeight      float64 `json:"stall_weight,omitempty"`
	PreemptionWeight float64 `json:"preemption_weight,omitempty"`
}

// Families of settings.
const (
	FamilyRoundRobin       = "round robin"
	FamilyLeastOutstanding = "least outstanding"
	FamilyPowerOfTwo       = "power of two"
	FamilyWatermark        = "watermark"
	FamilyReservation      = "reservation (ours)"
	FamilyOracle           = "oracle"
)

// baselinePolicies are the baseline policies without joint admission.
var baselinePolicies = []struct{ policy, family string }{
	{config.PolicyRoundRobin, FamilyRoundRobin},
	{config.PolicyLeastOutstanding, FamilyLeastOutstanding},
	{config.PolicyPowerOfTwo, FamilyPowerOfTwo},
}

// baselines returns the baselines in which each gateway decides independently, based on lagged load
// reports, with the given watermark. 0 means no watermark.
func baselines(watermark float64) []Setting {
	var out []Setting
	for _, p := range baselinePolicies {
		name := p.family
		if watermark > 0 {
			name = fmt.Sprintf("%s, watermark %.2f", p.family, watermark)
		}
		out = append(out, Setting{
			Name: name, Family: p.family, Policy: p.policy, Scope: config.ScopeGateway, Watermark: watermark,
		})
	}
	return out
}

// pooledWatermark returns the watermark policy with joint admission and exact counts. It is the
// main baseline for the comparison with the reservation policy.
func pooledWatermark(watermark float64) Setting {
	return Setting{
		Name: fmt.Sprintf("watermark %.2f", watermark), Family: FamilyWatermark,
		Policy: config.PolicyWatermark, Scope: config.ScopePool, Watermark: watermark,
	}
}

// reservation returns the reservation policy with the weights of the mix. Every list of settings
// ends with it and the oracle.
func reservation() Setting {
	return Setting{Name: FamilyReservation, Family: FamilyReservation, Policy: config.PolicyReservation, Scope: config.ScopePool}
}

// reservationWithWeights returns the reservation policy with weights of stall and preemption that
// replace those of the mix.
func reservationWithWeights(stall, preemption float64) Setting {
	s := reservation()
	s.Name = fmt.Sprintf("reservation, stall %g to preemption %g", stall, preemption)
	s.StallWeight, s.PreemptionWeight = stall, preemption
	return s
}

// oracle returns the policy that knows the length of every answer in advance.
func oracle() Setting {
	return Setting{Name: FamilyOracle, Family: FamilyOracle, Policy: config.PolicyOracle, Scope: config.ScopePool}
}

// Series runs each setting at each load with each seed.
type Series struct {
	Settings []Setting
	// Loads are the offered loads as fractions of the calibrated capacity.
	Loads []float64
	Seeds []uint64
}

// Plan describes an experiment.
type Plan struct {
	Mixes  []string
	Series []Series
	// Duration is the length of the sending period of a run. Its first part, Warmup, is not
	// measured.
	Duration, Warmup time.Duration
	// Drain is the maximum wait for answers after the last request of a run.
	Drain time.Duration
	System
}

// System describes the system on which each run is executed. Each gateway runs on a VM of its own
// together with a controller.
type System struct {
	Gateways int
	Engines  int
	// KVCapacity is the KV memory of each engine in tokens.
	KVCapacity int
	MaxBatch   int
	// TimeScale divides the step times of the engines.
	TimeScale float64
	// ReportLag is the delay of the load reports of the engines.
	ReportLag time.Duration
	// Bin is the directory of the executables. Settings and logs are written below Dir.
	Bin, Dir string
	// Faults injects faults into engines and a gateway during each run.
	Faults bool
}

// HighLoad is the load, as a fraction of capacity, at which most aims are checked.
const HighLoad = 0.95

func defaultSystem() System {
	return System{
		Gateways:   4,
		Engines:    3,
		KVCapacity: 8000,
		MaxBatch:   64,
		TimeScale:  4,
		ReportLag:  250 * time.Millisecond,
	}
}

// Full returns the plan of the experiment reported in docs/EXPERIMENTS.md.
func Full() Plan {
	var sweep []Setting
	sweep = append(sweep, baselines(0)...)
	for _, w := range []float64{0.6, 0.75, 0.9} {
		sweep = append(sweep, baselines(w)...)
	}
	for _, w := range []float64{0.5, 0.6, 0.7, 0.8, 0.9, 1.0} {
		sweep = append(sweep, pooledWatermark(w))
	}
	sweep = append(sweep, reservationWithWeights(100, 1), reservationWithWeights(1, 100), reservation(), oracle())
	return Plan{
		Mixes: []string{"schronisko", "postwerk"},
		Series: []Series{
			{Settings: sweep, Loads: []float64{HighLoad}, Seeds: []uint64{1, 2, 3}},
			{Settings: representativeSettings(), Loads: []float64{0.5, 0.8, 1.2, 2.0}, Seeds: []uint64{1}},
		},
		Duration: 14 * time.Second,
		Warmup:   4 * time.Second,
		Drain:    15 * time.Second,
		System:   defaultSystem(),
	}
}

// representativeSettings returns one setting of each family.
func representativeSettings() []Setting {
	return append(baselines(0), pooledWatermark(0.8), reservation(), oracle())
}

// FaultInjection returns a plan in which one engine slows down, another one crashes and restarts,
// and a gateway crashes in each run. The load is low enough for the remaining engines to serve.
func FaultInjection() Plan {
	p := Full()
	p.Series = []Series{{Settings: representativeSettings(), Loads: []float64{0.8}, Seeds: []uint64{1, 2}}}
	p.Faults = true
	return p
}

// Quick returns a plan for a trial with one load, one seed and few settings, which takes less than
// three minutes.
func Quick() Plan {
	p := Full()
	few := []Setting{baselines(0)[0], baselines(0)[2], pooledWatermark(0.8), reservation(), oracle()}
	p.Series = []Series{{Settings: few, Loads: []float64{HighLoad}, Seeds: []uint64{1}}}
	p.Duration = 6 * time.Second
	p.Warmup = 1500 * time.Millisecond
	p.Drain = 5 * time.Second
	return p
}

// WithFamilies returns a copy of the plan that contains only the settings of the given families.
func (p Plan) WithFamilies(families []string) Plan {
	var out []Series
	for _, s := range p.Series {
		kept := slices.DeleteFunc(slices.Clone(s.Settings), func(x Setting) bool {
			return !slices.Contains(families, x.Family)
		})
		if len(kept) > 0 {
			out = append(out, Series{Settings: kept, Loads: s.Loads, Seeds: s.Seeds})
		}
	}
	p.Series = out
	return p
}

// WithSeeds returns a copy of the plan with the seeds 1 to n in each series.
func (p Plan) WithSeeds(n int) Plan {
	series := slices.Clone(p.Series)
	for i := range series {
		series[i].Seeds = nil
		for seed := range n {
			series[i].Seeds = append(series[i].Seeds, uint64(seed+1))
		}
	}
	p.Series = series
	return p
}

// WithLoads returns a copy of the plan restricted to the given loads. Series that have none of them
// are removed.
func (p Plan) WithLoads(wanted []float64) Plan {
	var out []Series
	for _, s := range p.Series {
		s.Loads = slices.DeleteFunc(slices.Clone(s.Loads), func(l float64) bool { return !slices.Contains(wanted, l) })
		if len(s.Loads) > 0 {
			out = append(out, s)
		}
	}
	p.Series = out
	return p
}
