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

// knows tells whether the node has logged that it knows the endpoint with the text; no
// endpoint stands for any line.
func (s *site) knows(n *member, endpoint, text string) func() bool {
	return func() bool {
		log, err := os.ReadFile(filepath.Join(s.dir, n.ip+".log"))
		if err != nil {
			return false
		}
		for line := range strings.Lines(string(log)) {
			named := endpoint == "" || strings.Contains(line, "endpoint="+endpoint+" ")
			if named && strings.Contains(line, text) {
				return true
			}
		}
		return false
	}
}

// storeLink returns the link between a node and the store.
func (s *site) storeLink(index int) *rig.Link {
	// The first links are those in front of endpoints.
	return s.links[len(s.links)-len(s.nodes)+index]
}

var _ = Describe("news that an endpoint leaves", func() {
	// Guards against work for endpoints that have left, by nodes that go on following a reader which
	// itself learns from others, late.
	It("reaches nodes in time whose reader is cut off from the store", func() {
		const limit = time.Second
		s := newSite()
		s.linked = true
		s.app("i1")
		s.start(3)
		s.storeLink(0).Cut()
		time.Sleep(2 * time.Second)
		for i := range 14 {
			id := fmt.Sprintf("x%d", i)
			s.register(id, "pool", "127.0.0.1:9", "draining")
			for _, n := range s.nodes[1:] {
				Eventually(s.knows(n, id, "leaving=true"), limit, 10*time.Millisecond).Should(BeTrue(), "%s at %s", id, n.ip)
			}
			time.Sleep(300 * time.Millisecond)
		}
		Expect(s.knows(s.nodes[0], "x5", "leaving=true")()).To(BeTrue())
	})

	// Guards against news that waits for the end of a question which is never answered.
	It("reaches nodes in time when the reader's connections go silent", func() {
		s := newSite()
		s.linked = true
		s.app("i1")
		s.start(3)
		Expect(s.storeLink(0).Stall(rig.Downstream)).To(Succeed())
		s.register("x", "pool", "127.0.0.1:9", "draining")
		for _, n := range s.nodes[1:] {
			Eventually(s.knows(n, "x", "leaving=true"), 1900*time.Millisecond, 10*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})

	// Guards against two waits that add up: for a reader that hears nothing, then for a first node
	// that stands still.
	DescribeTable("reaches a node in time whose first node is frozen while the reader is cut off", func(between time.Duration) {
		const bound = 2 * time.Second
		s := newSite()
		s.linked = true
		s.dataCentres = []string{"dc1", "dc2", "dc2"}
		s.app("i1")
		s.start(3)
		time.Sleep(1500 * time.Millisecond) // until the questions run in their rhythm
		Expect(s.storeLink(0).Stall(rig.Downstream)).To(Succeed())
		s.register("x", "pool", "127.0.0.1:9", "draining")
		began := time.Now()
		time.Sleep(between)
		s.nodes[1].Freeze()
		Eventually(s.knows(s.nodes[2], "x", "leaving=true"), bound-between, 5*time.Millisecond).Should(BeTrue())
		AddReportEntry("news after", time.Since(began).String())
	},
		Entry("at once", time.Duration(0)),
		Entry("half a second between", 500*time.Millisecond),
		Entry("0.8 s between", 800*time.Millisecond),
		Entry("1.0 s between", time.Second),
		Entry("1.1 s between", 1100*time.Millisecond),
		Entry("1.2 s between", 1200*time.Millisecond),
	)

	// Guards against a removal that is taken for a consequence of an outage, although the store
	// turned the reader away alone.
	It("that is gone without a word is not used after a short loss that was the reader's alone", func() {
		const bound = 2 * time.Second
		s := newSite()
		s.linked = true
		s.app("i1")
		s.register("x", "pool", "127.0.0.1:9", "ready")
		s.start(3)
		s.storeLink(0).Cut()
		time.Sleep(time.Second)
		Expect(s.storeLink(0).Heal()).To(Succeed())
		time.Sleep(300 * time.Millisecond)
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "x", Delete: true})
		for _, n := range s.nodes {
			Eventually(func() bool {
				return s.knows(n, "x", "tentative=false")() || s.knows(n, "x", "endpoint gone")()
			}, bound, 5*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})

	// Guards against nodes that wait for one in the middle of their data centre's tree.
	DescribeTable("reaches nodes in time that follow a frozen node which follows another",
		func(frozen ...int) {
			const bound = 2 * time.Second
			s := newSite()
			s.app("i1")
			s.start(8)
			// By then all follow whom they follow for good.
			time.Sleep(time.Second)
			Expect(s.knows(s.nodes[6], "", "reader="+s.nodes[1].ip)()).To(BeTrue())
			for _, i := range frozen {
				s.nodes[i].Freeze()
			}
			s.register("x", "pool", "127.0.0.1:9", "draining")
			began := time.Now()
			for i, n := range s.nodes {
				if !slices.Contains(frozen, i) {
					Eventually(s.knows(n, "x", "leaving=true"), bound-time.Since(began), 10*time.Millisecond).Should(BeTrue(), n.ip)
				}
			}
		},
		Entry("the one in the middle", 1),
		Entry("the one in the middle and the first", 0, 1),
	)

	// Guards against followers that wait for a frozen reader.
	It("reaches nodes in time whose reader is frozen", func() {
		s := newSite()
		s.app("i1")
		s.start(3)
		s.nodes[0].Freeze()
		s.register("x", "pool", "127.0.0.1:9", "draining")
		for _, n := range s.nodes[1:] {
			Eventually(s.knows(n, "x", "leaving=true"), 1900*time.Millisecond, 10*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})
})

var _ = Describe("an endpoint that starts again under its ID", func() {
	// Guards against callers who wait for the time-out of a silent connection to an engine that has
	// started again elsewhere.
	It("ends the streams of its earlier start at once", func() {
		s := newSite()
		s.linked = true
		s.app("i1")
		first := s.engine("e1", 400)
		link := s.links[len(s.links)-1]
		s.registerBorn("e1", "pool", s.addresses["e1"], "ready", 1000)
		s.start(2)
		done := make(chan reply, 1)
		go func() { done <- s.send(s.nodes[0], "/drafts/1", "key") }()
		Eventually(first.Runs, 2*time.Second).Should(HaveLen(1))
		time.Sleep(200 * time.Millisecond)
		Expect(link.Stall(rig.Downstream)).To(Succeed())
		second := s.engine("e1", 30)
		s.registerBorn("e1", "pool", s.addresses["e1"], "ready", 2000)
		var r reply
		Eventually(done, 800*time.Millisecond).Should(Receive(&r))
		Expect(r.whole).To(BeFalse())
		Eventually(func() int { return s.send(s.nodes[1], "/drafts/2", "key").status }, 2*time.Second).Should(Equal(http.StatusOK))
		Expect(second.Runs()).NotTo(BeEmpty())
	})
})

var _ = Describe("an entry that no endpoint wrote", func() {
	// Guards against work that goes by rows which somebody else wrote.
	It("is not used, and costs no other its place", func() {
		s := newSite()
		for id, text := range map[string]string{
			"a": "{", "b": `{"service":"app"}`, "c": `{"service":"app","address":7}`, "d": "\xff",
			"e": `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","batch_size":1e9,"phase":"ready","cold_remaining_ms":0,"sequence":1}`,
			"f": `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","batch_size":6,"phase":"asleep","cold_remaining_ms":0,"sequence":1}`,
		} {
			s.write(platform.Write{Table: platform.TableEndpoints, Key: id, Value: []byte(text)})
		}
		s.app("i1")
		s.start(1)
		for range 30 {
			Expect(s.send(s.nodes[0], "/calls/1", "key").status).To(Equal(http.StatusOK))
		}
		s.write(platform.Write{Table: platform.TableEndpoints, Key: "g", Value: []byte("null")})
		s.app("i2")
		Eventually(s.knows(s.nodes[0], "i2", "endpoint known"), 2*time.Second).Should(BeTrue())
		Expect(s.knows(s.nodes[0], "g", "field_missing")()).To(BeTrue())
	})
})
