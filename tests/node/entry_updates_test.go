package node_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/platform"
)

// hasLogged returns a function that reports whether the node's log has a line that contains text
// and is about the given endpoint; an empty endpoint matches every line.
func (s *site) hasLogged(n *nodeProcess, endpoint, text string) func() bool {
	return func() bool {
		log, err := os.ReadFile(filepath.Join(s.dir, n.ip+".log"))
		if err != nil {
			return false
		}
		for line := range strings.Lines(string(log)) {
			matches := endpoint == "" || strings.Contains(line, "endpoint="+endpoint+" ")
			if matches && strings.Contains(line, text) {
				return true
			}
		}
		return false
	}
}

// storeLink returns the link between the node with the given index and the store. No endpoint may
// have been started after the nodes.
func (s *site) storeLink(index int) *rig.Link {
	// The links of the nodes are the last ones; those of endpoints come first.
	return s.links[len(s.links)-len(s.nodes)+index]
}

var _ = Describe("news that an endpoint leaves", func() {
	// Guards against work that is sent to endpoints which have left, by nodes that keep following a
	// reader that has lost the store and gets updates late, from other nodes.
	It("reaches nodes in time whose reader is cut off from the store", func() {
		const limit = time.Second
		s := newSite()
		s.linked = true
		s.startApp("i1")
		s.start(3)
		s.storeLink(0).Cut()
		time.Sleep(2 * time.Second)
		for i := range 14 {
			id := fmt.Sprintf("x%d", i)
			s.register(id, "pool", "127.0.0.1:9", "draining")
			for _, n := range s.nodes[1:] {
				Eventually(s.hasLogged(n, id, "leaving=true"), limit, 10*time.Millisecond).Should(BeTrue(), "%s at %s", id, n.ip)
			}
			time.Sleep(300 * time.Millisecond)
		}
		Expect(s.hasLogged(s.nodes[0], "x5", "leaving=true")()).To(BeTrue())
	})

	// Guards against updates that are delayed until a request to the store times out, when the
	// connection stays open but no answer arrives.
	It("reaches nodes in time when the reader's connections go silent", func() {
		s := newSite()
		s.linked = true
		s.startApp("i1")
		s.start(3)
		Expect(s.storeLink(0).Stall(rig.Downstream)).To(Succeed())
		s.register("x", "pool", "127.0.0.1:9", "draining")
		for _, n := range s.nodes[1:] {
			Eventually(s.hasLogged(n, "x", "leaving=true"), 1900*time.Millisecond, 10*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})

	// Guards against two timeouts that add up: one for a reader that gets nothing from the store, then
	// one for a frozen node that is the first of its data centre.
	DescribeTable("reaches a node in time whose first node is frozen while the reader is cut off", func(freezeDelay time.Duration) {
		const bound = 2 * time.Second
		s := newSite()
		s.linked = true
		s.dataCentres = []string{"dc1", "dc2", "dc2"}
		s.startApp("i1")
		s.start(3)
		time.Sleep(1500 * time.Millisecond) // until polling has reached its steady rhythm
		Expect(s.storeLink(0).Stall(rig.Downstream)).To(Succeed())
		s.register("x", "pool", "127.0.0.1:9", "draining")
		began := time.Now()
		time.Sleep(freezeDelay)
		s.nodes[1].Freeze()
		Eventually(s.hasLogged(s.nodes[2], "x", "leaving=true"), bound-freezeDelay, 5*time.Millisecond).Should(BeTrue())
		AddReportEntry("news after", time.Since(began).String())
	},
		Entry("at once", time.Duration(0)),
		Entry("half a second between", 500*time.Millisecond),
		Entry("0.8 s between", 800*time.Millisecond),
		Entry("1.0 s between", time.Second),
		Entry("1.1 s between", 1100*time.Millisecond),
		Entry("1.2 s between", 1200*time.Millisecond),
	)

	// Guards against a removal that is attributed to a store outage, although only the reader had lost
	// its connection to the store.
	It("takes effect if the entry is removed without notice shortly after the reader alone lost the store", func() {
		const bound = 2 * time.Second
		s := newSite()
		s.linked = true
		s.startApp("i1")
		s.register("x", "pool", "127.0.0.1:9", "ready")
		s.start(3)
		s.storeLink(0).Cut()
		time.Sleep(time.Second)
		Expect(s.storeLink(0).Heal()).To(Succeed())
		time.Sleep(300 * time.Millisecond)
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "x", Delete: true})
		for _, n := range s.nodes {
			Eventually(func() bool {
				return s.hasLogged(n, "x", "tentative=false")() || s.hasLogged(n, "x", "endpoint gone")()
			}, bound, 5*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})

	// Guards against nodes that wait for a frozen node in the middle of their data centre's tree of
	// followers.
	DescribeTable("reaches nodes in time that follow a frozen node which follows another",
		func(frozen ...int) {
			const bound = 2 * time.Second
			s := newSite()
			s.startApp("i1")
			s.start(8)
			// By now the tree of followers is stable.
			time.Sleep(time.Second)
			Expect(s.hasLogged(s.nodes[6], "", "reader="+s.nodes[1].ip)()).To(BeTrue())
			for _, i := range frozen {
				s.nodes[i].Freeze()
			}
			s.register("x", "pool", "127.0.0.1:9", "draining")
			began := time.Now()
			for i, n := range s.nodes {
				if !slices.Contains(frozen, i) {
					Eventually(s.hasLogged(n, "x", "leaving=true"), bound-time.Since(began), 10*time.Millisecond).Should(BeTrue(), n.ip)
				}
			}
		},
		Entry("the one in the middle", 1),
		Entry("the one in the middle and the first", 0, 1),
	)

	// Guards against followers that wait for updates from a frozen reader.
	It("reaches nodes in time whose reader is frozen", func() {
		s := newSite()
		s.startApp("i1")
		s.start(3)
		s.nodes[0].Freeze()
		s.register("x", "pool", "127.0.0.1:9", "draining")
		for _, n := range s.nodes[1:] {
			Eventually(s.hasLogged(n, "x", "leaving=true"), 1900*time.Millisecond, 10*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})
})

var _ = Describe("an endpoint that starts again under its ID", func() {
	// Guards against callers that wait until a silent connection to an engine times out although the
	// engine has restarted at another address.
	It("ends the streams of its earlier incarnation at once", func() {
		s := newSite()
		s.linked = true
		s.startApp("i1")
		first := s.startEngine("e1", 400)
		link := s.links[len(s.links)-1]
		s.registerStartedAt("e1", "pool", s.addresses["e1"], "ready", 1000)
		s.start(2)
		done := make(chan reply, 1)
		go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
		Eventually(first.Runs, 2*time.Second).Should(HaveLen(1))
		time.Sleep(200 * time.Millisecond)
		Expect(link.Stall(rig.Downstream)).To(Succeed())
		second := s.startEngine("e1", 30)
		s.registerStartedAt("e1", "pool", s.addresses["e1"], "ready", 2000)
		var r reply
		Eventually(done, 800*time.Millisecond).Should(Receive(&r))
		Expect(r.complete).To(BeFalse())
		Eventually(func() int { return s.send(s.nodes[1], "/drafts/2", "key").status }, 2*time.Second).Should(Equal(http.StatusOK))
		Expect(second.Runs()).NotTo(BeEmpty())
	})
})

var _ = Describe("an entry that no endpoint wrote", func() {
	// Guards against work that is routed by invalid rows of other writers, and against valid entries
	// that are ignored because of such rows.
	It("is ignored and does not affect other entries", func() {
		s := newSite()
		for id, text := range map[string]string{
			"a": "{", "b": `{"service":"app"}`, "c": `{"service":"app","address":7}`, "d": "\xff",
			"e": `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","batch_size":1e9,"phase":"ready","cold_remaining_ms":0,"sequence":1}`,
			"f": `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","batch_size":6,"phase":"asleep","cold_remaining_ms":0,"sequence":1}`,
		} {
			s.write(platform.Write{Table: platform.TableEndpoints, Key: id, Value: []byte(text)})
		}
		s.startApp("i1")
		s.start(1)
		for range 30 {
			Expect(s.send(s.nodes[0], "/calls/1", "key").status).To(Equal(http.StatusOK))
		}
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "g", Value: []byte("null")})
		s.startApp("i2")
		Eventually(s.hasLogged(s.nodes[0], "i2", "endpoint known"), 2*time.Second).Should(BeTrue())
		Expect(s.hasLogged(s.nodes[0], "g", "field_missing")()).To(BeTrue())
	})
})
