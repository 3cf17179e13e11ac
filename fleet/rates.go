package fleet

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/enginerate"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// The engines of a service may differ in speed. The nodes learn their rates from the streams that they
// serve (package enginerate), report them to each other, and place work by them while they differ.

const (
	// ratesRefreshInterval is the interval at which the rates of a service's engines are computed.
	ratesRefreshInterval = 250 * time.Millisecond
	// maxBroadcastRates is the maximum number of engines whose rates are in a datagram.
	maxBroadcastRates = 16
	// ratesBroadcastTime is how long after its last observation the rate of an engine is broadcast:
	// the time of several regular datagrams.
	ratesBroadcastTime = 3 * time.Second
	// gapTargetLifetime is the time after which a GapTarget that no work has had is forgotten.
	gapTargetLifetime = time.Minute
)

// The stutter of a service is the factor by which the gaps between events are longer at times than
// the engine's rate and its prefill explain. It is tracked as a quantile of the observed gaps, so that
// single gaps that the node itself has delayed do not count.
const (
	// stutterQuantile is what a stream of some fifty observations meets once.
	stutterQuantile = 0.98
	// stutterStep is the change for each observation. A change is followed within some hundred
	// observations.
	stutterStep = 0.1
	// initialStutter applies without observations, maxStutter bounds the effect of faulty engines.
	initialStutter = 2.5
	maxStutter     = 3.0
)

// serviceRates is what this node knows of the rates of a service's engines. It is guarded by the
// Fleet's lock.
type serviceRates struct {
	table       enginerate.Table
	refreshedAt time.Duration
	// gapTarget is the smallest GapTarget of recent work, 0 if there is none.
	gapTarget   time.Duration
	gapTargetAt time.Duration
	// stride is the number of tokens in an event.
	stride int
	// stutter is the factor by which gaps are longer at times.
	stutter float64
	// missing is the share of the engines of known rate on which streams would miss gapTarget.
	missing float64
}

// engineSpeed is what this node knows of the speed of an engine. It is kept apart from Endpoint, whose
// size determines the time of a choice among thousands of engines.
type engineSpeed struct {
	enginerate.Estimator
	// rate is the predicted rate, and known is set if it is based on evidence on this engine.
	rate  enginerate.Rate
	known bool
}

// EndpointRate is the rate of an engine as measured by one node.
type EndpointRate struct {
	Key EndpointKey
	enginerate.Report
}

// RatesChange is a change in whether the engines of a service differ in speed.
type RatesChange struct {
	Service   string
	Different bool
	// Ratio is that of the slowest third of the engines to the fastest third. Engines is the number
	// of engines whose steps are known.
	Ratio   float64
	Engines int
	// Step and PrefillPerSecond are the medians over the engines.
	Step             time.Duration
	PrefillPerSecond float64
}

func (f *Fleet) ratesLocked(service string) *serviceRates {
	s := f.rates[service]
	if s == nil {
		s = &serviceRates{stutter: initialStutter}
		f.rates[service] = s
	}
	return s
}

// observeLocked records the progress of a run that has now produced the given number of tokens. The
// first call after the prefill gives the time to the first event, each further one the average gap since
// the previous call. Tokens that a run has produced on another endpoint do not count.
func (p *Placement) observeLocked(tokens int) {
	f, e := p.fleet, p.endpoint
	if p.demand.Prompt == 0 || f.Disabled[EngineRates] {
		return
	}
	now := f.now()
	plausible := true
	switch produced := tokens - p.produced; {
	case p.prefilling:
		plausible = e.speed.ObserveFirstEvent(now, now-p.placedAt, p.pendingAtStart, p.decodingAtStart)
	case p.producedAt != 0 && produced > 0:
		perToken := (now - p.producedAt) / time.Duration(produced)
		plausible = e.speed.ObserveGap(now, perToken, e.total().Count)
		if e.speed.known {
			f.ratesLocked(e.Service).recordStutter(perToken, undisturbedGap(e))
		}
	}
	if !plausible {
		metrics.Count("engine_rate_impossible")
	}
	p.producedAt = now
	f.rated[e] = struct{}{}
}

// startObservationLocked records the load that the prefill of a new run meets. A prompt ahead of it is
// half done on average.
func (p *Placement) startObservationLocked(load Load) {
	p.pendingAtStart = load.PendingPrefill/2 + p.demand.Prompt
	p.decodingAtStart = decodingRuns(load, p.demand.Prompt)
	if s := p.fleet.rates[p.endpoint.Service]; s != nil && s.table.Different {
		speed := p.endpoint.speed
		p.Predicted = Prediction{
			Step:       speed.rate.Step,
			Known:      speed.known,
			FirstEvent: speed.rate.FirstEvent(load.PendingPrefill+p.demand.Prompt, p.decodingAtStart),
			Pause:      s.pause(speed.rate, s.stride, load.Count+1),
		}
	}
}

