// Package worker is the stand-in for the platform's endpoints: model engines and plain
// services that speak the platform's protocol, with the faults that it allows. It runs
// within the test's own process.
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

// Fault is what a worker does wrong with one request.
type Fault int

// Faults. Those marked "has run" count the request as run.
const (
	// None answers as it should.
	None Fault = iota
	// Shed refuses: the request has not run.
	Shed
	// Fail answers 500: has run.
	Fail
	// LoseAnswer closes the connection without an answer: has run.
	LoseAnswer
	// Truncate closes the connection in the middle of the answer: has run.
	Truncate
	// Foreign sends an answer to another request before its own: has run.
	Foreign
	// Extra sends a second answer after its own: has run.
	Extra
	// Unframed sends an answer without a length, which ends with the connection: has run.
	Unframed
	// UnframedReset resets such a connection in the middle: has run.
	UnframedReset
	// Hang takes the request and answers nothing: has run.
	Hang
	// SkipEvent leaves out an event of a stream: has run.
	SkipEvent
	// Crash closes the listener and all connections: has run.
	Crash
)

// Run is one request that a worker began to work on.
type Run struct {
	ID     string
	Header http.Header
	Target string
	Body   []byte
	// Resumed is set for a run that goes on from its memory.
	Resumed bool
}

// Memory is what several engines share: the memory of runs that was moved.
type Memory struct {
	mu      sync.Mutex
	handles map[string]int64
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory { return &Memory{handles: make(map[string]int64)} }

// Options of a worker.
type Options struct {
	// ID is the instance ID.
	ID string
	// Address is the IP:port to listen at; empty for a free one.
	Address string
	// Events is the length of streams and Gap the time between two events; 0 events
	// makes a plain service.
	Events int
	Gap    time.Duration
	// Memory is shared by engines between which runs move.
	Memory *Memory
	// MoveTime is the time that a copy takes.
	MoveTime time.Duration
	// Dying makes the worker die once it has made a copy; nil for a worker that lives on.
	Dying *Dying
	// LostMoveAnswers is the number of copies whose answer is lost: they are made, and the
	// connection is closed.
	LostMoveAnswers int
	// FaultOf chooses the fault for a request; nil for none.
	FaultOf func(r *Run) Fault
}

// Dying is how a worker dies that has just made a copy: its streams are cut, and the copy's
// answer goes out, each so long after the copy was made.
type Dying struct {
	CutAfter, AnswerAfter time.Duration
	// AnswerLost leaves the answer out.
	AnswerLost bool
}

// Worker is a running stand-in.
type Worker struct {
	options  Options
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	runs    []Run
	streams map[string]*stream
	closed  []string // requests whose connection was closed by the caller
	leaving bool
	// says are headers of all answers.
	says map[string]string
	// pause is the Retry-After of the refusal of all requests; empty for none.
	pause string
	// arrivals are the requests that came, refused ones included.
	arrivals []Arrival
	// conns are those of streams, which the server no longer knows.
	conns []net.Conn
	// targets are those of the orders to copy.
	targets []string
	// answering is held for reading between the making of a copy and the end of its answer.
	// Stop waits for it: the name of a copy whose answer is lost is known to nobody, and no
	// node can go on from it. Dying is for engines that die in between.
	answering sync.RWMutex
}

type stream struct {
	made int64
	stop chan struct{}
	once sync.Once
}

// Start returns a worker that serves.
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
	w.server = &http.Server{Handler: w.withNotices(mux)}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// Address returns the IP:port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Stop ends the worker and its connections.
//
// The listener is closed here as well: a server that is closed before its goroutine has
// begun to serve closes it only later, and a connection made meanwhile is reset after the
// request was sent, while tests count on a refusal.
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

// die cuts the streams and ends the worker once the answer to the order under way is out.
func (w *Worker) die(d Dying) {
	_ = w.listener.Close()
	time.AfterFunc(d.CutAfter, w.cutStreams)
	time.AfterFunc(d.AnswerAfter+dyingFor, w.Stop)
	time.Sleep(d.AnswerAfter)
}

// dyingFor is the time after its last answer in which a dying worker's process ends.
const dyingFor = 50 * time.Millisecond

// Runs returns the requests that the worker began to work on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Targets returns the targets of the orders to copy a run, in the order in which they came.
func (w *Worker) Targets() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.targets...)
}

// Closed returns the IDs of streams that the caller left before their end.
func (w *Worker) Closed() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.closed...)
}

