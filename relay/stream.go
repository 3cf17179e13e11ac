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

// leg is the part of a stream that one endpoint produces.
type leg struct {
	*job
	p      *fleet.Placement
	resp   *h1.Response
	mover  *mover
	events *eventReader
	// backup is room for a copy of the run's memory elsewhere; nil for none.
	backup *fleet.BackupReservation
}

// legEnd is how a leg ended.
type legEnd int

const (
	// legWhole: the stream came to its end.
	legWhole legEnd = iota
	// legCut: the connection to the endpoint broke before the end.
	legCut
	// legCallerGone: the caller no longer takes the stream.
	legCallerGone
	// legCorrupt: an event is missing or out of order.
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

// progress is what the caller has of a stream.
type progress struct {
	// last is the ID of the last event, and begun is set once there is one.
	last  int64
	begun bool
	// count is the number of events.
	count int
	// lastAt is when the last event came, longestGap the longest pause between two.
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

// start finds an endpoint that takes the request. Without one, the leg is nil.
func (j *job) start(ctx context.Context) (*leg, Verdict) {
	for {
		p, refusal := j.place(ctx)
		if refusal != nil {
			return nil, j.exhausted(ctx, nil, refusal)
		}
		backup := j.holdBackup(p)
		quiet := time.AfterFunc(silentStart, func() { p.RecordResult(fleet.Silent) })
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

// silentStart is the time without a head of an answer after which an engine counts as
// silent: it is sent with the first event, which takes a second on a full engine.
const silentStart = 2 * time.Second

// failedStream passes on an endpoint's answer that is no stream.
func (j *job) failedStream(p *fleet.Placement, resp *h1.Response) Verdict {
	j.ran = true
	got := j.read(resp, func() {})
	p.Release(got.health)
	if got.answer == nil {
		return j.end(lost("%s", got.cause), got.cause)
	}
	return j.deliver(got.answer)
}

// run passes the events of this leg on. If the stream goes on at another endpoint it
// returns the next leg.
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

// pass passes events on until the leg ends and finds the next one.
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

// cutHealth blames an endpoint for a cut stream unless it was leaving or has started again.
func (l *leg) cutHealth() fleet.Result {
	if l.p.EndpointContext().Err() != nil || leaving(l.p) {
		return fleet.Neutral
	}
	return fleet.Failed
}

func (l *leg) runKey() RunKey { return runKey(l.r.ID, l.p.Instance().Incarnation().Key()) }

func (l *leg) finish(r fleet.Result) {
	l.resp.Close()
	l.p.Release(r)
}

// producedEvery is the number of events between two updates of a placement.
const producedEvery = 4

// follow passes events on until the leg ends.
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

// take checks the order of the events and returns those that the caller lacks. After
// a move, an engine may send the last events again, and one at fault may leave one out:
// the caller must then not get a stream that looks whole.
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
		l.p.SetProduced(at.count * l.tokensPerEvent())
	}
	l.mover.eventSeen()
}

func (l *leg) tokensPerEvent() int {
	if spec := l.r.Service.Engine; spec != nil {
		return spec.TokensPerEvent
	}
	return 1
}

// resume sends the request on to an engine that has its memory; it returns nil if the
// engine does not take it.
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

// streamEnded makes the verdict of a stream.
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
