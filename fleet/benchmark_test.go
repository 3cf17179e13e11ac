package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
)

// Size of the benchmark: 300 nodes with eight runs each, and 3,000 engines in six data centres.
const (
	benchNodes   = 300
	benchEngines = 3000
	benchRuns    = 8
	benchCentres = 6
)

// benchFleet is the fleet of one node in a deployment of that size.
type benchFleet struct {
	*fixture
	keys   []fleet.EndpointKey
	random *rand.Rand
}

func newBenchFleet() *benchFleet {
	b := &benchFleet{fixture: newFixture(), random: rand.New(rand.NewPCG(1, 2))}
	for i := range benchEngines {
		in := benchEngine(i)
		b.Update(in)
		b.keys = append(b.keys, in.Incarnation().Key())
	}
	for i := range benchNodes {
		b.SetRemote(benchNode(i), b.loads(), nil)
	}
	return b
}

func benchEngine(i int) fleet.Instance {
	id := fmt.Sprintf("engine-%d", i)
	return fleet.Instance{ID: id, Service: "pool", Address: id, DataCentre: fmt.Sprintf("dc%d", i%benchCentres), Slots: 24}
}

func benchNode(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, i%200) }

// loads returns random loads as one node reports them.
func (b *benchFleet) loads() []fleet.Load {
	var loads []fleet.Load
	for range benchRuns {
		loads = append(loads, fleet.Load{Key: b.keys[b.random.IntN(len(b.keys))], Count: 1, Tokens: 4000})
	}
	return loads
}

// applyReports applies reports of the other nodes in rotation.
func (b *benchFleet) applyReports(t *testing.B) {
	reports := make([][]fleet.Load, 64)
	for i := range reports {
		reports[i] = b.loads()
	}
	t.ReportAllocs()
	for i := 0; t.Loop(); i++ {
		b.SetRemote(benchNode(i%benchNodes), reports[i%len(reports)], nil)
	}
}

// BenchmarkSetRemote measures applying one load report of another node.
func BenchmarkSetRemote(b *testing.B) {
	f := newBenchFleet()
	f.applyReports(b)
}

// BenchmarkSetRemoteWaiting measures the same while work waits on this node and all engines are
// full.
func BenchmarkSetRemoteWaiting(b *testing.B) {
	f := newBenchFleet()
	var full []fleet.Load
	for _, key := range f.keys {
		full = append(full, fleet.Load{Key: key, Count: 24, Tokens: 34_000})
	}
	f.SetRemote("10.1.0.1", full, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		go func() { _, _ = f.Acquire(ctx, generation(3000, 1000), time.Hour) }()
	}
	for f.Waiting("pool") < 4 {
		time.Sleep(time.Millisecond)
	}
	f.applyReports(b)
}

// BenchmarkPlace measures placing one generation and releasing it.
func BenchmarkPlace(b *testing.B) {
	f := newBenchFleet()
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := f.Acquire(context.Background(), generation(3000, 1000), 0)
		if refusal != nil {
			b.Fatal(refusal)
		}
		p.Release(fleet.Good)
	}
}

// BenchmarkOwnLoads measures collecting the load of this node for a datagram.
func BenchmarkOwnLoads(b *testing.B) {
	f := newBenchFleet()
	for range benchRuns {
		if _, refusal := f.Acquire(context.Background(), generation(3000, 1000), 0); refusal != nil {
			b.Fatal(refusal)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = f.OwnLoads()
	}
}

// BenchmarkReplace measures applying a complete listing in which nothing has changed.
func BenchmarkReplace(b *testing.B) {
	f := newBenchFleet()
	listing := make([]fleet.Instance, benchEngines)
	for i := range listing {
		listing[i] = benchEngine(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Replace(listing, false)
	}
}
