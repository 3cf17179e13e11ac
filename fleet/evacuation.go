package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
)

// Evacuation is a data centre whose endpoints get no requests.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Since is how long this node has known of the evacuation.
	Since time.Duration `json:"since_ns"`
	// Endpoints is the number of endpoints in service there, and Running the number of requests
	// that this node still runs on them.
	Endpoints int `json:"endpoints"`
	Running   int `json:"running"`
}

// evacuatedRetryDelay is the time after which callers may retry if all endpoints of their service
// are in evacuated data centres. The end of an evacuation is not known in advance.
const evacuatedRetryDelay = 2 * time.Second

// Evacuate replaces the set of evacuated data centres. Their endpoints get no new work, retries,
// copies of runs or resumed runs. Work that already runs there continues to its end.
func (f *Fleet) Evacuate(dataCentres []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	before := f.evacuated
	f.evacuated = make(map[string]time.Duration, len(dataCentres))
	for _, name := range dataCentres {
		since, known := before[name]
		if !known {
			since = now
		}
		f.evacuated[name] = since
	}
	for _, e := range f.byID {
		_, evacuated := f.evacuated[e.DataCentre]
		f.setEvacuatedLocked(e, evacuated, now)
	}
	f.dispatchAllLocked()
	f.refuseUnservableLocked()
}

func (f *Fleet) setEvacuatedLocked(e *Endpoint, evacuated bool, now time.Duration) {
	if e.isEvacuated == evacuated {
		return
	}
	e.isEvacuated = evacuated
	if evacuated {
		e.markUnusable()
		return
	}
	// The endpoint was idle and may have become cold; its entry reports that only with a delay.
	e.evacuationEndedAt = now
	if !e.isLeaving {
		e.unusable = make(chan struct{})
	}
}

// Evacuations returns the evacuated data centres, sorted by name.
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

// unservableLocked returns a refusal if no endpoint may run the work: all endpoints in its regions
// are in evacuated data centres, or there are none. Otherwise it returns nil.
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

// refuseUnservableLocked refuses waiting work that no endpoint may run any more, or whose wait
// would end before a limited or paused endpoint accepts it.
func (f *Fleet) refuseUnservableLocked() {
	now := f.now()
	for _, q := range f.queues {
		ahead := 0
		for _, w := range slices.Clone(q.waiting) {
			refusal := f.unservableLocked(w.work)
			if refusal == nil {
				refusal = f.refuseLongWaitLocked(w.work, ahead, w.deadline-now)
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
	return crocusreel.Refuse(crocusreel.ReasonEvacuated, crocusreel.OutcomeNotRun, evacuatedRetryDelay,
		"all endpoints of service %q are in evacuated data centres", w.Service.Name)
}

func refuseNoneInRegions(w *Work) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, noEndpointRetryDelay,
		"no endpoint of service %q is in service in regions %q", w.Service.Name, w.Regions)
}
