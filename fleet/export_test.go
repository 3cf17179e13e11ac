package fleet

import (
	"math/rand/v2"
	"time"
)

// LongQueue returns the key of the queue of a service's long answers.
func LongQueue(service string) QueueKey { return queueID{service: service}.key() }

// Totals returns the load of each endpoint, once from the maintained sums and once recomputed from
// the reports of all nodes.
func (f *Fleet) Totals() (maintained, recomputed map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maintained, recomputed = make(map[string]Load), make(map[string]Load)
	for id, e := range f.byID {
		maintained[id] = e.total()
		sum := e.own
		for _, node := range f.remote {
			sum = sum.plus(node.loads[e.key])
		}
		sum.Key = 0
		recomputed[id] = sum
	}
	return maintained, recomputed
}

// Seed makes the random part of the fleet's choices reproducible.
func (f *Fleet) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = rand.New(rand.NewPCG(seed, seed))
}

// Prediction returns the predicted step of the placement's engine, the disturbance of its service and
// the age of its incarnation.
func (p *Placement) Prediction() (step time.Duration, disturbance float64) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.endpoint.rate.Step, p.fleet.ratesLocked(p.endpoint.Service).stutter
}
