package relay

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/endpoint/h1"
)

// Sender makes the decisions of one request about its attempts, for simulations.
type Sender struct{ j *job }

// NewSender returns the decisions of a request.
func NewSender(l *Relay, r *Request) *Sender { return &Sender{&job{Relay: l, r: r}} }

// Refused records a connection that the placement's endpoint refused after this time. It returns
// whether the request may be sent again, and the wait before that.
func (s *Sender) Refused(took time.Duration) (again bool, pause time.Duration) {
	s.j.result.Attempts++
	err := &h1.Error{}
	s.j.arrivals.lost += took
	if !s.j.mayContinue(context.Background(), sendErrorResult(err), maxSends) {
		return false, 0
	}
	return true, s.j.arrivals.pause(s.j.freeTime())
}

// Attempts returns the number of attempts that were refused.
func (s *Sender) Attempts() int { return s.j.result.Attempts }
