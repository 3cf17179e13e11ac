package ledger_test

import (
	"context"
	"runtime"
	"sync"

	"github.com/crocusreel/crocusreel/platform"
)

// fault is what happens to one call of the platform or the endpoint.
type fault int

const (
	faultNone fault = iota
	// faultDown refuses the call; nothing is applied.
	faultDown
	// faultAnswerLost applies a commit and loses its answer.
	faultAnswerLost
	// faultDelayed loses the answer at once and applies the commit later.
	faultDelayed
	faultCount
)

// blockedCall is a call that is blocked until the driver decides its fault.
type blockedCall struct {
	gateway int
	// send marks a call of the endpoint; the others are calls of the platform.
	send  bool
	write bool
	// resume passes the fault to the blocked call. Closing it ends the goroutine of the call.
	resume chan fault
}

// simulation is an in-memory platform that also records the runs at the endpoint. Each call blocks
// until the driver releases it.
type simulation struct {
	version int64 // Version of the last transaction.
	mu      sync.Mutex
	rows    map[string]platform.Row
	blocked []*blockedCall
	// delayed are the commits whose answers were lost and that are applied later.
	delayed []platform.Txn
	runs    []int // Attempts whose work ran, in order.
	history []callerOutcome
}

func newSimulation() *simulation { return &simulation{rows: map[string]platform.Row{}} }

// block blocks until the driver releases the call, and returns its fault. It never returns for a
// gateway that was killed.
func (sim *simulation) block(gateway int, send, write bool) fault {
	s := &blockedCall{gateway: gateway, send: send, write: write, resume: make(chan fault)}
	sim.mu.Lock()
	sim.blocked = append(sim.blocked, s)
	sim.mu.Unlock()
	f, ok := <-s.resume
	if !ok {
		runtime.Goexit()
	}
	return f
}

// apply commits a transaction if its conditions hold, and returns the new version.
func (sim *simulation) apply(txn platform.Txn) (platform.Revision, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, c := range txn.Conditions {
		if sim.rows[c.Key].Version != c.Version {
			return platform.Revision{}, platform.ErrConflict
		}
	}
	sim.version++
	for _, x := range txn.Writes {
		row := sim.rows[x.Key]
		row.Table, row.Key, row.Value = x.Table, x.Key, x.Value
		row.Version = sim.version
		sim.rows[x.Key] = row
	}
	return platform.Revision{Version: sim.version}, nil
}

// tables implements platform.Tables for one gateway.
type tables struct {
	*simulation
	gateway int
}

func (t tables) Get(ctx context.Context, _, key string) (platform.Row, error) {
	if ctx.Err() != nil {
		return platform.Row{}, platform.ErrUnavailable
	}
	if t.block(t.gateway, false, false) != faultNone {
		return platform.Row{}, platform.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key], nil
}

func (t tables) Scan(context.Context, string, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (t tables) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	if ctx.Err() != nil {
		return platform.Revision{}, platform.ErrUnavailable
	}
	switch t.block(t.gateway, false, true) {
	case faultDown:
		return platform.Revision{}, platform.ErrUnavailable
	case faultAnswerLost:
		_, _ = t.apply(txn)
		return platform.Revision{}, platform.ErrUnknown
	case faultDelayed:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.delayed = append(t.delayed, txn)
		return platform.Revision{}, platform.ErrUnknown
	default:
		return t.apply(txn)
	}
}

// objects is an in-memory object store that never fails.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *objects) PutObject(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.data == nil {
		o.data = map[string][]byte{}
	}
	o.data[name] = data
	return nil
}

func (o *objects) GetObject(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}