// Prediction is what the choice of an engine by its rate was based on.
type Prediction struct {
	// Step is the duration of a decoding step without other load. Known is set if it is based on
	// evidence on this engine.
	Step  time.Duration
	Known bool
	// FirstEvent is the time to the first event, and Pause the longest pause of the engine's streams.
	FirstEvent, Pause time.Duration
}

// decodingRuns returns the approximate number of runs whose prefill is complete, if all prompts are of
// the given length.
func decodingRuns(load Load, prompt int) int {
	prefilling := (load.PendingPrefill + prompt - 1) / max(prompt, 1)
	return max(load.Count-prefilling, 0)
}

// undisturbedGap returns the predicted time per token on the engine without stutter.
func undisturbedGap(e *Endpoint) time.Duration {
	load := e.total()
	gap := e.speed.rate.Gap(1, load.Count)
	if load.PendingPrefill > 0 {
		return time.Duration(enginerate.PrefillFactor * float64(gap))
	}
	return gap
}

// recordStutter compares an observed gap with the predicted one.
func (s *serviceRates) recordStutter(observed, predicted time.Duration) {
	if float64(observed) > s.stutter*float64(predicted) {
		s.stutter = min(s.stutter+stutterStep*stutterQuantile, maxStutter)
		return
	}
	s.stutter = max(s.stutter-stutterStep*(1-stutterQuantile), 1)
}

// noteWork records the GapTarget and the length of events of work that is to be placed.
func (s *serviceRates) noteWork(w *Work, now time.Duration) {
	target := w.GapTarget
	s.stride = max(w.Service.Engine.TokensPerEvent, 1)
	if target > 0 && (s.gapTarget == 0 || target <= s.gapTarget || now-s.gapTargetAt > gapTargetLifetime) {
		s.gapTarget, s.gapTargetAt = target, now
	}
}

// refreshRatesLocked computes the rates of a service's engines from the evidence of all nodes.
func (f *Fleet) refreshRatesLocked(service string, s *serviceRates, now time.Duration) {
	if s.refreshedAt != 0 && now-s.refreshedAt < ratesRefreshInterval {
		return
	}
	s.refreshedAt = now
	endpoints := f.services[service]
	estimates := make([]enginerate.Estimate, 0, len(endpoints))
	for _, e := range endpoints {
		estimates = append(estimates, e.speed.Merge(now))
	}
	changed, impossible := s.table.Update(now, estimates)
	for range impossible {
		metrics.Count("engine_rate_impossible")
	}
	known, missing := 0, 0
	for i, e := range endpoints {
		e.speed.rate, e.speed.known = s.table.Rate(now, estimates[i]), estimates[i].Any()
		if !e.speed.known {
			continue
		}
		if known++; s.gapTarget > 0 && s.pause(e.speed.rate, s.stride, e.total().Count+1) > s.gapTarget {
			missing++
		}
	}
	s.missing = float64(missing) / float64(max(known, 1))
	if changed {
		f.OnRates(RatesChange{
			Service: service, Different: s.table.Different, Ratio: s.table.Ratio, Engines: s.table.Engines,
			Step: s.table.Step, PrefillPerSecond: s.table.PrefillPerSecond,
		})
	}
}

// OwnRates returns the rates that this node has measured lately, to be sent to the other nodes.
func (f *Fleet) OwnRates() []EndpointRate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Disabled[EngineRates] {
		return nil
	}
	var rates []EndpointRate
	now := f.now()
	for e := range f.rated {
		report, ok := e.speed.Own(now)
		switch {
		case !ok || f.byKey[e.key] != e:
			delete(f.rated, e)
		case report.Age <= ratesBroadcastTime:
			rates = append(rates, EndpointRate{Key: e.key, Report: report})
		}
	}
	slices.SortFunc(rates, func(a, b EndpointRate) int { return int(a.Age - b.Age) })
	return rates[:min(len(rates), maxBroadcastRates)]
}

// SetRemoteRates applies the rates that another node has measured. A rate of an incarnation that is not
// in service is ignored.
func (f *Fleet) SetRemoteRates(node string, rates []EndpointRate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Disabled[EngineRates] {
		return
	}
	for _, r := range rates {
		if e := f.byKey[r.Key]; e != nil && !e.speed.SetRemote(node, r.Report, f.now()) {
			metrics.Count("engine_rate_impossible")
		}
	}
}
