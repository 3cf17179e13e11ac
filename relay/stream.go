package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// segment is the part of a stream that one endpoint produces.
type segment struct {
	*job
	p        *fleet.Placement
	resp     *h1.Response
	migrator *migrator
	events   *eventReader
	// backup is the reservation for a copy of the run's KV cache on another endpoint, nil for none.
	backup *fleet.BackupReservation
}

// segmentEnd is how a segment ended.
type segmentEnd int

const (
	// segmentComplete means that the stream reached its end.
	segmentComplete segmentEnd = iota
	// segmentCut means that the connection to the endpoint broke before the end.
	segmentCut
	// segmentCallerGone means that the caller no longer accepts data.
	segmentCallerGone
	// segmentCorrupt means that an event is missing or out of order.
	segmentCorrupt
)

// stream serves a request whose answer is a series of events.
func (j *job) stream(ctx context.Context) Result {
	s, result := j.start(ctx)
	if s == nil {
		return result
	}
	if s.resp.StatusCode != http.StatusOK {
		j.releaseBackup(s.backup, false)
		return j.deliverNonStream(s.p, s.resp)
	}
	prog := &progress{}
	for {
		end, next := s.run(ctx, prog)
		j.releaseBackup(s.backup, end == segmentComplete)
		if next == nil {
			return j.streamEnded(ctx, end, prog)
		}
		s = next
	}
}

// progress is what the caller has received of a stream.
type progress struct {
	// last is the ID of the last event. It is valid once begun is set.
	last  int64
	begun bool
	// count is the number of events.
	count int
	// lastAt is when the last event arrived, longestGap the longest pause between two events.
	lastAt     time.Time
	longestGap time.Duration
}

func (p *progress) record(id int64) {
	now := time.Now()
	if p.begun {
		p.longestGap = max(p.longestGap, now.Sub(p.lastAt))
	}
	p.lastAt = now
	p.begun = true
	p.last = id
	p.count++
}

// start finds an endpoint that accepts the request. It returns a nil segment if there is none.
func (j *job) start(ctx context.Context) (*segment, Result) {
	for {
		if j.outOfReach() {
			if result, served := j.forward(ctx); served {
				return nil, result
			}
		}
		p, refusal := j.place(ctx)
		if refusal != nil {
			return nil, j.exhausted(ctx, nil, refusal)
		}
		backup := j.reserveBackup(p)
		silenceTimer := time.AfterFunc(silentThreshold, func() { p.RecordResult(fleet.Silent) })
		resp, err := j.send(ctx, p, nil, backup)
		silenceTimer.Stop()
		got := startErrorResult(err)
		if err == nil {
			refused := false
			if got, refused = j.refusedResult(resp); !refused {
				return &segment{job: j, p: p, resp: resp, backup: backup}, Result{}
			}
		}
		p.Release(got.health)
		j.releaseBackup(backup, got.notRun)
		j.tried = append(j.tried, p.Instance().ID)
		j.result.Detail = got.cause
		j.ran = j.ran || !got.notRun
		if got.broken() {
			j.strikeIfDead(ctx, p)
		}
		if ctx.Err() != nil || !j.mayContinue(got, maxSends) || j.strikeLimitReached() {
			return nil, j.exhausted(ctx, nil, j.failureRefusal(got))
		}
	}
}

func startErrorResult(err error) attemptResult {
	if err == nil {
		return attemptResult{}
	}
	return sendErrorResult(err)
}

// silentThreshold is the time without the header of an answer after which an engine counts as
// silent. The header is sent with the first event, which takes a second on a full engine.
const silentThreshold = 2 * time.Second

// deliverNonStream delivers an endpoint's answer that is not a stream.
func (j *job) deliverNonStream(p *fleet.Placement, resp *h1.Response) Result {
	j.ran = true
	got := j.readAnswer(resp, func() {})
	p.Release(got.health)
	if got.answer == nil {
		return j.end(lostRefusal("%s", got.cause), got.cause)
	}
	return j.deliver(got.answer)
}

// run forwards the events of this segment. If the stream is resumed on another endpoint, run
// returns the next segment.
func (s *segment) run(ctx context.Context, prog *progress) (segmentEnd, *segment) {
	s.ran = true
	s.migrator = newMigrator(s)
	s.migrator.start(ctx)
	defer s.migrator.stop()
	end, next := s.forward(ctx, prog)
	s.Vacated.markEnded(s.runKey())
	if next == nil || s.migrator.currentCopy() != nil {
		go s.migrator.discard()
	}
	return end, next
}

