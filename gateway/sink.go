package gateway

import (
	"errors"
	"sync"

	"github.com/crocusreel/crocusreel/caller"
)

// errCallerGone means that the answer can no longer be delivered to the caller.
var errCallerGone = errors.New("the caller is gone")

// guardedSink marks errors on the caller's side, so that they are not attributed to the endpoint.
// If optional is set, a caller that is gone does not end the run.
type guardedSink struct {
	sink     caller.Sink
	optional bool

	mu   sync.Mutex
	gone bool
}

// Begin implements caller.Sink.
func (s *guardedSink) Begin(b caller.Begin) error {
	return s.deliver(func() error { return s.sink.Begin(b) })
}

// Token implements caller.Sink.
func (s *guardedSink) Token(index int, text string) error {
	return s.deliver(func() error { return s.sink.Token(index, text) })
}

// Finish implements caller.Sink.
func (s *guardedSink) Finish(f caller.Finish) error {
	return s.deliver(func() error { return s.sink.Finish(f) })
}

// detach discards all further output. It must be called before the caller's handler returns, since
// the sink writes to that handler's response.
func (s *guardedSink) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

func (s *guardedSink) deliver(write func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return nil
	}
	if err := write(); err != nil {
		if s.optional {
			s.gone = true
			return nil
		}
		return errors.Join(errCallerGone, err)
	}
	return nil
}
