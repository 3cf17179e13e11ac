package worker

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Announce puts a header on all answers from now on, as the worker's limit; an empty value takes it away.
func (w *Worker) Announce(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.says == nil {
		w.says = make(map[string]string)
	}
	w.says[name] = value
	if value == "" {
		delete(w.says, name)
	}
}

// Pause makes the worker refuse all requests and ask for a pause of so many seconds; empty ends it.
func (w *Worker) Pause(seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = seconds
}

// refusing sets the pause that a refusal asks for; it returns false if requests are not refused.
func (w *Worker) refusing(h http.Header) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pause != "" {
		h.Set("Retry-After", w.pause)
	}
	return w.pause != ""
}

// noticeHeaders returns the headers of all answers.
func (w *Worker) noticeHeaders() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.says)
}

// Arrival is a request that came, and what its answer says of the worker.
type Arrival struct {
	ID string
	At time.Time
	// Says are the headers of its answer, Pause the Retry-After of its refusal.
	Says  map[string]string
	Pause string
}

// Arrivals returns the requests that came, in order, refused ones included.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

func (w *Worker) arrived(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{ID: id, At: time.Now(), Says: maps.Clone(w.says), Pause: w.pause})
}

// withNotices sets the headers of all answers; those of answers that are written by hand are
// set by head.
func (w *Worker) withNotices(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		for name, value := range w.noticeHeaders() {
			rw.Header().Set(name, value)
		}
		next.ServeHTTP(rw, r)
	})
}
