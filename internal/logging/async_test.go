package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// stuckWriter blocks until it is released, like a pipe whose reader has stopped reading.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

// The process that reads the log stops reading. If writing a log line blocked, every request that
// logs would hang, and callers would see a node that accepts requests and never answers.
func TestStuckReaderDoesNotBlockWriters(t *testing.T) {
	g := gomega.NewWithT(t)
	stuck := &stuckWriter{release: make(chan struct{})}
	w := newAsyncWriter(stuck)
	for range maxQueuedLines + 100 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(5))
	}
	close(stuck.release)
	g.Expect(w.Sync()).To(gomega.Succeed())
	stuck.mu.Lock()
	defer stuck.mu.Unlock()
	g.Expect(bytes.Count(stuck.Bytes(), []byte("line\n"))).To(gomega.BeNumerically(">=", maxQueuedLines))
}
