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
type leg struct {
	*job
	p      *fleet.Placement
	resp   *h1.Response
	mover  *mover
	events *eventReader
	// backup is the reservation for a copy of the run's KV cache on another endpoint, nil for none.
	backup *fleet.Holding
}

// segmentEnd is how a segment ended.
type legEnd int

const (
	// segmentComplete means that the stream reached its end.
	legWhole legEnd = iota
	// segmentCut means that the connection to the endpoint broke before the end.
	legCut
	// segmentCallerGone means that the caller no longer accepts data.
	legCallerGone
	// segmentCorrupt means that an event is missing or out of order.
	legCorrupt
)

// stream serves a request whose answer is a series of events.
func (j *job) stream(ctx context.Context) Verdict {
	l, verdict := j.start(ctx)
	if l == nil {
		return verdict
	}
	if l.resp.StatusCode != http.StatusOK {
		j.dropBackup(l.backup, false)
		return j.failedStream(l.p, l.resp)
	}
	progress := &progress{}
	for {
		end, next := l.run(ctx, progress)
		j.dropBackup(l.backup, end == legWhole)
		if next == nil {
			return j.streamEnded(ctx, end, progress)
		}
		l = next
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

func (p *progress) saw(id int64) {
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
func (j *job) start(ctx context.Context) (*leg, Verdict) {
	for {
		p, refusal := j.place(ctx)
		if refusal != nil {
			return nil, j.exhausted(ctx, nil, refusal)
		}
		backup := j.holdBackup(p)
		quiet := time.AfterFunc(silentStart, func() { p.Report(fleet.Silent) })
		resp, err := j.send(ctx, p, nil, backup)
		quiet.Stop()
		got := failedStart(err)
		if err == nil {
			refused := false
			if got, refused = j.refused(resp); !refused {
				return &leg{job: j, p: p, resp: resp, backup: backup}, Verdict{}
			}
		}
		p.Release(got.health)
		j.dropBackup(backup, got.notRun)
		j.tried = append(j.tried, p.Instance().ID)
		j.verdict.Detail = got.cause
		j.ran = j.ran || !got.notRun
		if got.broken() {
			j.strikeIfDead(ctx, p)
		}
		if ctx.Err() != nil || !j.mayRepeat(got, maxSends) || j.deadly() {
			return nil, j.exhausted(ctx, nil, j.failure(got))
		}
	}
}

func failedStart(err error) result {
	if err == nil {
		return result{}
	}
	return failedSend(err)
}

// silentThreshold is the time without the head of an answer after which an engine counts as silent.
// The head is sent with the first event, which takes a second on a full engine.
const silentStart = 2 * time.Second

// deliverNonStream delivers an endpoint's answer that is not a stream.
func (j *job) failedStream(p *fleet.Placement, resp *h1.Response) Verdict {
	j.ran = true
	got := j.read(resp, func() {})
	p.Release(got.health)
	if got.answer == nil {
		return j.end(lost("%s", got.cause), got.cause)
	}
	return j.deliver(got.answer)
}

// run forwards the events of this segment. If the stream is resumed on another endpoint, run
// returns the next segment.
func (l *leg) run(ctx context.Context, at *progress) (legEnd, *leg) {
	l.ran = true
	l.mover = newMover(l)
	l.mover.start(ctx)
	defer l.mover.stop()
	end, next := l.pass(ctx, at)
	l.Vacated.end(l.runKey())
	if next == nil || l.mover.copied() != nil {
		go l.mover.discard()
	}
	return end, next
}

// forward sends the head of the answer and the events to the caller until the segment ends, and
// then resumes the stream on another endpoint if the segment was cut.
func (l *leg) pass(ctx context.Context, at *progress) (legEnd, *leg) {
	if !l.sink.Begun() {
		l.verdict.Status = l.resp.StatusCode
		if err := l.sink.Begin(l.resp.StatusCode, l.Protocol.AnswerHeader(l.resp.Header)); err != nil {
			l.finish(fleet.Neutral)
			return legCallerGone, nil
		}
	}
	end, cause := l.follow(at)
	switch end {
	case legWhole:
		if l.resp.Framed() || !l.gone(ctx, l.p) {
			l.resp.Finish()
			l.p.Release(fleet.Good)
			l.Strikes.Clear(l.r.Fingerprint)
			return end, nil
		}
		end, cause = legCut, io.ErrUnexpectedEOF
	case legCallerGone, legCorrupt:
		l.finish(fleet.Neutral)
		return end, nil
	case legCut:
	}
	if ctx.Err() != nil {
		l.finish(fleet.Neutral)
		return legCut, nil
	}
	wait := l.strikeIfCut(ctx, l.p)
	if next := l.fromCopy(ctx, at); next != nil {
		l.finish(l.cutHealth())
		return end, next
	}
	wait()
	l.verdict.Detail = "stream cut: " + cause.Error()
	l.finish(l.cutHealth())
	return end, nil
}

// healthAfterCut returns the health result for an endpoint whose stream was cut: a failure, unless
// the endpoint was leaving or has restarted.
func (l *leg) cutHealth() fleet.Result {
	if l.p.Life().Err() != nil || leaving(l.p) {
		return fleet.Neutral
	}
	return fleet.Failed
}

func (l *leg) runKey() RunKey { return runKey(l.r.ID, l.p.Instance().Incarnation().Key()) }

func (l *leg) finish(r fleet.Result) {
	l.resp.Close()
	l.p.Release(r)
}

// eventsPerUpdate is the number of events between two updates of a placement.
const producedEvery = 4

// forwardEvents forwards events until the segment ends.
func (l *leg) follow(at *progress) (legEnd, error) {
	l.events = newEventReader(l.resp.Body)
	for {
		batch, err := l.events.next()
		if len(batch) > 0 {
			fresh, ok := l.take(batch, at)
			if !ok {
				return legCorrupt, io.ErrUnexpectedEOF
			}
			if len(fresh) > 0 {
				if err := l.sink.Write(fresh); err != nil {
					return legCallerGone, err
				}
			}
		}
		if err == io.EOF {
			return legWhole, io.EOF
		}
		if err != nil {
			return legCut, err
		}
	}
}

// newEvents checks the order of the events and returns those that the caller has not received yet.
// It returns false if an event is missing. After a move, an engine may send the last events again,
// and a faulty one may omit an event; the caller must then not get a stream that looks complete.
func (l *leg) take(batch []byte, at *progress) ([]byte, bool) {
	fresh := batch[:0]
	for rest := batch; len(rest) > 0; {
		var event []byte
		event, rest = splitEvent(rest)
		id, numbered := l.Protocol.ParseEvent(event)
		if numbered && at.begun {
			if id <= at.last {
				metrics.Count("event_repeated")
				continue
			}
			if id != at.last+1 {
				metrics.Count("event_missing")
				return nil, false
			}
		}
		if numbered {
			l.count(id, at)
		}
		fresh = append(fresh, event...)
	}
	return fresh, true
}

func (l *leg) count(id int64, at *progress) {
	if !at.begun {
		l.verdict.FirstEvent = time.Since(l.r.Received)
	}
	at.saw(id)
	if at.count%producedEvery == 1 {
		l.p.Produced(at.count * l.tokensPerEvent())
	}
	l.mover.eventSeen()
}

func (l *leg) tokensPerEvent() int {
	if spec := l.r.Service.Engine; spec != nil {
		return spec.TokensPerEvent
	}
	return 1
}

// resume sends the request to an engine that has a copy of the run's KV cache. It returns nil if
// the engine does not accept it.
func (l *leg) resume(ctx context.Context, place *fleet.Placement, resume *Resume, at *progress) *leg {
	backup := l.holdBackup(place, l.p.Instance().ID)
	resp, err := l.send(ctx, place, resume, backup)
	if err == nil {
		_, refused := l.refused(resp)
		if !refused && resp.StatusCode == http.StatusOK {
			l.verdict.Moves++
			metrics.Count("stream_moved")
			l.Log.Info("stream goes on", zap.String("request", l.r.ID), zap.String("endpoint", place.Instance().ID),
				zap.Int64("last_event", at.last), zap.Duration("pause", time.Since(at.lastAt)))
			return &leg{job: l.job, p: place, resp: resp, backup: backup}
		}
		resp.Close()
	}
	l.dropBackup(backup, false)
	l.Log.Warn("stream not resumed", zap.String("request", l.r.ID), zap.String("endpoint", place.Instance().ID),
		zap.NamedError("cause", err))
	return nil
}

// streamEnded returns the outcome of a stream.
func (j *job) streamEnded(ctx context.Context, end legEnd, at *progress) Verdict {
	j.verdict.Events = at.count
	j.verdict.LongestGap = at.longestGap
	if end == legWhole {
		return j.verdict
	}
	v := j.end(nil, j.verdict.Detail)
	v.Broken = true
	switch {
	case end == legCallerGone || errors.Is(ctx.Err(), context.Canceled):
		v.Detail = "caller gone"
	case ctx.Err() != nil:
		v.Detail = "time over"
	case end == legCorrupt:
		v.Detail = "event missing"
	}
	return v
}
