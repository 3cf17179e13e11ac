package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// Load that comes back onto a data centre whose endpoints have turned cold while it was
// evacuated: all nodes find a quarter of the engines empty at the same moment, with work
// that has waited for room.
const (
	returnNodes   = 75
	returnCentres = 4
	// returnAt is when the evacuation ends, returnFor how long the case is played.
	returnAt  = 4 * time.Second
	returnFor = 8 * time.Second
	// returnNews is the time in which news of a node or of an evacuation is everywhere.
	returnNews = 20 * time.Millisecond
	returnLate = 300 * time.Millisecond
)

// returnLoad is the work of one service.
type returnLoad struct {
	name string
	// perCentre is the number of endpoints in each data centre, rate that of requests a second
	// at all nodes together.
	perCentre int
	rate      float64
	service   routing.Service
	// size draws the prompt and the output of a request; nil for lookups.
	size func(random *rand.Rand) fleet.Demand
}

var returnLoads = []returnLoad{
	{
		name: "generations", perCentre: 12, rate: 66,
		service: routing.Service{
			Name: "s", ColdStart: 2 * time.Second, ColdPerSecond: coldRate,
			Engine: &routing.EngineSpec{Slots: 24, CacheTokens: 21_861, BytesPerToken: 18_432, LinkMbps: 2700},
		},
		size: func(random *rand.Rand) fleet.Demand {
			if random.Float64() < 0.34 {
				return fleet.Demand{Prompt: 3000, Output: 190}
			}
			return fleet.Demand{Prompt: 2200, Output: 12}
		},
	},
	{
		name: "lookups", perCentre: 2, rate: 157,
		service: routing.Service{Name: "s", ColdStart: 2 * time.Second, ColdPerSecond: coldRate},
	},
}

type returnWorld struct {
	returnLoad
	began  time.Time
	fleets []*fleet.Fleet
	mu     sync.Mutex
	// sent are the times at which requests went to each endpoint.
	sent   map[string][]time.Duration
	served int
}

func (w *returnWorld) now() time.Duration { return time.Since(w.began) }

func centre(i int) string { return fmt.Sprintf("dc%d", i) }

func newReturnWorld(load returnLoad, random *rand.Rand) *returnWorld {
	w := &returnWorld{returnLoad: load, began: time.Now(), sent: make(map[string][]time.Duration)}
	for i := range returnNodes {
		f := fleet.New(centre(i%returnCentres), w.now)
		f.Name = fmt.Sprintf("10.0.0.%d-%d", i, random.Uint32())
		f.Population = func() fleet.Population { return fleet.Population{Nodes: returnNodes, Heard: true} }
		f.Wake = func(after time.Duration) { time.AfterFunc(after, f.Tick) }
		f.Changed = func(string) { time.AfterFunc(returnNews, func() { w.tell(f) }) }
		for e := range returnCentres * w.perCentre {
			f.Update(fleet.Instance{ID: fmt.Sprintf("e%d", e), Service: "s", DataCentre: centre(e / w.perCentre), Slots: 24})
		}
		f.Evacuate([]string{centre(0)})
		w.fleets = append(w.fleets, f)
	}
	return w
}

// tell tells all other nodes what a node runs.
func (w *returnWorld) tell(f *fleet.Fleet) {
	loads, waiting := f.OwnLoads(), f.OwnWaiting()
	for _, other := range w.fleets {
		if other != f {
			other.SetRemote(f.Name, loads, waiting)
		}
	}
}

// request runs one request at a node.
func (w *returnWorld) request(f *fleet.Fleet, demand fleet.Demand) {
	want := fleet.Want{Service: &w.service, Demand: demand, Longest: demand.Output}
	p, refusal := f.Acquire(context.Background(), want, 3*time.Second)
	if refusal != nil {
		return
	}
	w.mu.Lock()
	w.served++
	w.sent[p.Instance().ID] = append(w.sent[p.Instance().ID], w.now())
	w.mu.Unlock()
	if demand.Prompt == 0 {
		time.Sleep(60 * time.Millisecond)
	} else {
		time.Sleep(time.Duration(demand.Prompt) * time.Second / 7500)
		p.Produced(1)
		time.Sleep(time.Duration(demand.Output) * 9 * time.Millisecond)
	}
	p.Release(fleet.Good)
}

func (w *returnWorld) play(random *rand.Rand, times float64) {
	for _, f := range w.fleets {
		late := time.Duration(random.Int64N(int64(returnLate)))
		time.AfterFunc(returnAt+late, func() { f.Evacuate(nil) })
	}
	var running sync.WaitGroup
	for w.now() < returnFor {
		time.Sleep(time.Duration(random.ExpFloat64() / (times * w.rate) * float64(time.Second)))
		var demand fleet.Demand
		if w.size != nil {
			demand = w.size(random)
		}
		f := w.fleets[random.IntN(len(w.fleets))]
		running.Go(func() { w.request(f, demand) })
	}
	running.Wait()
}

// Guards against a data centre that is crushed at the moment at which it is taken back.
func TestLoadThatReturnsOntoAColdDataCentre(t *testing.T) {
	const bound = coldRate*3/2 + coldSlack
	for _, load := range returnLoads {
		for _, times := range []float64{1, 5} {
			t.Run(fmt.Sprintf("%s at %g times the rate", load.name, times), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, 2))
					w := newReturnWorld(load, random)
					w.play(random, times)
					returned, most := 0, 0
					for e := range w.perCentre {
						id := fmt.Sprintf("e%d", e)
						sent := w.sent[id]
						returned += len(sent)
						cold := slices.DeleteFunc(slices.Clone(sent), func(at time.Duration) bool { return at > returnAt+w.service.ColdStart })
						most = max(most, mostInASecond(cold))
						if len(sent) > 0 && sent[0] < returnAt {
							t.Errorf("%s got a request %v before the end of the evacuation", id, returnAt-sent[0])
						}
					}
					if most > bound {
						t.Errorf("%d requests to one endpoint in a second, %d are allowed", most, bound)
					}
					if returned == 0 {
						t.Error("no request went to the data centre after its evacuation")
					}
					t.Logf("%d served, %d of them there, at most %d a second at one endpoint", w.served, returned, most)
				})
			})
		}
	}
}
