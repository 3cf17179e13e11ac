package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
)

// Evacuation is a data centre to whose endpoints nothing is sent.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Since is the time for which this node has known of it.
	Since time.Duration `json:"since_ns"`
	// Endpoints are in service there, and Running is what this node still runs on them.
	Endpoints int `json:"endpoints"`
	Running   int `json:"running"`
}

// evacuatedRetry is when callers may come back whose service has endpoints in evacuated data
// centres only. The operator does not announce the end of an evacuation.
const evacuatedRetry = 2 * time.Second

// Evacuate replaces the set of data centres to whose endpoints nothing is sent: no new work, no
// retry, no copy of a run and no run that goes on. What runs there goes on to its end.
func (f *Fleet) Evacuate(dataCentres []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	before := f.evacuated
	f.evacuated = make(map[string]time.Duration, len(dataCentres))
	for _, name := range dataCentres {
		since, already := before[name]
		if !already {
			since = now
		}
		f.evacuated[name] = since
	}
	for _, e := range f.byID {
		_, is := f.evacuated[e.DataCentre]
		f.setEvacuatedLocked(e, is, now)
	}
	f.dispatchAllLocked()
	f.refuseUnservableLocked()
}

func (f *Fleet) setEvacuatedLocked(e *Endpoint, is bool, now time.Duration) {
	if e.isEvacuated == is {
		return
	}
	e.isEvacuated = is
	if is {
		e.markUnusable()
		return
	}
	// It had nothing to do and may have become cold, which its entry tells with a delay.
	e.evacuationEndedAt = now
	if !e.isLeaving {
		e.unusable = make(chan struct{})
	}
}

// Evacuations returns the data centres that are evacuated, in order of their names.
func (f *Fleet) Evacuations() []Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := make(map[string]*Evacuation, len(f.evacuated))
	for name, since := range f.evacuated {
		byName[name] = &Evacuation{DataCentre: name, Since: f.now() - since}
	}
	for _, e := range f.byID {
		if at := byName[e.DataCentre]; at != nil {
			at.Endpoints++
			at.Running += e.own.Count
		}
	}
	all := make([]Evacuation, 0, len(byName))
	for _, at := range byName {
		all = append(all, *at)
	}
	slices.SortFunc(all, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// unservableLocked returns the refusal of work that no endpoint may run: those in its regions
// are all in evacuated data centres, or there is none; nil for other work.
func (f *Fleet) unservableLocked(w *Work) *crocusreel.Refusal {
	if len(f.evacuated) == 0 && !w.RegionBound {
		return nil
	}
	evacuated := 0
	for _, e := range f.services[w.Service.Name] {
		switch {
		case e.isLeaving || !f.inRegionsLocked(e, w):
		case !e.isEvacuated:
			return nil
		default:
			evacuated++
		}
	}
	switch {
	case evacuated > 0:
		return refuseEvacuated(w)
	case w.RegionBound:
		return refuseNoneInRegions(w)
	default:
		return nil
	}
}

// refuseUnservableLocked ends the wait of work that no endpoint may run any more.
func (f *Fleet) refuseUnservableLocked() {
	now := f.now()
	for _, q := range f.queues {
		ahead := 0
		for _, w := range slices.Clone(q.waiting) {
			refusal := f.unservableLocked(w.work)
			if refusal == nil {
				refusal = f.beyondLocked(w.work, ahead, w.deadline-now)
			}
			if refusal == nil {
				ahead++
				continue
			}
			q.remove(w)
			w.done <- waitResult{refusal: refusal}
		}
	}
}

func refuseEvacuated(w *Work) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonEvacuated, crocusreel.OutcomeNotRun, evacuatedRetry,
		"all endpoints of service %q are in evacuated data centres", w.Service.Name)
}

func refuseNoneInRegions(w *Work) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, noEndpointRetry,
		"no endpoint of service %q is in service in regions %q", w.Service.Name, w.Regions)
}
