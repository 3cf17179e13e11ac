package node_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	// spareDescriptors is how many descriptors a node has left, openConnections how many connections are
	// opened to it.
	spareDescriptors = 20
	openConnections  = 80
)

// limitDescriptors leaves the process of the node few descriptors beyond those that it has.
func (n *nodeProcess) limitDescriptors(spare int) {
	GinkgoHelper()
	used, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID()))
	Expect(err).NotTo(HaveOccurred())
	limit := unix.Rlimit{Cur: uint64(len(used) + spare), Max: uint64(len(used) + spare)}
	Expect(unix.Prlimit(n.PID(), unix.RLIMIT_NOFILE, &limit, nil)).To(Succeed())
}

var _ = Describe("a node that runs out of descriptors", func() {
	// Guards against a node that ends, with all that it serves, because a connection cannot be accepted.
	It("goes on, completes what it serves, and accepts connections again", func() {
		s := newSite()
		engine := s.startEngine("engine", 300)
		s.startApp("app")
		s.start(1)
		n := s.nodes[0]
		s.expectCall(n)
		stream := make(chan reply, 1)
		go func() { stream <- s.send(n, "/drafts/1", "key") }()
		Eventually(engine.Runs, 2*time.Second, 10*time.Millisecond).Should(HaveLen(1))
		n.limitDescriptors(spareDescriptors)
		var connections []net.Conn
		for range openConnections {
			conn, err := net.Dial("tcp", net.JoinHostPort(n.ip, strconv.Itoa(callerPort)))
			Expect(err).NotTo(HaveOccurred())
			connections = append(connections, conn)
		}
		Consistently(n.Running, time.Second, 20*time.Millisecond).Should(BeTrue())
		for _, conn := range connections {
			Expect(conn.Close()).To(Succeed())
		}
		r := <-stream
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(expectedEvents(r.id, 300)))
		s.expectCall(n)
		Expect(readFile(s.dir, n.ip+".log")).To(ContainSubstring("connections of callers cannot be accepted"))
	})
})
