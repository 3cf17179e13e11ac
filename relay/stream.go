package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/drain"
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
	// watch ends the run if the endpoint hangs.
	watch *hangWatch
	// seam is where the events of this segment join those that the caller has.
	seam *seam
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
	// segmentHung means that the endpoint sent nothing for too long, and another run may follow.
	segmentHung
)

// stream serves a request whose answer is a series of events. If a run is lost and the route allows
// it, another run continues the stream.
func (j *job) stream(ctx context.Context) Result {
	s, result := j.start(ctx)
	for s != nil {
		if s.resp.StatusCode != http.StatusOK {
			j.releaseBackup(s.backup, false)
			defer s.watch.end()
			return j.deliverNonStream(ctx, s.p, s.resp)
		}
		end, next := s.run(ctx, j.prog)
		j.releaseBackup(s.backup, end == segmentComplete)
		if next == nil {
			if !j.mayRunAgain(ctx, s, end) {
				return j.streamEnded(ctx, end)
			}
			next, result = j.start(ctx)
		}
		s = next
	}
	return result
}

// start finds an endpoint that accepts the request. It returns a nil segment if there is none.
func (j *job) start(ctx context.Context) (*segment, Result) {
	var last attemptResult
	for {
		if j.outOfReach() {
			if result, served := j.forward(ctx); served {
				return nil, result
			}
		}
		if !j.awaitLastRunEnd(ctx) {
			return nil, j.exhausted(ctx, nil, j.failureRefusal(last))
		}
		p, refusal := j.place(ctx)
		if refusal != nil {
			return nil, j.exhausted(ctx, nil, refusal)
		}
		if ctx.Err() != nil {
			p.Release(fleet.Neutral)
			return nil, j.exhausted(ctx, nil, nil)
		}
		if !j.retryStillReserved(ctx) {
			p.Release(fleet.Neutral)
			return nil, j.exhausted(ctx, nil, j.failureRefusal(last))
		}
		s, got := j.sendNew(ctx, p)
		last = got
		if s != nil {
			return s, Result{}
		}
		j.result.Detail = got.cause
		j.ran = j.ran || !got.notRun
		if got.broken() {
			j.strikeIfDead(ctx, p, j.prog.count)
		}
		if ctx.Err() != nil || j.strikeLimitReached() || got.final || !j.mayContinueRun(ctx, got) {
			return nil, j.exhausted(ctx, nil, j.failureRefusal(got))
		}
	}
}

// sendNew starts a new run on the endpoint of p. If that fails, it releases p and returns a nil
// segment.
func (j *job) sendNew(ctx context.Context, p *fleet.Placement) (*segment, attemptResult) {
	backup := j.reserveBackup(p)
	silenceTimer := time.AfterFunc(silentThreshold, func() { p.RecordResult(fleet.Silent) })
	defer silenceTimer.Stop()
	j.tried = append(j.tried, p.Instance().ID)
	j.result.ResumedAt = j.prog.after()
	watch := j.watchHang(ctx, p, j.r.Runs+1, hangThreshold(j.r.Route))
	watch.arm()
	resp, err := j.send(watch.ctx, p, nil, backup)
	watch.disarm()
	got := j.startResult(ctx, resp, err, watch)
	if !got.notRun {
		j.r.Runs++
	}
	j.recordRunEnd(got.cause, endOf(p, got))
	if got.cause == "" {
		return &segment{job: j, p: p, resp: resp, backup: backup, watch: watch, seam: j.newSeam()}, got
	}
	watch.end()
	p.Release(got.health)
	j.releaseBackup(backup, got.notRun)
	return nil, got
}

// startResult returns the result of sending a new run. Its cause is empty if there is an answer to be
// delivered.
func (j *job) startResult(ctx context.Context, resp *h1.Response, err error, watch *hangWatch) attemptResult {
	switch {
	case err != nil && watch.hung():
		return watch.result()
	case err != nil:
		return sendErrorResult(err)
	}
	if got, refused := j.refusedResult(resp); refused {
		return got
	}
	return j.unusableStatus(ctx, resp)
}

