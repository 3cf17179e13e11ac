// Package worker implements in-process stand-ins for the platform's endpoints, for tests: model
// engines and plain services that speak the platform's protocol and inject the faults that it
// allows.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that a worker injects into one request.
type Fault int

// Faults. With all of them except Shed, the request runs and is recorded in Runs.
const (
	// None injects no fault.
	None Fault = iota
	// Shed refuses the request, which does not run.
	Shed
	// Fail answers 500.
	Fail
	// LoseAnswer closes the connection without a response.
	LoseAnswer
	// Truncate closes the connection in the middle of the response.
	Truncate
	// ForeignAnswer sends a response to another request before its own.
	ForeignAnswer
	// ExtraAnswer sends a second response after its own.
	ExtraAnswer
	// Unframed sends a response without Content-Length or chunked encoding, which ends when the
	// connection closes.
	Unframed
	// UnframedReset resets the connection in the middle of a response without a length.
	UnframedReset
	// UnframedCrash stops the worker in the middle of a response without a length. Its connections end
	// as after a whole response.
	UnframedCrash
	// Hang accepts the request and sends nothing for a minute.
	Hang
	// SkipEvent omits the middle event of a stream.
	SkipEvent
	// Crash stops the worker as Stop does; for a stream, after half of its events.
	Crash
	// CrashAtStart stops the worker when it begins the answer, before the first event.
	CrashAtStart
	// CutInEvent ends a stream in the middle of an event half-way, CutBeforeBlankLine before the empty
	// line that ends it, each in the way in which a complete stream ends.
	CutInEvent
	CutBeforeBlankLine
	// Restart ignores the Last-Event-Id of a new run and sends all events.
	Restart
	// SkipFirst omits the first event of a stream's run.
	SkipFirst
	// HangMidway sends nothing more after half of the events of a stream, for a minute.
	HangMidway
	// Unnumbered sends the events of a stream without IDs.
	Unnumbered
	// StopShort completes a stream after a quarter of its events and ignores Last-Event-Id.
	StopShort
)

// Framing is how the end of a stream is marked.
type Framing int

// Framings of streams.
const (
	// Chunked streams are sent in chunks.
	Chunked Framing = iota
	// UntilClose streams have neither a length nor chunks and end with their connection.
	UntilClose
)

// Run is a request that a worker started to execute.
type Run struct {
	ID     string
	Header http.Header
	Target string
	Body   []byte
	// Resumed reports that the run continues from a copy of its KV memory.
	Resumed bool
	// StartedAt is the time at which the run began.
	StartedAt time.Time
}

// Options configure a worker.
type Options struct {
	// ID is the instance ID.
	ID string
	// Address is the IP:port to listen on; empty for a free port on 127.0.0.1.
	Address string
	// Events is the number of events of a stream, and EventInterval the time before each
	// event. With 0 events the worker is a plain service.
	Events        int
	EventInterval time.Duration
	// Slots is the number of requests that run at a time, 0 for no limit. QueueLength further ones
	// wait, and all others are turned away. WorkTime is the time that a plain service needs for one.
	Slots, QueueLength int
	WorkTime           time.Duration
	// KVStore is shared by engines between which runs move. Engines need one.
	KVStore *KVStore
	// MoveTime is the time to copy the memory of a run.
	MoveTime time.Duration
	// CrashAfterCopy makes the worker crash after it has made a copy; nil for no crash.
	CrashAfterCopy *CopyCrash
	// Framing is how the ends of streams are marked, LineEnd what ends the lines of their events; LF if
	// empty.
	Framing Framing
	LineEnd string
	// LostMoveAnswers is the number of move orders, from the first on, whose copy is made but
	// whose connection is then closed without a response.
	LostMoveAnswers int
	// StopsOnClose makes plain calls end when their caller closes the connection, as streams do.
	StopsOnClose bool
	// RunLog gets a line at the begin and the end of each run (see ReadRunLog); nil for none.
	RunLog io.Writer
	// FaultOf returns the fault to inject into a request; nil injects none.
	FaultOf func(r *Run) Fault
	// LateOf returns the answer that is sent on the request's connection where the answer to the next
	// request there is expected; nil sends none. refused is set if the request did not run.
	LateOf func(r *Run, refused bool) LateAnswer
	// RefusalsBearID makes refusals bear the ID of their request.
	RefusalsBearID bool
}

