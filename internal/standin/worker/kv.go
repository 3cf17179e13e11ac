package worker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// KVStore holds the copies and backups of the KV memory of runs, shared by engines between which
// runs move. It maps the handle of a copy to the number of its last event. It is safe for
// concurrent use.
type KVStore struct {
	mu      sync.Mutex
	handles map[string]int64
}

// NewKVStore returns an empty KVStore.
func NewKVStore() *KVStore { return &KVStore{handles: make(map[string]int64)} }

// CopyCrash describes how a worker crashes after it has made a copy. CutAfter and AnswerAfter are
// the delays from the copy to the cut of the worker's streams and to the response of the move
// order.
type CopyCrash struct {
	CutAfter, AnswerAfter time.Duration
	// AnswerLost closes the connection of the move order without a response.
	AnswerLost bool
}

// crashAfterCopy closes the listener, schedules the cut of the streams and the stop of the worker,
// and returns when the response to the current move order is due.
func (w *Worker) crashAfterCopy(d CopyCrash) {
	_ = w.listener.Close()
	time.AfterFunc(d.CutAfter, w.cutStreams)
	time.AfterFunc(d.AnswerAfter+exitDelay, w.Stop)
	time.Sleep(d.AnswerAfter)
}

// exitDelay is the time between the last response of a crashing worker and its stop.
const exitDelay = 50 * time.Millisecond

// takeCopy removes the copy that a Kv-From header names and returns the number of the event after
// which the run continues. It returns false if there is no such copy or lastEvent is not a number.
func (s *KVStore) takeCopy(from, lastEvent string) (int64, bool) {
	_, handle, _ := strings.Cut(from, "/")
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.handles[handle]
	delete(s.handles, handle)
	return last, ok && err == nil
}

type moveBody struct {
	ID    string `json:"id"`
	To    string `json:"to"`
	Final bool   `json:"final"`
}

func (w *Worker) move(rw http.ResponseWriter, r *http.Request) {
	var body moveBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	s := w.streams[body.ID]
	if s == nil {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	lastEvent := s.lastEvent
	w.moveTargets = append(w.moveTargets, body.To)
	answerLost := len(w.moveTargets) <= w.options.LostMoveAnswers
	if body.Final {
		s.once.Do(func() { close(s.stop) })
	}
	w.mu.Unlock()
	time.Sleep(w.options.MoveTime)
	w.answering.RLock()
	defer w.answering.RUnlock()
	handle := w.options.KVStore.saveCopy(body.ID, lastEvent)
	if d := w.options.CrashAfterCopy; d != nil {
		w.crashAfterCopy(*d)
		answerLost = answerLost || d.AnswerLost
	}
	if answerLost {
		panic(http.ErrAbortHandler)
	}
	w.answerMove(rw, handle, lastEvent)
}

// answerMove writes and flushes the whole response before it returns.
func (w *Worker) answerMove(rw http.ResponseWriter, handle string, lastEvent int64) {
	data, _ := json.Marshal(map[string]any{"cache_handle": handle, "created": lastEvent})
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = rw.Write(data)
	_ = http.NewResponseController(rw).Flush()
}

// saveBackup creates or renews the backup of a run, whose handle is the run's ID.
func (s *KVStore) saveBackup(run string, lastEvent int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handles[run] = lastEvent
}

// saveCopy creates or renews the copy of a run and returns its handle.
func (s *KVStore) saveCopy(run string, lastEvent int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	handle := "copy-of-" + run
	s.handles[handle] = lastEvent
	return handle
}

func (w *Worker) free(rw http.ResponseWriter, r *http.Request) {
	w.options.KVStore.remove(r.PathValue("handle"))
	rw.WriteHeader(http.StatusOK)
}

func (s *KVStore) remove(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handles, handle)
}

// Copies returns the number of copies and backups that are neither used nor freed.
func (s *KVStore) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.handles)
}
