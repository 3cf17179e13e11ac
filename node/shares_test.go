package node

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fairshare"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// Guards against use that is lost between two nodes, or reset by a node of an older version that reports none.
func TestWorkspaceUseReachesOtherNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Hour
	service := &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Slots: 8, CacheTokens: 10_000}}
	newNode := func() (*Node, *observer.ObservedLogs) {
		core, logs := observer.New(zap.InfoLevel)
		n := &Node{fleet: fleet.New("dc1", func() time.Duration { return now }), log: zap.New(core)}
		n.fleet.OnShares = n.logSharesChange
		n.fleet.Update(fleet.Instance{ID: "e1", Service: "pool", DataCentre: "dc1", Slots: 8})
		return n, logs
	}
	work := func(workspace string) fleet.Work {
		return fleet.Work{Service: service, Workspace: workspace, Demand: fleet.Demand{Prompt: 1000, Output: 8000}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := func(n *Node, workspace string) {
		before := n.fleet.Waiting("pool")
		go func() { _, _ = n.fleet.Acquire(ctx, work(workspace), time.Minute) }()
		g.Eventually(func() int { return n.fleet.Waiting("pool") }).Should(gomega.Equal(before + 1))
	}

	a, _ := newNode()
	p, refusal := a.fleet.Acquire(ctx, work("flood"), 0)
	g.Expect(refusal).To(gomega.BeNil())
	defer p.Release(fleet.Neutral)
	g.Expect(a.workspaceUse()).To(gomega.BeEmpty())
	wait(a, "small")
	uses := a.workspaceUse()
	g.Expect(uses).To(gomega.HaveLen(1))
	g.Expect(uses[0].GetWorkspace()).To(gomega.Equal(uint32(fairshare.KeyOf("flood"))))
	g.Expect(uses[0].GetTokens()).To(gomega.Equal(uint32(9000)))

	b, logs := newNode()
	q, refusal := b.fleet.Acquire(ctx, work("other"), 0)
	g.Expect(refusal).To(gomega.BeNil())
	defer q.Release(fleet.Neutral)
	uses[0].Tokens *= 10
	b.applyPeerUse(&exchangev1.NodeState{Address: "a", WorkspaceUse: uses})
	b.applyPeerUse(&exchangev1.NodeState{Address: "a"})
	wait(b, "flood")
	wait(b, "small")
	now += time.Second
	b.fleet.Tick()
	lines := logs.FilterMessage("workspace shares apply").All()
	g.Expect(lines).To(gomega.HaveLen(1))
	g.Expect(lines[0].ContextMap()["workspace"]).To(gomega.Equal("flood"))
	g.Expect(lines[0].ContextMap()["share"]).To(gomega.BeNumerically("~", 0.909, 0.001))
}
