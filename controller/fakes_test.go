package controller

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/platform"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

// fakePlatform is an in-memory platform.Platform.
type fakePlatform struct {
	version int64 // of the last transaction
	mu      sync.Mutex
	rows    map[string]platform.Row
	// era increases with each restore; 0 means that the platform does not report it. copied and copiedVersion are what it brings back.
	era           int64
	copied        map[string]platform.Row
	copiedVersion int64
	vms           []platform.VM
	// down makes every call fail without an effect.
	down bool
	// commitFault returns the outcome of the next commit; nil applies every commit.
	commitFault func() commitFault
	// beforeCommit runs before each commit; it may block until other commits have started.
	beforeCommit func()
	reads        int
	// reservations are the times at which the reserved loads may start.
	reservations []time.Time
	wait         time.Duration
}

// commitFault is the outcome of one commit.
type commitFault int

const (
	applied commitFault = iota
	// responseLost applies the commit and reports ErrUnknown.
	responseLost
	// requestLost applies nothing and reports ErrUnknown.
	requestLost
	// appliedLate reports ErrUnknown and applies the commit 20 ms later.
	appliedLate
	refused
)

func newFakePlatform() *fakePlatform { return &fakePlatform{rows: make(map[string]platform.Row)} }

func (p *fakePlatform) set(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *fakePlatform) Get(_ context.Context, table, key string) (platform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row := p.rows[table+"/"+key]
	row.Era = p.era
	return row, nil
}

// keepCopy makes a copy of the rows; restore brings it back in a new era.
func (p *fakePlatform) keepCopy() {
	p.set(func(p *fakePlatform) { p.copied, p.copiedVersion = maps.Clone(p.rows), p.version })
}

func (p *fakePlatform) restore() {
	p.set(func(p *fakePlatform) { p.rows, p.version, p.era = maps.Clone(p.copied), p.copiedVersion, p.era+1 })
}

func (p *fakePlatform) Scan(_ context.Context, _, _, _ string, _ int) ([]platform.Row, error) {
	return nil, errors.New("fakePlatform: method not implemented")
}

func (p *fakePlatform) Commit(_ context.Context, txn platform.Txn) (platform.Revision, error) {
	if p.beforeCommit != nil {
		p.beforeCommit()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platform.Revision{}, platform.ErrUnavailable
	}
	fault := applied
	if p.commitFault != nil {
		fault = p.commitFault()
	}
	switch fault {
	case refused:
		return platform.Revision{}, platform.ErrUnavailable
	case requestLost:
		return platform.Revision{}, platform.ErrUnknown
	case appliedLate:
		time.AfterFunc(20*time.Millisecond, func() { p.set(func(p *fakePlatform) { _, _ = p.apply(txn) }) })
		return platform.Revision{}, platform.ErrUnknown
	}
	version, err := p.apply(txn)
	if fault == responseLost {
		return platform.Revision{}, platform.ErrUnknown
	}
	return version, err
}

func (p *fakePlatform) apply(txn platform.Txn) (platform.Revision, error) {
	for _, c := range txn.Conditions {
		if c.Era != 0 && c.Era != p.era {
			return platform.Revision{}, platform.ErrConflict
		}
		if p.rows[c.Table+"/"+c.Key].Version != c.Version {
			return platform.Revision{}, platform.ErrConflict
		}
	}
	p.version++
	for _, w := range txn.Writes {
		at := w.Table + "/" + w.Key
		p.rows[at] = platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: p.version}
	}
	return platform.Revision{Era: p.era, Version: p.version}, nil
}

func (p *fakePlatform) PutObject(context.Context, string, []byte) error {
	return errors.New("fakePlatform: method not implemented")
}

func (p *fakePlatform) GetObject(context.Context, string) ([]byte, error) {
	return nil, errors.New("fakePlatform: method not implemented")
}

func (p *fakePlatform) ListVMs(context.Context) ([]platform.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, platform.ErrUnavailable
	}
	return p.vms, nil
}

func (p *fakePlatform) Reserve(context.Context, string, string) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reservations = append(p.reservations, time.Now().Add(p.wait))
	return p.wait, nil
}