// Worker is a running stand-in for an endpoint.
type Worker struct {
	options  Options
	listener net.Listener
	server   *http.Server

	mu             sync.Mutex
	runs           []Run
	streams        map[string]*stream
	closedByCaller []string // IDs of streams whose connection the caller closed
	leaving        bool
	capacity       capacity
	// notices are the notice headers of all responses.
	notices map[string]string
	// pause is the Retry-After in seconds with which all requests are refused; empty if they are
	// not refused.
	pause string
	// arrivals are the received requests, including refused ones.
	arrivals []Arrival
	// logMu is held while a line of the run log is written.
	logMu sync.Mutex
	// conns are the connections of streams.
	conns []net.Conn
	// moveTargets are the target engines of move orders.
	moveTargets []string
	// answering is held for reading from the creation of a copy to the end of the response. Stop
	// takes the write lock to wait for the response, because it carries the handle of the copy,
	// without which no node can resume from the copy. CrashAfterCopy simulates a crash in between.
	answering sync.RWMutex
}

type stream struct {
	lastEvent int64
	stop      chan struct{}
	once      sync.Once
}

// Start starts a worker and returns it. The caller must call Stop.
func Start(o Options) (*Worker, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	w := &Worker{options: o, listener: listener, streams: make(map[string]*stream)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kv-move", w.move)
	mux.HandleFunc("DELETE /kv-handle/{handle}", w.free)
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("GET /healthz", w.health)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: w.withNotices(mux), ConnContext: withConnection}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// Address returns the IP:port on which the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Stop closes the listener and, after pending responses to move orders, the connections.
//
// It closes the listener itself, because a server that is closed before its goroutine calls Serve
// closes the listener only later. A connection made in between would be reset after the request
// was sent, while tests expect connection refused.
func (w *Worker) Stop() {
	_ = w.listener.Close()
	w.answering.Lock()
	_ = w.server.Close()
	w.answering.Unlock()
	w.cutStreams()
}

func (w *Worker) cutStreams() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

// Runs returns the requests that the worker started to execute, in start order.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// MoveTargets returns the targets of the received move orders, in order of arrival.
func (w *Worker) MoveTargets() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.moveTargets...)
}

// ClosedByCaller returns the IDs of streams whose connection the caller closed before their end.
func (w *Worker) ClosedByCaller() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.closedByCaller...)
}

