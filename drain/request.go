package drain

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Phase is how far a request has come.
type Phase string

// The phases of a request, in their order. A retry returns to Waiting.
const (
	// Receiving means that the header has been read, but not the whole body.
	Receiving Phase = "receiving"
	// Waiting means that the request waits to be sent to an endpoint.
	Waiting Phase = "waiting"
	// Sent means that the request was sent to an endpoint or to another node.
	Sent Phase = "sent"
	// Answering means that the answer is being written to the caller.
	Answering Phase = "answering"
)

// Request is a request in flight. Its methods are safe for concurrent use, and do nothing on a nil
// Request.
type Request struct {
	gate     *Gate
	received time.Time

	mu    sync.Mutex
	id    string
	phase Phase
	// admittedAt is when the whole request had been read and checked, sentAt when it was last sent.
	admittedAt, sentAt time.Time
}

// Identify sets the ID by which the request is logged.
func (r *Request) Identify(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.phase = id, Receiving
}

// Enter records that the request has reached a phase.
func (r *Request) Enter(p Phase) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
	switch {
	case p == Waiting && r.admittedAt.IsZero():
		r.admittedAt = time.Now()
	case p == Sent:
		r.sentAt = time.Now()
	}
}

// End counts the request as no longer in flight.
func (r *Request) End() { r.gate.end(r) }

// LogFields returns when the request was read, admitted and last sent, relative to the time at which
// the process began to leave, and the time that was left each time until it stops. It returns nil if
// the process is not leaving.
func (r *Request) LogFields() []zap.Field {
	if r == nil {
		return nil
	}
	leftAt, stopsAt, leaving := r.gate.schedule()
	if !leaving {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := []zap.Field{zap.String("phase", string(r.phase))}
	for _, step := range []struct {
		name string
		at   time.Time
	}{{"read", r.received}, {"admitted", r.admittedAt}, {"sent", r.sentAt}} {
		if !step.at.IsZero() {
			fields = append(fields, zap.Duration(step.name+"_after_signal", step.at.Sub(leftAt)),
				zap.Duration("left_when_"+step.name, stopsAt.Sub(step.at)))
		}
	}
	return fields
}

// ID returns the ID of the request, empty if it is not known yet.
func (r *Request) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}
