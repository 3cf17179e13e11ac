package worker

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// RunSpan is a run of a request as the log of a worker shows it.
type RunSpan struct {
	Worker, ID string
	BeganAt    time.Time
	// EndedAt is zero if the run has not ended.
	EndedAt time.Time
}

// Words that begin a line of a run log, before a request ID and a time in Unix nanoseconds.
const (
	logBegan = "began"
	logEnded = "ended"
)

// logRun writes a line to the run log, if there is one.
func (w *Worker) logRun(what, id string) {
	if w.options.RunLog == nil {
		return
	}
	w.logMu.Lock()
	defer w.logMu.Unlock()
	_, _ = fmt.Fprintf(w.options.RunLog, "%s %s %d\n", what, id, time.Now().UnixNano())
}

// ReadRunLog returns the runs in the run log of the worker with the given name, in the order in which
// they began. It ignores other lines.
func ReadRunLog(name string, log io.Reader) ([]*RunSpan, error) {
	var runs []*RunSpan
	open := make(map[string]*RunSpan)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var what, id string
		var at int64
		if n, _ := fmt.Sscanf(strings.TrimSpace(lines.Text()), "%s %s %d", &what, &id, &at); n != 3 {
			continue
		}
		switch what {
		case logBegan:
			open[id] = &RunSpan{Worker: name, ID: id, BeganAt: time.Unix(0, at)}
			runs = append(runs, open[id])
		case logEnded:
			if run := open[id]; run != nil {
				run.EndedAt = time.Unix(0, at)
			}
		}
	}
	return runs, lines.Err()
}

// work waits until a plain call is done. It returns false if the caller closed the connection before,
// and the worker notices that.
func (w *Worker) work(out *output) bool {
	if !w.options.StopsOnClose {
		time.Sleep(w.options.WorkTime)
		return true
	}
	select {
	case <-out.closed:
		return false
	case <-time.After(w.options.WorkTime):
		return true
	}
}