// SetLeaving makes the health check fail with 503, which announces that the worker is leaving.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *Worker) health(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Crocusreel-Instance-Id", w.options.ID)
	if w.leaving {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Seal returns the signature of the response of an instance to a request.
func Seal(instance, id string) string { return "seal." + instance + "." + id }

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	connectionOf(r).sendLate()
	if want := r.Header.Get("Crocusreel-Expect-Instance"); want != "" && want != w.options.ID {
		rw.Header().Set("Crocusreel-Instance-Id", w.options.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.recordArrival(r.Header.Get("Crocusreel-Attempt-Id"))
	run := Run{ID: r.Header.Get("Crocusreel-Attempt-Id"), Header: r.Header.Clone(), Target: r.RequestURI, Body: body}
	run.Resumed = r.Header.Get("Kv-From") != ""
	fault := None
	if w.options.FaultOf != nil {
		fault = w.options.FaultOf(&run)
	}
	if w.setRetryAfterIfPaused(rw.Header()) || fault == Shed {
		w.refuse(rw, r, &run)
		return
	}
	first, ok := w.firstEvent(r, fault)
	if !ok || !w.enter(r) {
		w.refuse(rw, r, &run)
		return
	}
	defer w.leave()
	w.mu.Lock()
	run.StartedAt = time.Now()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.logRun(logBegan, run.ID)
	defer w.logRun(logEnded, run.ID)
	if w.keepsConnection(fault) {
		w.serveKept(rw, r, first, run, fault)
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	out := &output{conn: conn, closed: closedByCaller(conn)}
	if w.options.Events > 0 && fault != LoseAnswer {
		w.stream(out, first, run, fault)
		return
	}
	w.answer(out, run, fault)
}

func (w *Worker) responseHead(run Run, status int, framing string) string {
	for name, value := range w.noticeHeaders() {
		framing += name + ": " + value + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nCrocusreel-Attempt-Id: %s\r\nCrocusreel-Response-Seal: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n%s\r\n",
		status, http.StatusText(status), run.ID, Seal(w.options.ID, run.ID), framing)
}

// answer writes the response of a plain call, subject to the fault. The caller closes the
// connection.
func (w *Worker) answer(out *output, run Run, fault Fault) {
	if !w.work(out) {
		w.recordClosed(run)
		return
	}
	conn := out.conn
	body := "answer to " + run.ID
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	text := w.responseHead(run, http.StatusOK, length) + body
	switch fault {
	case LoseAnswer:
		return
	case Truncate:
		text = text[:len(text)-3]
	case ForeignAnswer:
		foreign := w.responseHead(Run{ID: "foreign"}, http.StatusOK, "Content-Length: 3\r\n") + "bad"
		text = strings.Replace(foreign, "Connection: close\r\n", "", 1) + text
	case ExtraAnswer:
		text += w.responseHead(run, http.StatusOK, "Content-Length: 3\r\n") + "bad"
	case Unframed:
		text = w.responseHead(run, http.StatusOK, "") + body
	case UnframedReset:
		text = w.responseHead(run, http.StatusOK, "") + body[:4]
	case UnframedCrash:
		_, _ = io.WriteString(conn, w.responseHead(run, http.StatusOK, "")+body[:4])
		w.Stop()
		return
	case Hang:
		time.Sleep(time.Minute)
	case Crash, CrashAtStart:
		w.Stop()
		return
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && fault == UnframedReset {
		time.Sleep(20 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// firstEvent returns the number of the first event of a run. A new run begins after the event that
// the request names as the last one of the caller. ok is false if the request names a copy of the
// run's memory to resume from that does not exist, or an invalid event.
func (w *Worker) firstEvent(r *http.Request, fault Fault) (first int64, ok bool) {
	from, after := r.Header.Get("Kv-From"), r.Header.Get("Last-Event-Id")
	if from == "" {
		if after == "" || fault == Restart || fault == StopShort {
			return 1, true
		}
		last, err := strconv.ParseInt(after, 10, 64)
		return last + 1, err == nil
	}
	last, ok := w.options.KVStore.takeCopy(from, after)
	return last + 1, ok
}

// stream writes events from first on until the last event, until the run is moved to another engine
// or until the caller closes the connection. It returns false if the stream has not reached its end.
func (w *Worker) stream(out *output, first int64, run Run, fault Fault) bool {
	conn, closedByCaller := out.conn, out.closed
	backedUp := run.Header.Get("Crocusreel-Kv-Backup") != ""
	s := &stream{lastEvent: first - 1, stop: make(chan struct{})}
	w.mu.Lock()
	w.streams[run.ID] = s
	w.mu.Unlock()
	if fault == Hang {
		w.hang(run, closedByCaller)
		return false
	}
	framing, chunk, lastChunk := "Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	if fault == Unframed || w.options.Framing == UntilClose {
		framing, chunk, lastChunk = "", "%[2]s", ""
	}
	if out.rw != nil {
		w.beginKept(out.rw, run, http.StatusOK)
	} else if _, err := io.WriteString(conn, w.responseHead(run, http.StatusOK, framing)); err != nil {
		return false
	}
	w.mu.Lock()
	w.conns = append(w.conns, conn)
	w.mu.Unlock()
	if fault == CrashAtStart {
		time.Sleep(w.options.EventInterval)
		w.Stop()
		return false
	}
	last := int64(w.options.Events)
	if fault == StopShort {
		last /= 4
	}
	for id := first; id <= last; id++ {
		select {
		case <-s.stop:
			return false
		case <-closedByCaller:
			w.recordClosed(run)
			return false
		case <-time.After(w.options.EventInterval):
		}
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", id, id, run.ID)
		if fault == Unnumbered {
			_, event, _ = strings.Cut(event, "\n")
		}
		if w.options.LineEnd != "" {
			event = strings.ReplaceAll(event, "\n", w.options.LineEnd)
		}
		switch {
		case fault == HangMidway && id == int64(w.options.Events)/2:
			w.hang(run, closedByCaller)
			return false
		case fault == SkipFirst && id == first:
			continue
		case fault == Truncate && id == int64(w.options.Events)/2:
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			return false
		case (fault == CutInEvent || fault == CutBeforeBlankLine) && id == int64(w.options.Events)/2:
			part := event[:len(event)/2]
			if fault == CutBeforeBlankLine {
				part = strings.TrimRight(event, "\r\n") + w.lineEnd()
			}
			_, _ = fmt.Fprintf(conn, chunk+lastChunk, len(part), part)
			return false
		case fault == Crash && id == int64(w.options.Events)/2:
			w.Stop()
			return false
		case fault == SkipEvent && id == int64(w.options.Events)/2:
			continue
		}
		if err := out.writeEvent(chunk, event); err != nil {
			return false
		}
		w.mu.Lock()
		s.lastEvent = id
		w.mu.Unlock()
		if backedUp {
			w.options.KVStore.saveBackup(run.ID, id)
		}
	}
	w.options.KVStore.remove(run.ID)
	if out.rw == nil {
		_, _ = io.WriteString(conn, lastChunk)
	}
	return true
}

func (w *Worker) lineEnd() string {
	if w.options.LineEnd == "" {
		return "\n"
	}
	return w.options.LineEnd
}

// hang waits until the caller closes the connection, at most a minute.
func (w *Worker) hang(run Run, closedByCaller <-chan struct{}) {
	select {
	case <-closedByCaller:
		w.recordClosed(run)
	case <-time.After(time.Minute):
	}
}

func (w *Worker) recordClosed(run Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closedByCaller = append(w.closedByCaller, run.ID)
}

func (w *Worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := [][]any{}
	for id, s := range w.streams {
		runs = append(runs, []any{id, 1000 + s.lastEvent, s.lastEvent, 5})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"runs": runs})
}
