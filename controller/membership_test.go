package controller

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
)

func expectAll(nodes []*node, count int, state string) {
	GinkgoHelper()
	eventually(func(g Gomega) {
		for _, n := range nodes {
			states := n.states()
			g.Expect(states).To(HaveLen(count), n.address)
			for id, s := range states {
				g.Expect(s).To(Equal(state), "%s at %s", id, n.address)
			}
		}
	})
}

var _ = Describe("Members", func() {
	DescribeTable("find each other, with a message rate per member that does not grow with their number", func(count int) {
		net := newNetwork()
		nodes := net.startAll(count)
		expectAll(nodes, count, "alive")
		const window = 40
		before, start := net.messages.Load(), time.Now()
		time.Sleep(window * net.probeInterval)
		intervals := float64(time.Since(start)) / float64(net.probeInterval)
		perNode := float64(net.messages.Load()-before) / float64(count) / intervals
		AddReportEntry("messages per node and interval", perNode)
		// One probe per interval, with jitter, and occasionally a configuration fetch or a full
		// exchange.
		Expect(perNode).To(BeNumerically("<", 2))
		Expect(net.maxUpdates.Load()).To(BeNumerically("<=", 8))
	},
		Entry("8", 8), Entry("32", 32), Entry("128", 128),
	)

	// A VM dies without notice. Callers that are sent to it get no answer until the other members
	// detect its death and withdraw its address.
	It("detect a death, and no other member is removed", func() {
		net := newNetwork()
		nodes := net.startAll(12)
		expectAll(nodes, 12, "alive")
		nodes[3].stop()
		expectAll(append(nodes[:3:3], nodes[4:]...), 11, "alive")
	})

	// The link from one VM to another breaks in one direction. Others still reach the target, and a
	// suspicion would remove it from the addresses that callers receive although it serves.
	It("do not suspect a member that others still reach", func() {
		net := newNetwork()
		nodes := net.startAll(6)
		expectAll(nodes, 6, "alive")
		net.setDropped(func(from, to string) bool { return to == nodes[0].address && from == nodes[1].address })
		Consistently(nodes[1].states).WithTimeout(80 * net.probeInterval).WithPolling(2 * time.Millisecond).
			Should(HaveKeyWithValue("vm-000", "alive"))
	})

	// A data centre is cut off for longer than the suspicion timeout, so each side records the
	// other as dead. If nobody probed dead members, the two sides would stay separate after the
	// links heal.
	It("find each other again after a network partition has healed", func() {
		net := newNetwork()
		nodes := net.startAll(9)
		expectAll(nodes, 9, "alive")
		side := func(address string) bool {
			return address == nodes[0].address || address == nodes[1].address || address == nodes[2].address
		}
		net.setDropped(func(from, to string) bool { return side(from) != side(to) })
		expectAll(nodes[:3], 3, "alive")
		expectAll(nodes[3:], 6, "alive")
		net.setDropped(nil)
		expectAll(nodes, 9, "alive")
	})

	// A VM is replaced at once by one with the same ID. The others still hold the record of the
	// former, and their probes reach the new one.
	It("replace the record of a restarted VM with the same ID", func() {
		net := newNetwork()
		nodes := net.startAll(5)
		expectAll(nodes, 5, "alive")
		eventually(func(g Gomega) { g.Expect(nodes[0].states()).To(HaveLen(5)) })
		old := nodes[2].Snapshot().Self.Incarnation
		nodes[2].stop()
		nodes[2] = net.start(2)
		eventually(func(g Gomega) {
			for _, n := range nodes {
				for _, m := range n.Snapshot().Members {
					if m.Id == "vm-002" {
						g.Expect(m.Incarnation).To(BeNumerically(">", old))
						g.Expect(m.State).To(Equal(peerv1.MemberState_MEMBER_STATE_ALIVE))
					}
				}
			}
		})
		expectAll(nodes, 5, "alive")
	})

	// An operator drains a VM. Until every VM has received the change, some still return its
	// address to callers.
	It("all learn that a VM is leaving", func() {
		net := newNetwork()
		nodes := net.startAll(20)
		expectAll(nodes, 20, "alive")
		Expect(nodes[0].Leave(GinkgoT().Context(), "vm-007")).To(Succeed())
		eventually(func(g Gomega) {
			for _, n := range nodes {
				g.Expect(n.states()).To(HaveKeyWithValue("vm-007", "leaving"))
			}
		})
		Expect(nodes[0].Leave(GinkgoT().Context(), "vm-999")).NotTo(Succeed())
	})
})

// otherDelays is the part of a withdrawal's time beyond the read of the configuration: its spread,
// the lag of the engines' reports, a poll, and requests that were admitted before.
const otherDelays = 1500 * time.Millisecond

