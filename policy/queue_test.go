package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func push(q *Queue[int], workspace string, cost, weight float64, at time.Duration) *Item[int] {
	i := &Item[int]{Workspace: workspace, Cost: cost, Enqueued: at}
	q.Push(i, weight)
	return i
}

func TestQueueIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		waiting := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				w := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "workspace"))
				push(q, w, rapid.Float64Range(0, 1000).Draw(t, "cost"), rapid.Float64Range(0.1, 10).Draw(t, "weight"), 0)
				waiting++
				continue
			}
			q.BeginRound()
			i := q.Next(0)
			if (i == nil) != (waiting == 0) {
				t.Fatalf("%d items are waiting, but Next returned %v", waiting, i)
			}
			if i != nil {
				q.Serve(i)
				waiting--
			}
			if q.Len() != waiting {
				t.Fatalf("queue length is %d, want %d", q.Len(), waiting)
			}
		}
	})
}

func TestQueueSharesByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	for range 400 {
		push(q, "heavy", 100, 3, 0)
		push(q, "light", 100, 1, 0)
	}
	served := map[string]int{}
	for range 200 {
		q.BeginRound()
		i := q.Next(0)
		q.Serve(i)
		served[i.Workspace]++
	}
	g.Expect(served["heavy"]).To(gomega.BeNumerically("~", 150, 2))
}

func TestIdleWorkspaceEarnsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	push(q, "late", 100, 1, 0)
	q.BeginRound()
	q.Serve(q.Next(0))
	for range 100 {
		push(q, "busy", 100, 1, 0)
	}
	for range 50 {
		q.BeginRound()
		q.Serve(q.Next(0))
	}
	for range 50 {
		push(q, "late", 100, 1, 0)
	}
	late := 0
	for range 20 {
		q.BeginRound()
		i := q.Next(0)
		q.Serve(i)
		if i.Workspace == "late" {
			late++
		}
	}
	g.Expect(late).To(gomega.BeNumerically("~", 10, 2))
}

func TestOldItemsOvertakeHigherPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	old := push(q, "w", 1, 1, 0)
	urgent := &Item[int]{Workspace: "w", Priority: 5, Enqueued: 0}
	q.Push(urgent, 1)
	q.BeginRound()
	g.Expect(q.Next(0)).To(gomega.BeIdenticalTo(urgent))
	later := &Item[int]{Workspace: "w", Priority: 5, Enqueued: 20 * agingInterval}
	q.Remove(urgent)
	q.Push(later, 1)
	g.Expect(q.Next(20 * agingInterval)).To(gomega.BeIdenticalTo(old))
}

func TestDropCandidateIsLeastUrgentOfLargestBacklog(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	push(q, "modest", 1, 1, 0)
	var last *Item[int]
	for n := range 5 {
		last = push(q, "greedy", 1, 1, time.Duration(n)*time.Second)
	}
	g.Expect(q.DropCandidate(10 * time.Second)).To(gomega.BeIdenticalTo(last))
}

func TestSkippedItemsReturnInTheNextRound(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	i := push(q, "w", 1, 1, 0)
	q.BeginRound()
	q.Skip(i)
	g.Expect(q.Next(0)).To(gomega.BeNil())
	q.BeginRound()
	g.Expect(q.Next(0)).To(gomega.BeIdenticalTo(i))
}

func TestFlowsOfIdleWorkspacesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue[int]()
	for n := range 1000 {
		push(q, fmt.Sprint(n), 1, 1, 0)
		q.BeginRound()
		q.Serve(q.Next(0))
	}
	push(q, "last", 1, 1, 0)
	q.BeginRound()
	q.Serve(q.Next(0))
	g.Expect(len(q.flows)).To(gomega.BeNumerically("<=", 1001))
	for range 3 {
		push(q, "last", 1, 1, 0)
		q.BeginRound()
		q.Serve(q.Next(0))
	}
	q.BeginRound()
	g.Expect(len(q.flows)).To(gomega.BeNumerically("<", 10))
}

func TestServiceRate(t *testing.T) {
	g := gomega.NewWithT(t)
	var r ServiceRate
	g.Expect(r.PerSecond(0)).To(gomega.BeZero())
	for n := range 400 {
		r.RecordStart(time.Duration(n) * 100 * time.Millisecond)
	}
	g.Expect(r.PerSecond(40 * time.Second)).To(gomega.BeNumerically("~", 10, 1))
}
