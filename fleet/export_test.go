package fleet

// LongLine returns the key of the queue of a service's long answers.
func LongLine(service string) LineKey { return queueID{service: service}.key() }

// Totals returns the load of each endpoint, once from the maintained sums and once recomputed from
// the reports of all nodes.
func (f *Fleet) Totals() (kept, counted map[string]Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept, counted = make(map[string]Load), make(map[string]Load)
	for id, e := range f.byID {
		kept[id] = e.total()
		sum := e.own
		for _, node := range f.remote {
			sum = sum.plus(node.loads[e.key])
		}
		sum.Key = 0
		counted[id] = sum
	}
	return kept, counted
}
