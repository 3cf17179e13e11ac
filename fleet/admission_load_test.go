package fleet_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
)

// kind is one kind of requests in a load test.
type kind struct {
	demand    fleet.Demand
	maxOutput int
	rank      int
	target    time.Duration
	deadline  time.Duration
}

var (
	longKind  = kind{demand: fleet.Demand{Prompt: 3000, Output: 752}, maxOutput: 1500, rank: 5, target: 1800 * time.Millisecond, deadline: 39 * time.Second}
	shortKind = kind{demand: fleet.Demand{Prompt: 2200, Output: 8}, maxOutput: 8, rank: 2, target: 1500 * time.Millisecond, deadline: 6 * time.Second}
)

// tally counts the outcomes of a load test.
type tally struct {
	sync.Mutex
	requests, inTime, late, atOnce, afterWait, again, lost int
}

func (t *tally) add(o *tally) {
	t.requests += o.requests
	t.inTime += o.inTime
	t.late += o.late
	t.atOnce += o.atOnce
	t.afterWait += o.afterWait
	t.again += o.again
	t.lost += o.lost
}

func (t *tally) value() float64 { return float64(t.inTime) + 0.2*float64(t.late) }

func (t *tally) String() string {
	return fmt.Sprintf("%d requests: %d in time, %d late, %d refused at once, %d refused after an eighth of the target, %d refused again, %d lost, value %.0f",
		t.requests, t.inTime, t.late, t.atOnce, t.afterWait, t.again, t.lost, t.value())
}

// loadTest is a deployment of real fleets under load, in the simulated time of a synctest bubble.
type loadTest struct {
	nodes   int
	engines int
	without bool
	seed    uint64
	// impatient callers ignore the time that they are told and return after 100 ms.
	impatient bool
	// loss is the share of datagrams that are lost.
	loss float64
	// dead is the number of nodes that stop to report after 6 s; callers use the others.
	dead int
	// removed is the share of engines that leave at 6 s and are replaced at 10 s.
	removed float64
	// silent nodes send no backlogs, as those of an older version.
	silent int
	// factor returns the load factors of long and short requests at a time after the start.
	factor func(at time.Duration) (long, short float64)
}

const (
	loadTestLength = 30 * time.Second
	// loadTestSeeds is the number of runs whose figures are added up.
	loadTestSeeds = 6
	// longRate and shortRate are the requests per second and engine in normal operation. Departures,
	// stutter and slow engines leave about 0.7 of the capacity.
	longRate  = 23.2 / 48 / 0.7
	shortRate = 26.1 / 48 / 0.7
)

type loadRun struct {
	loadTest
	fleets             []*fleet.Fleet
	changed            []chan struct{}
	start              time.Time
	random             *rand.Rand
	tally              tally
	callers, reporters sync.WaitGroup
}

func (l loadTest) run(t *testing.T) *tally {
	t.Helper()
	var r *loadRun
	synctest.Test(t, func(t *testing.T) {
		r = &loadRun{loadTest: l, start: time.Now(), random: rand.New(rand.NewPCG(l.seed, 2))}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range l.nodes {
			f := fleet.New("dc1", func() time.Duration { return time.Hour + time.Since(r.start) })
			f.Name = fmt.Sprintf("node%d", i)
			f.ScheduleTick = func(after time.Duration) { time.AfterFunc(after, f.Tick) }
			if l.without {
				f.Disabled = fleet.DisabledMechanisms{fleet.Admission: true}
			}
			changed := make(chan struct{}, 1)
			f.Broadcast = func(string) {
				select {
				case changed <- struct{}{}:
				default:
				}
			}
			r.changed = append(r.changed, changed)
			r.fleets = append(r.fleets, f)
		}
		for i := range l.engines {
			r.register(fmt.Sprintf("engine%d", i))
		}
		for i := range r.fleets {
			r.reporters.Go(func() { r.report(ctx, i) })
		}
		if l.removed > 0 {
			time.AfterFunc(6*time.Second, r.removeEngines)
		}
		r.arrivals()
		r.callers.Wait()
		cancel()
		r.reporters.Wait()
	})
	return &r.tally
}

func (r *loadRun) register(id string) {
	for _, f := range r.fleets {
		f.Update(fleet.Instance{ID: id, Service: "pool", DataCentre: "dc1", Slots: 24})
	}
}

func (r *loadRun) removeEngines() {
	n := int(r.removed * float64(r.engines))
	for i := range n {
		id := fmt.Sprintf("engine%d", i)
		for _, f := range r.fleets {
			f.Remove(id, false)
		}
		time.AfterFunc(4*time.Second, func() { r.register(id + "new") })
	}
}

