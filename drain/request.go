package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
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

// errTooLate is the cancellation cause of waits that end because the request might outlast the process.
var errTooLate = errors.New("the process stops before the request is certain to end")

// Request is a request in flight. Its methods are safe for concurrent use. On a nil Request they do
// nothing and report that it is not too late.
type Request struct {
	gate     *Gate
	received time.Time
	cancel   context.CancelCauseFunc

	mu     sync.Mutex
	id     string
	phase  Phase
	bounds bounds
	// bounded is set once bounds are known.
	bounded bool
	// admittedAt is when the whole request had been read and checked, sentAt when it was last sent.
	admittedAt, sentAt time.Time
	// endWait ends the wait in progress, startTimer calls it at the latest start. Both are nil if the
	// request does not wait.
	endWait    context.CancelCauseFunc
	startTimer *time.Timer
}

// Identify sets the ID by which the request is logged.
func (r *Request) Identify(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.phase = id, Receiving
}

// Bound sets when the request ends at the latest, and an estimate of how long a run of it takes, which is
// asked each time that the request might be sent. A zero deadline means that it has none. longest must
// not block.
func (r *Request) Bound(deadline time.Time, longest func() LongestRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds, r.bounded = bounds{deadline: deadline, longest: longest}, true
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

// RefuseLate returns a refusal if a run that starts now might outlast the process, else nil.
func (r *Request) RefuseLate() *crocusreel.Refusal {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, limited := r.latestStartLocked(); limited && !time.Now().Before(at) {
		return Refuse("this node is leaving and the request might outlast it; use another address")
	}
	return nil
}

// latestStartLocked returns the time after which the request must not be sent any more; false if there
// is none.
func (r *Request) latestStartLocked() (time.Time, bool) {
	leave := r.gate.leave.Load()
	if leave == nil || !r.bounded {
		return time.Time{}, false
	}
	return leave.latestStart(r.bounds)
}

// WhileUnsent returns a context for a wait before the request is sent. It also ends when it has become
// too late to send the request. done must be called at the end of the wait; waits do not overlap.
func (r *Request) WhileUnsent(ctx context.Context) (waitCtx context.Context, done func()) {
	if r == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	r.endWait = cancel
	r.mu.Unlock()
	r.watchStart()
	return ctx, func() {
		r.mu.Lock()
		r.endWait = nil
		if r.startTimer != nil {
			r.startTimer.Stop()
			r.startTimer = nil
		}
		r.mu.Unlock()
		cancel(nil)
	}
}

// watchStart ends the wait in progress, if there is one, at the latest start.
func (r *Request) watchStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, limited := r.latestStartLocked()
	if !limited || r.endWait == nil || r.startTimer != nil {
		return
	}
	if wait := time.Until(at); wait > 0 {
		r.startTimer = time.AfterFunc(wait, r.reconsiderStart)
		return
	}
	r.endWait(errTooLate)
}

// reconsiderStart asks again for the latest start, which may have changed during the wait.
func (r *Request) reconsiderStart() {
	r.mu.Lock()
	r.startTimer = nil
	r.mu.Unlock()
	r.watchStart()
}

// RefuseInterrupted returns the refusal of a request that has not run and whose wait was ended by the
// process; nil if the wait did not end, or for another reason.
func RefuseInterrupted(waitCtx context.Context) *crocusreel.Refusal {
	switch cause := context.Cause(waitCtx); {
	case errors.Is(cause, errTooLate), errors.Is(cause, ErrStopped):
		return Refuse("%v; use another address", cause)
	default:
		return nil
	}
}

// LogFields returns when the request was read, admitted and last sent, relative to the time at which
// the process began to leave, and the time that was left each time until it stops. It returns nil if
// the process is not leaving.
func (r *Request) LogFields() []zap.Field {
	if r == nil {
		return nil
	}
	leave := r.gate.leave.Load()
	if leave == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := []zap.Field{zap.String("phase", string(r.phase))}
	if r.bounded {
		longest := r.bounds.longest()
		fields = append(fields, zap.Duration("longest_run", longest.Time), zap.Bool("longest_run_known", longest.Known))
	}
	for _, step := range []struct {
		name string
		at   time.Time
	}{{"read", r.received}, {"admitted", r.admittedAt}, {"sent", r.sentAt}} {
		if !step.at.IsZero() {
			fields = append(fields, zap.Duration(step.name+"_after_signal", step.at.Sub(leave.LeavesAt)),
				zap.Duration("left_when_"+step.name, leave.StopsAt.Sub(step.at)))
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
