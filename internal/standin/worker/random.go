package worker

import (
	"math/rand/v2"
	"sync"
)

// RandomFaults refuses a share of the requests of a worker, fails another one, and sends late answers after a
// share of the answers. It is safe for concurrent use.
type RandomFaults struct {
	refuse, fail, late float64
	mu                 sync.Mutex
	random             *rand.Rand
}

// NewRandomFaults returns the faults of a seed. The shares are between 0 and 1.
func NewRandomFaults(seed uint64, refuse, fail, late float64) *RandomFaults {
	return &RandomFaults{refuse: refuse, fail: fail, late: late, random: rand.New(rand.NewPCG(seed, 67))}
}

// FaultOf returns the fault of a request (Options.FaultOf).
func (f *RandomFaults) FaultOf(*Run) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch x := f.random.Float64(); {
	case x < f.refuse:
		return Shed
	case x < f.refuse+f.fail:
		return Fail
	}
	return None
}

// LateOf returns the late answer after a request (Options.LateOf).
func (f *RandomFaults) LateOf(*Run, bool) LateAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() >= f.late {
		return NoLate
	}
	return LateAnswers[f.random.IntN(len(LateAnswers))]
}