// report sends the state of a node to the others: on changes at most every 150 ms, regularly every
// 1.4 s.
func (r *loadRun) report(ctx context.Context, i int) {
	f := r.fleets[i]
	changed := r.changed[i]
	random := rand.New(rand.NewPCG(uint64(i), 3))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(1400 * time.Millisecond):
		}
		if i < r.dead && time.Since(r.start) > 6*time.Second {
			for _, other := range r.fleets {
				other.ForgetNode(f.Name)
			}
			return
		}
		loads, waiting, backlogs := f.OwnLoads(), f.OwnWaiting(), f.OwnBacklogs()
		time.Sleep(time.Millisecond)
		for j, other := range r.fleets {
			if j == i || random.Float64() < r.loss {
				continue
			}
			other.SetRemote(f.Name, loads, waiting)
			if i >= r.silent {
				_ = other.SetRemoteBacklogs(f.Name, backlogs)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *loadRun) arrivals() {
	for time.Since(r.start) < loadTestLength {
		long, short := r.factor(time.Since(r.start))
		long, short = long*longRate*float64(r.engines), short*shortRate*float64(r.engines)
		time.Sleep(time.Duration(r.random.ExpFloat64() / (long + short) * float64(time.Second)))
		k, tokens := longKind, 1.0
		if r.random.Float64() < short/(long+short) {
			k = shortKind
		} else {
			tokens = math.Exp(0.4 * r.random.NormFloat64())
		}
		seed, workspace := r.random.Uint64(), fmt.Sprintf("ws%d", r.random.IntN(24))
		r.callers.Go(func() { r.call(k, tokens, workspace, rand.New(rand.NewPCG(seed, 4))) })
	}
}

// call is one caller: it returns once after a refusal if told to within a third of its time.
func (r *loadRun) call(k kind, length float64, workspace string, random *rand.Rand) {
	received := time.Now()
	r.tally.Lock()
	r.tally.requests++
	r.tally.Unlock()
	for attempt := range 2 {
		arrived, remaining := time.Now(), k.deadline-time.Since(received)
		alive := r.fleets
		if time.Since(r.start) > 6*time.Second {
			alive = alive[r.dead:]
		}
		f := alive[random.IntN(len(alive))]
		prefill := time.Duration(float64(k.demand.Prompt) / 7500 * float64(time.Second))
		p, refusal := f.Acquire(context.Background(), fleet.Work{
			Service: clusterPool, Demand: k.demand, MaxOutput: k.maxOutput, Rank: k.rank, Workspace: workspace,
			Target: k.target, Remaining: remaining, StartWithin: max(k.target-300*time.Millisecond-prefill, 1),
		}, min(time.Duration(0.4*float64(remaining)), 3*k.target))
		if refusal == nil {
			r.serve(k, length, p, received)
			return
		}
		waited := time.Since(arrived)
		r.tally.Lock()
		if waited == 0 {
			r.tally.atOnce++
		} else if waited > k.target/8 {
			r.tally.afterWait++
		}
		if attempt > 0 {
			r.tally.again++
		}
		r.tally.Unlock()
		after := refusal.RetryAfter
		if r.impatient {
			after = 100 * time.Millisecond
		}
		if after > (k.deadline-time.Since(received))/3 {
			break
		}
		time.Sleep(after)
	}
	r.tally.Lock()
	r.tally.lost++
	r.tally.Unlock()
}

// serve runs a request on its engine: prefill and steps take longer the more runs there are.
func (r *loadRun) serve(k kind, length float64, p *fleet.Placement, received time.Time) {
	time.Sleep(time.Duration(float64(k.demand.Prompt)/9000*float64(time.Second)) + 20*time.Millisecond)
	r.tally.Lock()
	if time.Since(received) <= k.target {
		r.tally.inTime++
	} else if time.Since(received) <= k.deadline {
		r.tally.late++
	}
	r.tally.Unlock()
	total := int(float64(k.demand.Output) * length)
	for done := 0; done < total; done += 40 {
		p.SetProduced(done)
		time.Sleep(40 * 10 * time.Millisecond)
	}
	p.Release(fleet.Good)
}

func burst(at time.Duration) (long, short float64) {
	switch {
	case at >= 4*time.Second && at < 12*time.Second:
		return 1.8, 1
	case at >= 12*time.Second && at < 22*time.Second:
		return 1, 3.5
	default:
		return 1, 1
	}
}

func steady(time.Duration) (long, short float64) { return 1, 1 }

// Guards against a refusal at once, or a longer wait, that makes callers worse off than the wait of three targets.
func TestAdmissionUnderLoad(t *testing.T) {
	for name, l := range map[string]loadTest{
		"burst":             {factor: burst},
		"engines removed":   {factor: burst, removed: 0.34},
		"callers impatient": {factor: burst, impatient: true},
		"datagrams lost":    {factor: burst, loss: 0.1},
		"node dies":         {factor: burst, dead: 1},
		"old versions":      {factor: burst, silent: 3},
		"steady":            {factor: steady},
	} {
		t.Run(name, func(t *testing.T) {
			l.nodes, l.engines = 7, 12
			var with, without tally
			for l.seed = range uint64(loadTestSeeds) {
				l.without = false
				with.add(l.run(t))
				l.without = true
				without.add(l.run(t))
			}
			t.Logf("with    %v", &with)
			t.Logf("without %v", &without)
			g := NewWithT(t)
			g.Expect(with.value()).To(BeNumerically(">=", without.value()))
			g.Expect(with.again).To(BeNumerically("<=", without.again))
			g.Expect(with.afterWait).To(BeNumerically("<=", without.afterWait/2))
		})
	}
}
