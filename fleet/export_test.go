package fleet

import "math/rand/v2"

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
