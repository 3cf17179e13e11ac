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

// Simulation of a data centre that returns from an evacuation with cold endpoints: all nodes find a
// quarter of the engines empty at the same moment, while work is waiting for capacity.
const (
	returnNodes   = 75
	returnCentres = 4
	// returnAt is the time at which the evacuation ends, returnDuration the length of the
	// simulation.
	returnAt       = 4 * time.Second
	returnDuration = 8 * time.Second
	// reportDelay is the delay with which load reports arrive at the other nodes,
	// maxEvacuationDelay the maximum delay with which a node learns of the end of the evacuation.
	reportDelay        = 20 * time.Millisecond
	maxEvacuationDelay = 300 * time.Millisecond
)

// serviceLoad describes the requests of one service.
type serviceLoad struct {
	name string
	// perCentre is the number of endpoints in each data centre. rate is the number of requests per
	// second at all nodes together.
	perCentre int
	rate      float64
	service   routing.Service
	// size draws the demand of a request; nil for lookups.
	size func(random *rand.Rand) fleet.Demand
}

var serviceLoads = []serviceLoad{
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

type returnSimulation struct {
	serviceLoad
	startedAt time.Time
	fleets    []*fleet.Fleet
	mu        sync.Mutex
	// sent holds the times at which requests were sent to each endpoint.
	sent   map[string][]time.Duration
	served int
}

func (w *returnSimulation) now() time.Duration { return time.Since(w.startedAt) }

func centre(i int) string { return fmt.Sprintf("dc%d", i) }

func newReturnSimulation(load serviceLoad, random *rand.Rand) *returnSimulation {
	w := &returnSimulation{serviceLoad: load, startedAt: time.Now(), sent: make(map[string][]time.Duration)}
	for i := range returnNodes {
		f := fleet.New(centre(i%returnCentres), w.now)
		f.Name = fmt.Sprintf("10.0.0.%d-%d", i, random.Uint32())
		f.ClusterSize = func() fleet.ClusterSize { return fleet.ClusterSize{Nodes: returnNodes, HalfLive: true} }
		f.ScheduleTick = func(after time.Duration) { time.AfterFunc(after, f.Tick) }
		f.Broadcast = func(string) { time.AfterFunc(reportDelay, func() { w.broadcast(f) }) }
		for e := range returnCentres * w.perCentre {
			f.Update(fleet.Instance{ID: fmt.Sprintf("e%d", e), Service: "s", DataCentre: centre(e / w.perCentre), Slots: 24})
		}
		f.Evacuate([]string{centre(0)})
		w.fleets = append(w.fleets, f)
	}
	return w
}

// broadcast reports the load and the waiting work of a node to all other nodes.
func (w *returnSimulation) broadcast(f *fleet.Fleet) {
	loads, waiting := f.OwnLoads(), f.OwnWaiting()
	for _, other := range w.fleets {
		if other != f {
			other.SetRemote(f.Name, loads, waiting)
		}
	}
}

// request runs one request through a node.
func (w *returnSimulation) request(f *fleet.Fleet, demand fleet.Demand) {
	want := fleet.Work{Service: &w.service, Demand: demand, MaxOutput: demand.Output}
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
		p.SetProduced(1)
		time.Sleep(time.Duration(demand.Output) * 9 * time.Millisecond)
	}
	p.Release(fleet.Good)
}

func (w *returnSimulation) run(random *rand.Rand, rateFactor float64) {
	for _, f := range w.fleets {
		late := time.Duration(random.Int64N(int64(maxEvacuationDelay)))
		time.AfterFunc(returnAt+late, func() { f.Evacuate(nil) })
	}
	var running sync.WaitGroup
	for w.now() < returnDuration {
		time.Sleep(time.Duration(random.ExpFloat64() / (rateFactor * w.rate) * float64(time.Second)))
		var demand fleet.Demand
		if w.size != nil {
			demand = w.size(random)
		}
		f := w.fleets[random.IntN(len(w.fleets))]
		running.Go(func() { w.request(f, demand) })
	}
	running.Wait()
}

// Guards against overloading the cold endpoints of a data centre when its evacuation ends and all
// nodes send to them at once.
func TestLoadThatReturnsOntoAColdDataCentre(t *testing.T) {
	const bound = coldRate*3/2 + coldSlack
	for _, load := range serviceLoads {
		for _, times := range []float64{1, 5} {
			t.Run(fmt.Sprintf("%s at %g times the rate", load.name, times), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, 2))
					w := newReturnSimulation(load, random)
					w.run(random, times)
					returned, most := 0, 0
					for e := range w.perCentre {
						id := fmt.Sprintf("e%d", e)
						sent := w.sent[id]
						returned += len(sent)
						cold := slices.DeleteFunc(slices.Clone(sent), func(at time.Duration) bool { return at > returnAt+w.service.ColdStart })
						most = max(most, mostInASecond(cold))
						if len(sent) > 0 && sent[0] < returnAt {
							t.Errorf("endpoint %s got a request %v before the end of the evacuation", id, returnAt-sent[0])
						}
					}
					if most > bound {
						t.Errorf("got %d requests to one endpoint within one second, want at most %d", most, bound)
					}
					if returned == 0 {
						t.Error("no request was sent to the data centre after its evacuation, want at least one")
					}
					t.Logf("%d requests served, %d of them in the returned data centre, at most %d per second at one endpoint", w.served, returned, most)
				})
			})
		}
	}
}