var _ = Describe("Configurations", func() {
	publish := func(net *network, base uint64, id string) {
		GinkgoHelper()
		_, err := newStore(net.platform).apply(GinkgoT().Context(), newEdit(base, id))
		Expect(err).NotTo(HaveOccurred())
	}
	expectVersion := func(nodes []*node, version uint64) {
		GinkgoHelper()
		eventually(func(g Gomega) {
			for _, n := range nodes {
				g.Expect(n.Snapshot().Version()).To(Equal(version), n.address)
			}
		})
	}

	It("reach every VM, and only one VM of each data centre reads the platform often", func() {
		net := newNetwork()
		nodes := net.startAll(12)
		expectAll(nodes, 12, "alive")
		publish(net, 0, "a")
		expectVersion(nodes, 1)
		publish(net, 1, "b")
		expectVersion(nodes, 2)
		var before int
		net.platform.set(func(p *fakePlatform) { before = p.reads })
		start := time.Now()
		time.Sleep(2 * time.Second)
		var reads int
		net.platform.set(func(p *fakePlatform) { reads = p.reads - before })
		rounds := float64(time.Since(start)) / float64(20*time.Millisecond)
		// Three readers, nine VMs that read a twentieth as often, and two that read the lease row.
		// If all VMs read at each interval, it would be 12 per round.
		Expect(float64(reads) / rounds).To(BeNumerically("<", 5))
	})

	// A VM is replaced during a long outage of the platform. Without a configuration it could not
	// serve any request.
	It("come from peers when the platform is down", func() {
		net := newNetwork()
		nodes := net.startAll(4)
		publish(net, 0, "a")
		expectVersion(nodes, 1)
		nodes[1].stop()
		// The VM list is not cached, so the new VM is found by the others.
		net.platform.set(func(p *fakePlatform) { p.down = true })
		nodes[1] = net.start(1)
		expectVersion(nodes, 1)
	})

	// Guards against a configuration, such as a withdrawal, that comes into force too late because
	// the reader still waits after an outage. The controller that accepted it has notified no peer.
	It("are read in time after an outage of the platform", func() {
		const bound = 3*time.Second - otherDelays
		net := newNetwork()
		nodes := net.startAll(3)
		publish(net, 0, "a")
		expectVersion(nodes, 1)
		net.platform.set(func(p *fakePlatform) { p.down = true })
		time.Sleep(2700 * time.Millisecond)
		net.platform.set(func(p *fakePlatform) { p.down = false })
		publish(net, 1, "b")
		for _, n := range nodes {
			Eventually(func() uint64 { return n.Snapshot().Version() }, bound).WithPolling(5*time.Millisecond).Should(Equal(uint64(2)), n.address)
		}
	})

	// The platform (restored from an old copy, or answering late) and peers that were cut off offer
	// versions that operators have replaced.
	It("never go back to a lower version", func() {
		net := newNetwork()
		nodes := net.startAll(4)
		publish(net, 0, "a")
		var old map[string]platform.Row
		net.platform.set(func(p *fakePlatform) {
			old = make(map[string]platform.Row)
			for k, v := range p.rows {
				old[k] = v
			}
		})
		expectVersion(nodes, 1)
		publish(net, 1, "b")
		expectVersion(nodes, 2)
		stop := make(chan struct{})
		lowest := make(chan uint64, len(nodes))
		for _, n := range nodes {
			go func() {
				low := n.Snapshot().Version()
				for {
					select {
					case <-stop:
						lowest <- low
						return
					case <-time.After(time.Millisecond):
						low = min(low, n.Snapshot().Version())
					}
				}
			}()
		}
		net.platform.set(func(p *fakePlatform) {
			for k := range p.rows {
				if row, ok := old[k]; ok {
					p.rows[k] = row
				}
			}
		})
		for _, n := range nodes {
			Expect(n.adopt(&peerv1.ConfigDocument{Version: 1, Document: []byte(`{"base":"[service]\nname = \"a\""}`)})).To(Succeed())
		}
		time.Sleep(500 * time.Millisecond)
		close(stop)
		for range nodes {
			Expect(<-lowest).To(Equal(uint64(2)))
		}
	})

	// Versions arrive from the platform and from several peers concurrently, in any order.
	It("only increase in version when several arrive at once", func() {
		n := newNetwork().start(0)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for v := range uint64(50) {
					document := fmt.Appendf(nil, `{"base":"[service]\nname = \"s%d\""}`, v)
					_ = n.adopt(&peerv1.ConfigDocument{Version: 1 + (v*37+uint64(i)*13)%400, Document: document})
				}
			})
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		last := uint64(0)
		for running := true; running; {
			select {
			case <-done:
				running = false
			default:
			}
			now := n.Snapshot().Version()
			Expect(now).To(BeNumerically(">=", last))
			last = now
		}
	})

	// An operator edits during a network partition. The side that the platform still reaches adopts
	// the edit, and the other must follow once the partition heals, even if the platform is down
	// then.
	It("spread to peers that were cut off", func() {
		net := newNetwork()
		nodes := net.startAll(6)
		publish(net, 0, "a")
		expectVersion(nodes, 1)
		side := func(address string) bool { return address == nodes[0].address || address == nodes[1].address }
		net.setDropped(func(from, to string) bool { return side(from) != side(to) })
		expectAll(nodes[:2], 2, "alive")
		net.platform.set(func(p *fakePlatform) { p.down = true })
		document := []byte(`{"base":"[service]\nname = \"b\""}`)
		Expect(nodes[0].adopt(&peerv1.ConfigDocument{Version: 2, Document: document})).To(Succeed())
		expectVersion(nodes[:2], 2)
		Expect(nodes[5].Snapshot().Version()).To(Equal(uint64(1)))
		net.setDropped(nil)
		expectVersion(nodes, 2)
	})

	// A newer release accepts a document that this release cannot read. If it were applied in part,
	// the gateway would be left without endpoints.
	It("that are invalid change nothing", func() {
		net := newNetwork()
		n := net.start(0)
		publish(net, 0, "a")
		expectVersion([]*node{n}, 1)
		Expect(n.adopt(&peerv1.ConfigDocument{Version: 9, Document: []byte(`{"base":"surprise = 1"}`)})).NotTo(Succeed())
		Expect(n.Snapshot().Version()).To(Equal(uint64(1)))
		invalid := newEdit(1, "b")
		invalid.Document.Base = "surprise = 1"
		_, err := n.Apply(GinkgoT().Context(), invalid)
		Expect(err).To(MatchError(ContainSubstring("surprise")))
		head, _, err := n.versions.head(GinkgoT().Context())
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(head.Version, head.EditID)).To(Equal("1a"))
	})
})