// silentThreshold is the time without the header of an answer after which an engine counts as
// silent. The header is sent with the first event, which takes a second on a full engine.
const silentThreshold = 2 * time.Second

// deliverNonStream delivers an endpoint's answer that is not a stream.
func (j *job) deliverNonStream(ctx context.Context, p *fleet.Placement, resp *h1.Response) Result {
	j.ran = true
	got := j.readAnswer(ctx, p, resp, func() {})
	p.Release(got.health)
	if got.answer == nil {
		return j.end(lostRefusal("%s", got.cause), got.cause)
	}
	return j.deliver(ctx, got.answer)
}

// run forwards the events of this segment. If the stream is resumed on another endpoint, run
// returns the next segment.
func (s *segment) run(ctx context.Context, prog *progress) (segmentEnd, *segment) {
	s.ran = true
	s.migrator = newMigrator(s)
	s.migrator.start(ctx)
	defer s.migrator.stop()
	defer s.watch.end()
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
	s.r.Tracked.Enter(drain.Answering)
	if !s.sink.Begun() {
		s.result.Status = s.resp.StatusCode
		if err := s.sink.Begin(s.resp.StatusCode, s.Protocol.AnswerHeader(s.resp.Header)); err != nil {
			s.finish(fleet.Neutral)
			return segmentCallerGone, nil
		}
	}
	end, cause := s.forwardEvents(prog)
	s.recordRunEnd(cause.Error(), s.proof(end))
	if end == segmentComplete && s.seam.endsTooEarly(prog) {
		end = segmentCorrupt
	}
	switch end {
	case segmentComplete:
		if s.resp.Framed() || !s.endpointGone(ctx, s.p) {
			s.resp.Finish()
			s.p.Release(fleet.Good)
			s.Strikes.Clear(s.r.Fingerprint)
			s.proveParts()
			return end, nil
		}
		end, cause = segmentCut, io.ErrUnexpectedEOF
	case segmentCallerGone, segmentCorrupt:
		s.finish(fleet.Neutral)
		return end, nil
	case segmentHung:
		// Closing the connection ends the run on the engine.
		s.resp.Close()
	case segmentCut:
	}
	if ctx.Err() != nil {
		s.finish(fleet.Neutral)
		return segmentCut, nil
	}
	wait := s.strikeAfterCut(ctx, s.p)
	if next := s.resumeFromCopies(ctx, prog); next != nil {
		s.finish(s.healthAfterCut(end))
		return end, next
	}
	wait()
	s.result.Detail = "stream cut: " + cause.Error()
	s.finish(s.healthAfterCut(end))
	return end, nil
}

// proof returns what the end of the segment shows of the end of its run.
func (s *segment) proof(end segmentEnd) runEnd {
	switch {
	case end == segmentComplete:
		return endAnswered
	case end == segmentHung:
		return s.watch.result().end
	case s.p.EndpointContext().Err() != nil:
		return endRestarted
	}
	return endUnproven
}

// healthAfterCut returns the health result for an endpoint whose stream was cut: a failure, unless
// the endpoint was leaving, has restarted or hangs.
func (s *segment) healthAfterCut(end segmentEnd) fleet.Result {
	// The watch has recorded an endpoint that hangs.
	if end == segmentHung || s.p.EndpointContext().Err() != nil || leaving(s.p) {
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
		s.watch.arm()
		batch, err := s.events.next()
		s.watch.disarm()
		if len(batch) > 0 {
			s.lastRun.heardAt = time.Now()
		}
		if len(batch) > 0 {
			fresh, ok := s.newEvents(batch, prog)
			if len(fresh) > 0 {
				if err := s.sink.Write(fresh); err != nil {
					return segmentCallerGone, err
				}
			}
			if !ok {
				return segmentCorrupt, io.ErrUnexpectedEOF
			}
			if s.exceedsLongest(prog) {
				metrics.Count("stream_without_end")
				return segmentCorrupt, errWithoutEnd
			}
		}
		if err == io.EOF {
			return segmentComplete, io.EOF
		}
		if err != nil && s.watch.hung() {
			return segmentHung, errHung
		}
		if err != nil {
			return segmentCut, err
		}
	}
}

