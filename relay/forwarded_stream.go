package relay

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errGap    = eris.New("the events of the other node do not join those that the caller has")
	errStatus = eris.New("the other node answered with a status after the answer had begun")
)

// forwardedStream is the Sink of a request that another node serves. On resumable routes it reads the
// events on their way to the caller, so that the stream can continue after the last one if the other
// node is lost, and drops those that the caller has. It passes other answers on unread.
type forwardedStream struct {
	Sink
	job  *job
	seam *seam
	// reads is set if events are read.
	reads bool
	// cause is why the events of the other node cannot be used, empty if they can.
	cause string
}

// forwardSink returns the sink for the next forward, and completes the request by what the caller
// has.
func (j *job) forwardSink() *forwardedStream {
	s := &forwardedStream{Sink: j.sink, job: j, seam: j.newSeam(), reads: j.Resumable(j.r.Route)}
	if s.reads {
		j.r.LastEvent, j.r.Resumes = j.prog.last, j.prog.known
		j.result.ResumedAt = j.prog.after()
	}
	return s
}

// Begin implements Sink. The status and header of the first run are kept.
func (s *forwardedStream) Begin(status int, header http.Header) error {
	if s.Begun() {
		if status != http.StatusOK {
			s.cause = causeFailed
			return errStatus
		}
		return nil
	}
	s.reads = s.reads && status == http.StatusOK
	s.job.result.Status = status
	return s.Sink.Begin(status, header)
}

// Write implements Sink. Nodes send whole events of streams.
func (s *forwardedStream) Write(part []byte) error {
	if !s.reads {
		return s.Sink.Write(part)
	}
	fresh := make([]byte, 0, len(part))
	placed := true
	for rest := part; len(rest) > 0 && placed; {
		var event []byte
		event, rest = splitEvent(rest)
		id, numbered := s.job.Protocol.ParseEvent(event)
		switch s.seam.check(s.job.prog, event, id, numbered) {
		case eventRepeated:
			continue
		case eventMisplaced:
			placed = false
			continue
		case eventNext:
		}
		if numbered {
			if s.job.prog.count == 0 {
				s.job.result.FirstEvent = time.Since(s.job.r.Received)
			}
			s.job.prog.record(id)
			s.job.timing.Event()
		}
		fresh = append(fresh, event...)
	}
	if len(fresh) > 0 {
		if err := s.Sink.Write(fresh); err != nil {
			return err
		}
	}
	if !placed {
		s.cause = causeGap
		return errGap
	}
	return nil
}

// failure returns why the answer of the other node cannot be used although that node was not lost,
// empty if it can.
func (s *forwardedStream) failure(got *ForwardResult) string {
	complete := !got.Lost && !got.Result.Broken && got.Result.Refusal == nil
	if s.cause == "" && s.reads && complete && s.seam.endsTooEarly(s.job.prog) {
		s.cause = causeGap
	}
	return s.cause
}
