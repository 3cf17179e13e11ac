package worker

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// SetNotice sets a notice header, such as the worker's request limit, of all further responses. An
// empty value removes the header.
func (w *Worker) SetNotice(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notices == nil {
		w.notices = make(map[string]string)
	}
	w.notices[name] = value
	if value == "" {
		delete(w.notices, name)
	}
}

// Pause makes the worker refuse all requests with a Retry-After of the given seconds. An empty value
// ends the refusals.
func (w *Worker) Pause(seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = seconds
}

// setRetryAfterIfPaused reports whether all requests are refused, and sets the Retry-After header
// if so.
func (w *Worker) setRetryAfterIfPaused(h http.Header) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pause != "" {
		h.Set("Retry-After", w.pause)
	}
	return w.pause != ""
}

// noticeHeaders returns a copy of the notice headers of all responses.
func (w *Worker) noticeHeaders() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.notices)
}

// Arrival is a received request with the notices that the worker sends at that time.
type Arrival struct {
	ID string
	At time.Time
	// Notices are the notice headers of the response, and Pause the Retry-After of the refusal,
	// empty if the request is not refused for a pause.
	Notices map[string]string
	Pause   string
}

// Arrivals returns the received requests in order, including refused ones, but not those that
// expect another instance.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

func (w *Worker) recordArrival(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{ID: id, At: time.Now(), Notices: maps.Clone(w.notices), Pause: w.pause})
}

// withNotices is middleware that sets the notice headers of all responses. Responses on hijacked
// connections get theirs from responseHead.
func (w *Worker) withNotices(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.breakIfDown(rw) {
			return
		}
		for name, value := range w.noticeHeaders() {
			rw.Header().Set(name, value)
		}
		next.ServeHTTP(rw, r)
	})
}
