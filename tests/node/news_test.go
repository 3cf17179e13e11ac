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
	// The node that reads the store for its data centre is cut off from it. The others must
	// not follow it any more, however long the cut lasts: what it still knows it has from
	// others, seconds late, and work would be sent to endpoints that have left.
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

	// The connections between the reader and the store go silent without an end. Nobody
	// hears anything until the reader's question is given up.
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

	// Two things happen at once or one soon after the other: the reader hears nothing of the
	// store any more, and the first node of another data centre, which follows it, stands
	// still. The other node of that data centre passes over the one, then over the other, and
	// an endpoint leaves in the meantime. Work sent to it after two seconds would be lost.
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

	// The store turns the reader away for a second, and it alone. Right after, an endpoint
	// takes its entry back without having said that it leaves. The reader cannot tell yet that
	// the store was well all the time, takes the removal for one of an outage, and goes on
	// sending work to the endpoint; so do all who follow it.
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

	// Guards against the same after a short loss that all nodes had: no entry lapses in a second.
	It("that is gone without a word is not used after a short loss of the store", func() {
		const bound = time.Second
		s := newSite()
		s.linked = true
		s.app("i1")
		s.register("x", "pool", "127.0.0.1:9", "ready")
		s.start(3)
		time.Sleep(2500 * time.Millisecond) // until what they knew at the start is settled
		for i := range s.nodes {
			s.storeLink(i).Cut()
		}
		time.Sleep(time.Second)
		for i := range s.nodes {
			Expect(s.storeLink(i).Heal()).To(Succeed())
		}
		time.Sleep(300 * time.Millisecond)
		s.remove("x")
		for _, n := range s.nodes {
			Eventually(func() bool {
				return s.knows(n, "x", "tentative=false")() || s.knows(n, "x", "endpoint gone")()
			}, bound, 5*time.Millisecond).Should(BeTrue(), n.ip)
		}
	})

	// In a data centre of more than five nodes some follow one that itself follows. When that one
	// stands still, alone or with the first of all, those below it wait for answers that do
	// not come, and must find another one to follow in time.
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

	// The reader stands still. Its followers wait for an answer that does not come.
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
	// An engine dies without a word and starts again at another address before its entry
	// has expired. The caller's draft is lost; it must hear so at once, and not after the
	// seconds in which a silent connection times out.
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
	// Somebody else writes to the endpoints' table. Work must not go by it, and the other
	// endpoints must go on serving.
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
