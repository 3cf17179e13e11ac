package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/admission"
	"github.com/crocusreel/crocusreel/fleet"
)

// fullFleet returns a fleet with one engine that is full, in the simulated time of a synctest bubble.
// ended runs of a quarter of the engine have ended shortly before.
func fullFleet(ended int) (f *fleet.Fleet, held *fleet.Placement) {
	start := time.Now()
	f = fleet.New("dc1", func() time.Duration { return time.Hour + time.Since(start) })
	f.Update(fleet.Instance{ID: "only", Service: "pool", DataCentre: "dc1", Slots: 24})
	for range ended {
		p, _ := f.Acquire(context.Background(), quarterWork("ended"), 0)
		time.Sleep(100 * time.Millisecond)
		p.Release(fleet.Good)
	}
	held, _ = f.Acquire(context.Background(), fleet.Work{Service: clusterPool, Demand: fleet.Demand{Prompt: 4000, Output: 18_000}}, 0)
	return f, held
}

func quarterWork(request string) fleet.Work {
	return fleet.Work{
		Service: clusterPool, Demand: quarterOfEngine, MaxOutput: quarterOfEngine.Output, Rank: 5, RequestID: request, Workspace: "ws",
		Target: 1800 * time.Millisecond, Remaining: 39 * time.Second, StartWithin: 1100 * time.Millisecond,
	}
}

// otherNodeWaits reports a backlog of another node to f.
func otherNodeWaits(f *fleet.Fleet, requests int) {
	key := fleet.LongQueue("pool")
	_ = f.SetRemoteBacklogs("other", []fleet.ServiceBacklog{{Service: key, Backlog: admission.Backlog{
		Rank: 5, Requests: requests, Tokens: requests * quarterOfEngine.Tokens(),
	}}})
}

// Guards against a changed time or wait where too little is known: the earlier rule must hold exactly.
func TestEarlierRuleWithThinEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := fullFleet(7)
		f.OnAdmissionRefusal = func(r fleet.AdmissionRefusal) { t.Errorf("refused by prediction: %+v", r) }
		otherNodeWaits(f, 100)
		start := time.Now()
		p, refusal := f.Acquire(context.Background(), quarterWork("new"), 5400*time.Millisecond)
		g.Expect(p).To(BeNil())
		g.Expect(refusal.RetryAfter).To(Equal(300 * time.Millisecond))
		g.Expect(time.Since(start)).To(Equal(5400 * time.Millisecond))
	})
}

// Guards against hopeless work that waits and is refused at the end; the mechanism must be possible to switch off.
func TestHopelessWorkIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := fullFleet(12)
		var seen []fleet.AdmissionRefusal
		f.OnAdmissionRefusal = func(r fleet.AdmissionRefusal) { seen = append(seen, r) }
		otherNodeWaits(f, 100)
		start := time.Now()
		_, refusal := f.Acquire(context.Background(), quarterWork("new"), 5400*time.Millisecond)
		g.Expect(refusal.Reason).To(Equal(crocusreel.ReasonQueueFull))
		g.Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(refusal.RetryAfter).To(BeNumerically(">", 3*time.Second))
		g.Expect(refusal.RetryAfter).To(BeNumerically("<=", 13*time.Second))
		g.Expect(seen).To(HaveLen(1))
		g.Expect(seen[0].RequestID).To(Equal("new"))
		g.Expect(seen[0].Prediction.Requests).To(Equal(100))

		f.Disabled = fleet.DisabledMechanisms{fleet.Admission: true}
		_, _ = f.Acquire(context.Background(), quarterWork("off"), 5400*time.Millisecond)
		g.Expect(time.Since(start)).To(Equal(5400 * time.Millisecond))
		g.Expect(f.OwnBacklogs()).To(BeEmpty())
	})
}

// Guards against a refusal while an endpoint has room, whatever backlog other nodes report.
func TestNoRefusalWhileAnEndpointHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, held := fullFleet(12)
		held.Release(fleet.Neutral)
		f.ScheduleTick = func(after time.Duration) { time.AfterFunc(after, f.Tick) }
		otherNodeWaits(f, 1000)
		f.SetRemote("other", nil, []fleet.WaitingWork{{Queue: fleet.LongQueue("pool"), Rank: 5, Waited: time.Second}})
		p, refusal := f.Acquire(context.Background(), quarterWork("new"), 5400*time.Millisecond)
		g.Expect(refusal).To(BeNil())
		p.Release(fleet.Good)
		time.Sleep(time.Second)
	})
}

// Guards against a dead node whose backlog counts for ever, and a report of an older version that counts as an empty one.
func TestBacklogOfLostNodeIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := fullFleet(12)
		otherNodeWaits(f, 100)
		f.ForgetNode("other")
		start := time.Now()
		_, _ = f.Acquire(context.Background(), quarterWork("new"), 500*time.Millisecond)
		g.Expect(time.Since(start)).To(BeNumerically(">=", 500*time.Millisecond))
	})
}

// Guards against a datagram that grows with the services and ranks that wait.
func TestOwnBacklogsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := fullFleet(12)
		ctx, cancel := context.WithCancel(context.Background())
		for rank := range 20 {
			w := quarterWork("waits")
			w.Rank = rank
			go func() { _, _ = f.Acquire(ctx, w, time.Second) }()
		}
		synctest.Wait()
		g.Expect(len(f.OwnBacklogs())).To(BeNumerically("<=", 8))
		cancel()
	})
}
