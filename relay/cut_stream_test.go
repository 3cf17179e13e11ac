package relay_test

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/routing"
)

// droppingLink is a proxy that can cut off its clients so that nothing is acknowledged: their connections
// break, new ones are not established, and the target notices nothing.
type droppingLink struct {
	listener *net.TCPListener
	target   string

	mu      sync.Mutex
	clients []net.Conn
	resumed chan struct{}
	fillers []net.Conn
}

func newDroppingLink(target string) *droppingLink {
	GinkgoHelper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := &droppingLink{listener: listener.(*net.TCPListener), target: target, resumed: make(chan struct{})}
	DeferCleanup(listener.Close)
	go l.accept()
	return l
}

func (l *droppingLink) accept() {
	for {
		client, err := l.listener.Accept()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			<-l.resumed
			continue
		}
		if err != nil {
			return
		}
		target, err := net.Dial("tcp4", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l.mu.Lock()
		l.clients = append(l.clients, client)
		l.mu.Unlock()
		// The connection to the target stays open when that of the client breaks.
		go l.pump(client, target)
		go l.pump(target, client)
	}
}

func (l *droppingLink) pump(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

// setBacklog changes how many connections the kernel accepts that the proxy does not.
func (l *droppingLink) setBacklog(n int) {
	GinkgoHelper()
	raw, err := l.listener.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })).To(Succeed())
}

// drop begins the cut. It fills the queue of the listener, whereupon the kernel drops further handshakes.
func (l *droppingLink) drop() {
	GinkgoHelper()
	Expect(l.listener.SetDeadline(time.Now())).To(Succeed())
	l.setBacklog(0)
	for {
		filler, err := net.DialTimeout("tcp4", l.listener.Addr().String(), 20*time.Millisecond)
		if err != nil {
			break
		}
		l.fillers = append(l.fillers, filler)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, client := range l.clients {
		_ = client.Close()
	}
}

// heal ends the cut.
func (l *droppingLink) heal() {
	GinkgoHelper()
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
	l.setBacklog(syscall.SOMAXCONN)
	Expect(l.listener.SetDeadline(time.Time{})).To(Succeed())
	close(l.resumed)
}

// runLog is the run log of a worker of this process.
type runLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *runLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// runs returns the runs logged so far.
func (l *runLog) runs() []*worker.RunSpan {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	runs, err := worker.ReadRunLog("", bytes.NewReader(l.text.Bytes()))
	Expect(err).NotTo(HaveOccurred())
	return runs
}

var _ = Describe("a stream that breaks off while its engine cannot be reached", func() {
	// Guards against a stream that goes on elsewhere while its engine, which is sound and out of reach for a
	// second, still works on it.
	It("is resumed from its backup only once its engine has stopped the run", func() {
		r := newTestRelay()
		r.backups = true
		var firstLog, secondLog runLog
		engine := func(id string, log *runLog) *worker.Worker {
			w, err := worker.Start(worker.Options{ID: id, Events: 800, EventInterval: 5 * time.Millisecond, KVStore: r.memory, RunLog: log})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(w.Stop)
			return w
		}
		first, second := engine("first", &firstLog), engine("second", &secondLog)
		link := newDroppingLink(first.Address())
		r.Fleet.Update(fleet.Instance{ID: "first", Service: "pool", Address: link.listener.Addr().String(), DataCentre: "dc1", Slots: 8})
		req := r.request(routing.Streaming)
		req.Deadline = time.Now().Add(12 * time.Second)
		answer := &recordingSink{}
		done := make(chan bool, 1)
		r.Fleet.Update(fleet.Instance{ID: "second", Service: "pool", Address: second.Address(), DataCentre: "dc2", Slots: 8})
		go func() {
			v := r.Serve(GinkgoT().Context(), req, answer)
			done <- !v.Broken
		}()
		Eventually(answer.text, 2*time.Second, time.Millisecond).Should(ContainSubstring("id: 10\n"))
		link.drop()
		time.Sleep(1200 * time.Millisecond)
		link.heal()
		Eventually(done, 8*time.Second).Should(Receive(BeTrue()))
		Expect(answer.text()).To(Equal(events(req.ID, 1, 800)))
		before, after := firstLog.runs(), secondLog.runs()
		Expect(before).To(HaveLen(1))
		Expect(after).To(HaveLen(1))
		Expect(before[0].EndedAt.Sub(after[0].BeganAt)).To(BeNumerically("<", 400*time.Millisecond))
	})
})