const (
	// maxLengthFactor and extraEvents bound the events of a stream, as a multiple of the longest answer
	// that was asked for and a number of events besides.
	maxLengthFactor = 2
	extraEvents     = 1000
)

var errWithoutEnd = eris.New("the endpoint sends more events than the longest answer has")

// exceedsLongest reports whether the stream goes on far beyond the longest answer that was asked for.
func (s *segment) exceedsLongest(prog *progress) bool {
	longest := s.r.Size.MaxOutput / max(s.tokensPerEvent(), 1)
	return s.r.Size.MaxOutput > 0 && prog.count > maxLengthFactor*longest+extraEvents
}

// newEvents checks the order of the events and returns those that the caller has not received yet.
// It returns false if an event is missing; the events before it are returned all the same. After a
// move or in a new run, an engine may send events again, and a faulty one may omit an event; the
// caller must then not get a stream that looks complete.
func (s *segment) newEvents(batch []byte, prog *progress) ([]byte, bool) {
	fresh := batch[:0]
	for rest := batch; len(rest) > 0; {
		var event []byte
		event, rest = splitEvent(rest)
		id, numbered := s.Protocol.ParseEvent(event)
		switch s.seam.check(prog, event, id, numbered) {
		case eventRepeated:
			continue
		case eventMisplaced:
			return fresh, false
		case eventNext:
		}
		if numbered {
			s.recordEvent(id, prog)
		}
		fresh = append(fresh, event...)
	}
	return fresh, true
}

func (s *segment) recordEvent(id int64, prog *progress) {
	if prog.count == 0 {
		s.result.FirstEvent = time.Since(s.r.Received)
	}
	prog.record(id)
	s.timing.Event()
	if prog.count == provenEvents {
		s.proveParts()
		s.p.EndIsolation()
	}
	if prog.count%eventsPerUpdate == 1 {
		s.p.SetProduced(s.producedTokens(prog))
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
	watch := s.watchHang(ctx, placement, s.r.Runs, hangThreshold(s.r.Route))
	resp, err := s.send(watch.ctx, placement, resume, backup)
	got := s.resumeResult(resp, err)
	if got.cause == "" {
		s.result.Moves++
		metrics.Count("stream_moved")
		s.Log.Info("stream goes on", zap.String("request", s.r.ID), zap.String("endpoint", placement.Instance().ID),
			zap.Int64("last_event", prog.last), zap.Duration("pause", time.Since(prog.lastAt)))
		s.tried = append(s.tried, placement.Instance().ID)
		return &segment{job: s.job, p: placement, resp: resp, backup: backup, watch: watch, seam: s.newSeam()}
	}
	watch.end()
	s.recordRunEnd(got.cause, endOf(placement, got))
	s.releaseBackup(backup, false)
	s.Log.Warn("stream not resumed", zap.String("request", s.r.ID), zap.String("endpoint", placement.Instance().ID),
		zap.NamedError("cause", err))
	return nil
}

// resumeResult returns the result of an attempt to resume a run, and closes its answer if the engine did not
// accept it. The result has no cause if it did.
func (s *segment) resumeResult(resp *h1.Response, err error) attemptResult {
	if err != nil {
		return sendErrorResult(err)
	}
	got, refused := s.refusedResult(resp)
	if !refused && resp.StatusCode != http.StatusOK {
		resp.Close()
		got.cause = causeFailed
	}
	return got
}

// streamEnded returns the outcome of a stream.
func (j *job) streamEnded(ctx context.Context, end segmentEnd) Result {
	if end == segmentComplete {
		return j.result
	}
	result := j.end(nil, j.result.Detail)
	result.Broken = true
	switch {
	case errors.Is(context.Cause(ctx), drain.ErrStopped):
		result.Detail = "node stopped"
	case end == segmentCallerGone || errors.Is(ctx.Err(), context.Canceled):
		result.Detail = "caller gone"
	case ctx.Err() != nil:
		result.Detail = "time over"
	case end == segmentCorrupt:
		result.Detail = "event missing"
	}
	return result
}
