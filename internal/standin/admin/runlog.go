package admin

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RunLog records the runs of an endpoint. With a journal file the starts of runs survive a
// restart, so that a test that kills an endpoint still sees what it had started; updates are
// kept in memory only. It is safe for concurrent use.
type RunLog struct {
	mu          sync.Mutex
	runs        []Run
	journal     *os.File
	incarnation string
}

// OpenRunLog loads the journal at path, which it creates if missing, and appends new runs to
// it. Lines that are not valid JSON are skipped. An empty path keeps the runs in memory only.
func OpenRunLog(path, incarnation string) (*RunLog, error) {
	l := &RunLog{incarnation: incarnation}
	if path == "" {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open run journal")
	}
	l.journal = f
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var r Run
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			l.runs = append(l.runs, r)
		}
	}
	return l, eris.Wrap(lines.Err(), "read run journal")
}

// Start records a run before it begins and returns its index for Update. It sets the run's
// incarnation and start time.
func (l *RunLog) Start(r Run) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Incarnation = l.incarnation
	r.StartedAt = time.Now()
	if l.journal != nil {
		line, err := json.Marshal(r)
		if err != nil {
			return 0, eris.Wrap(err, "encode run")
		}
		if _, err := l.journal.Write(append(line, '\n')); err != nil {
			return 0, eris.Wrap(err, "write journal")
		}
	}
	l.runs = append(l.runs, r)
	return len(l.runs) - 1, nil
}

// Update applies change to the run at index while it holds the lock. The index must come from
// Start.
func (l *RunLog) Update(index int, change func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.runs[index])
}

// List returns a copy of all runs in start order.
func (l *RunLog) List() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}
