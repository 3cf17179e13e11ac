package node_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/reach"
)

var _ = Describe("a report of refused connections", func() {
	var (
		now       time.Duration
		tracker   *reach.Tracker
		sender    *fleet.Fleet
		receiver  *fleet.Fleet
		from, to  *node.Node
		logged    *observer.ObservedLogs
		instances []fleet.Instance
	)
	BeforeEach(func() {
		now = time.Hour
		clock := func() time.Duration { return now }
		tracker = reach.NewTracker(clock, func() int { return 2 }, func() float64 { return 1 })
		tracker.OnChange, tracker.OnSuspicion = func(reach.Change) {}, func() {}
		sender, receiver = fleet.New("dc1", clock), fleet.New("dc1", clock)
		core, logs := observer.New(zap.InfoLevel)
		logged = logs
		from, to = node.NewReporter(sender, tracker, zap.NewNop()), node.NewReporter(receiver, tracker, zap.New(core))
		instances = nil
		for i := range 30 {
			in := fleet.Instance{ID: fmt.Sprintf("e%d", i), StartedAtMS: 1, Service: "pool", DataCentre: "dc1", Slots: 4}
			instances = append(instances, in)
			sender.Update(in)
			receiver.Update(in)
		}
	})
	refused := func(in fleet.Instance) {
		Expect(sender.RecordRefused(in)).To(BeNumerically(">", 0))
		Expect(sender.ReportRefused(in)).To(BeTrue())
	}
	pass := func() *exchangev1.NodeState {
		data, err := proto.Marshal(from.Reports("10.0.0.1"))
		Expect(err).NotTo(HaveOccurred())
		state := &exchangev1.NodeState{}
		Expect(proto.Unmarshal(data, state)).To(Succeed())
		to.ApplyReports(state)
		return state
	}

	// Guards against reports that lose their age or their endpoint on the way, and against a log line for each repetition.
	It("reaches the other node with its age and is logged once", func() {
		refused(instances[3])
		now += 120 * time.Millisecond
		pass()
		pass()
		lines := logged.FilterMessage("endpoint suspended by another node's report").All()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].ContextMap()).To(And(HaveKeyWithValue("endpoint", "e3"), HaveKeyWithValue("node", "10.0.0.1"),
			HaveKeyWithValue("age", 120*time.Millisecond), HaveKeyWithValue("for", 380*time.Millisecond)))
	})

	// Guards against datagrams over 1,400 bytes when many endpoints die.
	It("takes less than 320 bytes for all endpoints", func() {
		for _, in := range instances {
			refused(in)
		}
		now += 499 * time.Millisecond
		state := pass()
		Expect(state.GetUnreachable()).To(HaveLen(24))
		Expect(proto.Size(state)).To(BeNumerically("<", 320))
	})

	// Guards against reports of a node that has lost all endpoints of the service since.
	It("is not sent by a node that reaches no endpoint of the service any more", func() {
		node.LoseService(tracker, "pool", &now)
		refused(instances[3])
		Expect(tracker.Verdict("pool")).To(Equal(reach.Lost))
		Expect(pass().GetUnreachable()).To(BeEmpty())
	})

	// Guards against nodes that suspend endpoints for a node of an earlier version, which sends no reports.
	It("changes nothing if it is absent", func() {
		to.ApplyReports(&exchangev1.NodeState{Address: "10.0.0.1"})
		Expect(logged.All()).To(BeEmpty())
	})
})
