package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// maxQueuedLines is the maximum number of queued lines: about the output of one second at the
	// highest log rate of a node.
	maxQueuedLines = 2048
	// syncTimeout bounds the time for which Sync waits for queued lines when the process exits.
	syncTimeout = 500 * time.Millisecond
)

// asyncWriter writes lines in a separate goroutine, since a stalled reader of the log would
// otherwise block every request that logs. Lines that do not fit into the queue are dropped and
// counted.
type asyncWriter struct {
	out   io.Writer
	lines chan []byte
	// pending is the number of lines that are queued or being written.
	pending atomic.Int64
	start   sync.Once
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	return &asyncWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements zapcore.WriteSyncer. It never blocks, and reports success for dropped lines.
func (w *asyncWriter) Write(p []byte) (int, error) {
	w.start.Do(func() { go w.writeLoop() })
	line := append([]byte(nil), p...)
	w.pending.Add(1)
	select {
	case w.lines <- line:
	default:
		w.pending.Add(-1)
		metrics.Count("log_lines_dropped")
	}
	return len(p), nil
}

func (w *asyncWriter) writeLoop() {
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			metrics.Count("log_write_failed")
		}
		w.pending.Add(-1)
	}
}

// Sync implements zapcore.WriteSyncer. It waits at most syncTimeout until the queued lines are
// written, and returns nil in any case.
func (w *asyncWriter) Sync() error {
	for deadline := time.Now().Add(syncTimeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return nil
}