// forward sends the header of the answer and the events to the caller until the segment ends, and
// then resumes the stream on another endpoint if the segment was cut.
func (s *segment) forward(ctx context.Context, prog *progress) (segmentEnd, *segment) {
	if !s.sink.Begun() {
		s.result.Status = s.resp.StatusCode
		if err := s.sink.Begin(s.resp.StatusCode, s.Protocol.AnswerHeader(s.resp.Header)); err != nil {
			s.finish(fleet.Neutral)
			return segmentCallerGone, nil
		}
	}
	end, cause := s.forwardEvents(prog)
	switch end {
	case segmentComplete:
		if s.resp.Framed() || !s.endpointGone(ctx, s.p) {
			s.resp.Finish()
			s.p.Release(fleet.Good)
			s.Strikes.Clear(s.r.Fingerprint)
			return end, nil
		}
		end, cause = segmentCut, io.ErrUnexpectedEOF
	case segmentCallerGone, segmentCorrupt:
		s.finish(fleet.Neutral)
		return end, nil
	case segmentCut:
	}
	if ctx.Err() != nil {
		s.finish(fleet.Neutral)
		return segmentCut, nil
	}
	wait := s.strikeAfterCut(ctx, s.p)
	if next := s.resumeFromCopies(ctx, prog); next != nil {
		s.finish(s.healthAfterCut())
		return end, next
	}
	wait()
	s.result.Detail = "stream cut: " + cause.Error()
	s.finish(s.healthAfterCut())
	return end, nil
}

// healthAfterCut returns the health result for an endpoint whose stream was cut: a failure, unless
// the endpoint was leaving or has restarted.
func (s *segment) healthAfterCut() fleet.Result {
	if s.p.EndpointContext().Err() != nil || leaving(s.p) {
		return fleet.Neutral
	}
	return fleet.Failed
}

func (s *segment) runKey() RunKey { return newRunKey(s.r.ID, s.p.Instance().Incarnation().Key()) }

func (s *segment) finish(r fleet.Result) {
	s.resp.Close()
	s.p.Release(r)
}

// eventsPerUpdate is the number of events between two updates of a placement.
const eventsPerUpdate = 4

// forwardEvents forwards events until the segment ends.
func (s *segment) forwardEvents(prog *progress) (segmentEnd, error) {
	s.events = newEventReader(s.resp.Body)
	for {
		batch, err := s.events.next()
		if len(batch) > 0 {
			fresh, ok := s.newEvents(batch, prog)
			if !ok {
				return segmentCorrupt, io.ErrUnexpectedEOF
			}
			if len(fresh) > 0 {
				if err := s.sink.Write(fresh); err != nil {
					return segmentCallerGone, err
				}
			}
		}
		if err == io.EOF {
			return segmentComplete, io.EOF
		}
		if err != nil {
			return segmentCut, err
		}
	}
}

// newEvents checks the order of the events and returns those that the caller has not received yet.
// It returns false if an event is missing. After a move, an engine may send the last events again,
// and a faulty one may omit an event; the caller must then not get a stream that looks complete.
func (s *segment) newEvents(batch []byte, prog *progress) ([]byte, bool) {
	fresh := batch[:0]
	for rest := batch; len(rest) > 0; {
		var event []byte
		event, rest = splitEvent(rest)
		id, numbered := s.Protocol.ParseEvent(event)
		if numbered && prog.begun {
			if id <= prog.last {
				metrics.Count("event_repeated")
				continue
			}
			if id != prog.last+1 {
				metrics.Count("event_missing")
				return nil, false
			}
		}
		if numbered {
			s.recordEvent(id, prog)
		}
		fresh = append(fresh, event...)
	}
	return fresh, true
}

func (s *segment) recordEvent(id int64, prog *progress) {
	if !prog.begun {
		s.result.FirstEvent = time.Since(s.r.Received)
	}
	prog.record(id)
	if prog.count%eventsPerUpdate == 1 {
		s.p.SetProduced(prog.count * s.tokensPerEvent())
	}
	s.migrator.markBegun()
}

func (s *segment) tokensPerEvent() int {
	if spec := s.r.Service.Engine; spec != nil {
		return spec.TokensPerEvent
	}
	return 1
}

// resume sends the request to an engine that has a copy of the run's KV cache. It returns nil if
// the engine does not accept it.
func (s *segment) resume(ctx context.Context, placement *fleet.Placement, resume *Resume, prog *progress) *segment {
	backup := s.reserveBackup(placement, s.p.Instance().ID)
	resp, err := s.send(ctx, placement, resume, backup)
	if err == nil {
		_, refused := s.refusedResult(resp)
		if !refused && resp.StatusCode == http.StatusOK {
			s.result.Moves++
			metrics.Count("stream_moved")
			s.Log.Info("stream goes on", zap.String("request", s.r.ID), zap.String("endpoint", placement.Instance().ID),
				zap.Int64("last_event", prog.last), zap.Duration("pause", time.Since(prog.lastAt)))
			return &segment{job: s.job, p: placement, resp: resp, backup: backup}
		}
		resp.Close()
	}
	s.releaseBackup(backup, false)
	s.Log.Warn("stream not resumed", zap.String("request", s.r.ID), zap.String("endpoint", placement.Instance().ID),
		zap.NamedError("cause", err))
	return nil
}

// streamEnded returns the outcome of a stream.
func (j *job) streamEnded(ctx context.Context, end segmentEnd, prog *progress) Result {
	j.result.Events = prog.count
	j.result.LongestGap = prog.longestGap
	if end == segmentComplete {
		return j.result
	}
	result := j.end(nil, j.result.Detail)
	result.Broken = true
	switch {
	case end == segmentCallerGone || errors.Is(ctx.Err(), context.Canceled):
		result.Detail = "caller gone"
	case ctx.Err() != nil:
		result.Detail = "time over"
	case end == segmentCorrupt:
		result.Detail = "event missing"
	}
	return result
}
