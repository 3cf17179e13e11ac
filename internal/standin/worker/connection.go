package worker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// LateAnswer is an answer that belongs to no pending request. A worker sends it on a kept connection where
// the answer to the next request is expected.
type LateAnswer int

// Late answers.
const (
	// NoLate sends none.
	NoLate LateAnswer = iota
	// LateRefusal is a refusal without an ID, LateBadRequest one with status 400, as after the rest of a
	// body that was not read, LateMisdirected one with status 421.
	LateRefusal
	LateBadRequest
	LateMisdirected
	// LateHealth is an answer to a health check, LateSuccess a success without an ID.
	LateHealth
	LateSuccess
	// LateForeign is an answer to another request, LateOwnRefusal a refusal with the ID of the request
	// before.
	LateForeign
	LateOwnRefusal
	// LateReset is no answer: the connection is reset.
	LateReset
)

// LateAnswers are all late answers.
var LateAnswers = []LateAnswer{
	LateRefusal, LateBadRequest, LateMisdirected, LateHealth, LateSuccess, LateForeign, LateOwnRefusal, LateReset,
}

// text returns the bytes of a late answer of the instance, after a request with the given ID.
func (l LateAnswer) text(instance, id string) string {
	const notExecuted = "Crocusreel-Not-Executed: 1\r\n"
	bearing := func(id string) string { return "Crocusreel-Attempt-Id: " + id + "\r\n" }
	head, body := "", ""
	switch l {
	case NoLate, LateReset:
		return ""
	case LateRefusal:
		head = "503 Service Unavailable\r\n" + notExecuted
	case LateBadRequest:
		head = "400 Bad Request\r\n" + notExecuted
	case LateMisdirected:
		head = "421 Misdirected Request\r\nCrocusreel-Instance-Id: i-other\r\n"
	case LateHealth:
		head = "200 OK\r\nCrocusreel-Instance-Id: " + instance + "\r\n"
	case LateSuccess:
		head, body = "200 OK\r\nContent-Type: text/plain\r\n", "bad"
	case LateForeign:
		head, body = "200 OK\r\n"+bearing("foreign")+"Crocusreel-Response-Seal: "+Seal(instance, "foreign")+"\r\n", "bad"
	case LateOwnRefusal:
		head = "503 Service Unavailable\r\n" + notExecuted + bearing(id)
	}
	return fmt.Sprintf("HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// connection is a connection of a caller.
type connection struct {
	net.Conn
	mu sync.Mutex
	// late is what is sent before the next answer; reset is set if the connection is reset instead.
	late  string
	reset bool
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{Conn: conn})
}

func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection)
}

// sendLate sends the late answer that is due, if there is one.
func (c *connection) sendLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reset {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c.Conn, c.late)
	c.late = ""
}

// scheduleLate determines what is sent after an exchange.
func (w *Worker) scheduleLate(r *http.Request, run *Run, refused bool) {
	if w.options.LateOf == nil {
		return
	}
	late := w.options.LateOf(run, refused)
	c := connectionOf(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.reset = late.text(w.options.ID, run.ID), late == LateReset
}

// refuse answers a request that does not run.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request, run *Run) {
	if w.options.RefusalsBearID {
		rw.Header().Set("Crocusreel-Attempt-Id", run.ID)
	}
	rw.Header().Set("Crocusreel-Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
	w.scheduleLate(r, run, true)
}

// output is where the answer of a run is written.
type output struct {
	conn net.Conn
	// rw is set if the connection is kept after the answer.
	rw http.ResponseWriter
	// closed is closed when the caller has closed the connection.
	closed <-chan struct{}
}

// closedByCaller returns a channel that is closed when nothing more can be read from the connection.
func closedByCaller(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}()
	return closed
}

// writeEvent writes an event in the given format of a chunk.
func (o *output) writeEvent(chunk, event string) error {
	if o.rw == nil {
		_, err := fmt.Fprintf(o.conn, chunk, len(event), event)
		return err
	}
	if _, err := io.WriteString(o.rw, event); err != nil {
		return err
	}
	return http.NewResponseController(o.rw).Flush()
}

// keepsConnection reports whether the connection is kept after a run with the fault.
func (w *Worker) keepsConnection(fault Fault) bool {
	return fault == Fail || fault == None && w.options.Framing == Chunked
}

// serveKept runs a request and keeps its connection.
func (w *Worker) serveKept(rw http.ResponseWriter, r *http.Request, first int64, run Run, fault Fault) {
	out := &output{conn: connectionOf(r), rw: rw, closed: r.Context().Done()}
	if w.options.Events > 0 && fault != Fail {
		if !w.stream(out, first, run, fault) {
			panic(http.ErrAbortHandler)
		}
		w.scheduleLate(r, &run, false)
		return
	}
	if !w.work(out) {
		w.recordClosed(run)
		panic(http.ErrAbortHandler)
	}
	status, body := http.StatusOK, "answer to "+run.ID
	if fault == Fail {
		status = http.StatusInternalServerError
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.beginKept(rw, run, status)
	_, _ = io.WriteString(rw, body)
	w.scheduleLate(r, &run, false)
}

// beginKept writes the head of a run's answer.
func (w *Worker) beginKept(rw http.ResponseWriter, run Run, status int) {
	h := rw.Header()
	h.Set("Crocusreel-Attempt-Id", run.ID)
	h.Set("Crocusreel-Response-Seal", Seal(w.options.ID, run.ID))
	h.Set("Content-Type", "text/plain")
	rw.WriteHeader(status)
	if w.options.Events > 0 && status == http.StatusOK {
		_ = http.NewResponseController(rw).Flush()
	}
}