// Leave makes the worker say at its health check that it leaves.
func (w *Worker) Leave() {
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

// Seal is the signature of an answer.
func Seal(instance, id string) string { return "seal." + instance + "." + id }

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Crocusreel-Expect-Instance"); want != "" && want != w.options.ID {
		rw.Header().Set("Crocusreel-Instance-Id", w.options.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.arrived(r.Header.Get("Crocusreel-Attempt-Id"))
	run := Run{ID: r.Header.Get("Crocusreel-Attempt-Id"), Header: r.Header.Clone(), Target: r.RequestURI, Body: body}
	run.Resumed = r.Header.Get("Kv-From") != ""
	fault := None
	if w.options.FaultOf != nil {
		fault = w.options.FaultOf(&run)
	}
	if w.refusing(rw.Header()) || fault == Shed {
		rw.Header().Set("Crocusreel-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first, ok := w.firstEvent(r)
	if !ok {
		rw.Header().Set("Crocusreel-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if w.options.Events > 0 && fault != Fail && fault != LoseAnswer {
		w.stream(conn, first, run, fault)
		return
	}
	w.answer(conn, run, fault)
}

func (w *Worker) head(run Run, status int, framing string) string {
	for name, value := range w.noticeHeaders() {
		framing += name + ": " + value + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nCrocusreel-Attempt-Id: %s\r\nCrocusreel-Response-Seal: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n%s\r\n",
		status, http.StatusText(status), run.ID, Seal(w.options.ID, run.ID), framing)
}

// answer writes a plain answer; the connection ends after it.
func (w *Worker) answer(conn net.Conn, run Run, fault Fault) {
	body := "answer to " + run.ID
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	text := w.head(run, http.StatusOK, length) + body
	switch fault {
	case Fail:
		text = w.head(run, http.StatusInternalServerError, length) + body
	case LoseAnswer:
		return
	case Truncate:
		text = text[:len(text)-3]
	case Foreign:
		foreign := w.head(Run{ID: "foreign"}, http.StatusOK, "Content-Length: 3\r\n") + "bad"
		text = strings.Replace(foreign, "Connection: close\r\n", "", 1) + text
	case Extra:
		text += w.head(run, http.StatusOK, "Content-Length: 3\r\n") + "bad"
	case Unframed:
		text = w.head(run, http.StatusOK, "") + body
	case UnframedReset:
		text = w.head(run, http.StatusOK, "") + body[:4]
	case Hang:
		time.Sleep(time.Minute)
	case Crash:
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

// firstEvent returns the number of the first event of a run; ok is false if there is no
// copy of the run's memory from which it is to go on.
func (w *Worker) firstEvent(r *http.Request) (first int64, ok bool) {
	from := r.Header.Get("Kv-From")
	if from == "" {
		return 1, true
	}
	last, ok := w.options.Memory.use(from, r.Header.Get("Last-Event-Id"))
	return last + 1, ok
}

// stream writes events until the end, or until the run is moved away.
func (w *Worker) stream(conn net.Conn, first int64, run Run, fault Fault) {
	backedUp := run.Header.Get("Crocusreel-Kv-Backup") != ""
	s := &stream{made: first - 1, stop: make(chan struct{})}
	w.mu.Lock()
	w.streams[run.ID] = s
	w.mu.Unlock()
	if fault == Hang {
		time.Sleep(time.Minute)
		return
	}
	framing, chunk, last := "Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	if fault == Unframed {
		framing, chunk, last = "", "%[2]s", ""
	}
	if _, err := io.WriteString(conn, w.head(run, http.StatusOK, framing)); err != nil {
		return
	}
	w.mu.Lock()
	w.conns = append(w.conns, conn)
	w.mu.Unlock()
	gone := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
	}()
	for id := first; id <= int64(w.options.Events); id++ {
		select {
		case <-s.stop:
			return
		case <-gone:
			w.mu.Lock()
			w.closed = append(w.closed, run.ID)
			w.mu.Unlock()
			return
		case <-time.After(w.options.Gap):
		}
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", id, id, run.ID)
		switch {
		case fault == Truncate && id == int64(w.options.Events)/2:
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			return
		case fault == Crash && id == int64(w.options.Events)/2:
			w.Stop()
			return
		case fault == SkipEvent && id == int64(w.options.Events)/2:
			continue
		}
		if _, err := fmt.Fprintf(conn, chunk, len(event), event); err != nil {
			return
		}
		w.mu.Lock()
		s.made = id
		w.mu.Unlock()
		if backedUp {
			w.options.Memory.back(run.ID, id)
		}
	}
	w.options.Memory.drop(run.ID)
	_, _ = io.WriteString(conn, last)
}

// use takes the memory that a Kv-From header names; the run goes on behind the given
// event.
func (m *Memory) use(from, lastEvent string) (int64, bool) {
	_, handle, _ := strings.Cut(from, "/")
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.handles[handle]
	delete(m.handles, handle)
	return last, ok && err == nil
}

type moveBody struct {
	ID    string `json:"id"`
	To    string `json:"to"`
	Final bool   `json:"final"`
}

func (w *Worker) move(rw http.ResponseWriter, r *http.Request) {
	var body moveBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	s := w.streams[body.ID]
	if s == nil {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	made := s.made
	w.targets = append(w.targets, body.To)
	answerLost := len(w.targets) <= w.options.LostMoveAnswers
	if body.Final {
		s.once.Do(func() { close(s.stop) })
	}
	w.mu.Unlock()
	time.Sleep(w.options.MoveTime)
	w.answering.RLock()
	defer w.answering.RUnlock()
	handle := w.options.Memory.keep(body.ID, made)
	if d := w.options.Dying; d != nil {
		w.die(*d)
		answerLost = answerLost || d.AnswerLost
	}
	if answerLost {
		panic(http.ErrAbortHandler)
	}
	w.answerMove(rw, handle, made)
}

// answerMove sends the whole answer before it returns.
func (w *Worker) answerMove(rw http.ResponseWriter, handle string, made int64) {
	data, _ := json.Marshal(map[string]any{"cache_handle": handle, "created": made})
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = rw.Write(data)
	_ = http.NewResponseController(rw).Flush()
}

// back makes or renews the backup of a run, which is named by the run.
func (m *Memory) back(run string, made int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handles[run] = made
}

// keep makes or renews the copy of a run.
func (m *Memory) keep(run string, made int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	handle := "copy-of-" + run
	m.handles[handle] = made
	return handle
}

func (w *Worker) free(rw http.ResponseWriter, r *http.Request) {
	w.options.Memory.drop(r.PathValue("handle"))
	rw.WriteHeader(http.StatusOK)
}

func (m *Memory) drop(handle string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.handles, handle)
}

// Copies returns the number of copies that are neither used nor freed.
func (m *Memory) Copies() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.handles)
}

func (w *Worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := [][]any{}
	for id, s := range w.streams {
		runs = append(runs, []any{id, 1000 + s.made, s.made, 5})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"runs": runs})
}
