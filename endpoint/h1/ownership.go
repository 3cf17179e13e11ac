package h1

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Ownership is what an answer itself states of the request that it belongs to.
type Ownership int

const (
	// Unidentified answers do not state which request they belong to.
	Unidentified Ownership = iota
	// Own answers belong to the request that was sent last.
	Own
	// Foreign answers belong to another request, or to none.
	Foreign
)

// Barrier is a request that is sent on the same connection after an answer that is Unidentified. An endpoint
// answers the requests on a connection in order, so that the request before has been answered once the
// barrier is. The endpoint must answer a barrier at once and without any effect.
type Barrier struct {
	Header http.Header
	// IsAnswer reports whether an answer belongs to the barrier.
	IsAnswer func(status int, h http.Header) bool
}

// ErrUnidentified is the cause of an Error if the endpoint has sent an answer of which it is not known whose
// it is, so that it shows nothing of the request.
var ErrUnidentified = eris.New("the answer bears no ID and may belong to another request")

var errForeign = eris.New("answer belongs to another request")

// exchange sends the request and reads the head of its answer.
//
// Invariant: an answer is that of the request if it bears the request's ID; if it bears none, only if nothing else
// can have been answered on the connection: it is the first answer on a new connection, or the only one
// without an ID before that of a barrier.
func (r *Response) exchange(req *Request) *Error {
	if err := r.send(req); err != nil {
		return err
	}
	method := &http.Request{Method: req.Method}
	r.conn.limiter.left = maxHeadBytes
	// held are the unidentified answers since the request was sent.
	var held []*http.Response
	for r.skipped <= maxForeignAnswers {
		resp, err := r.conn.readFinal(method)
		if err != nil {
			return &Error{Sent: true, Heard: r.conn.limiter.left < maxHeadBytes, Cause: unidentifiedOr(held, eris.Wrap(err, "read answer"))}
		}
		if len(held) > 0 && req.Barrier.IsAnswer(resp.StatusCode, resp.Header) {
			return r.acceptHeld(held)
		}
		owner := req.owner(resp)
		if owner == Own || owner == Unidentified && r.conn.exchanges == 0 && r.skipped == 0 {
			r.Response, r.identified = resp, owner == Own
			return nil
		}
		r.skipped++
		r.client.OnSkipped(SkippedAnswer{
			Address: r.address, Request: req, Sending: r.Sending, Status: resp.StatusCode, Header: resp.Header,
		})
		whole := r.conn.buffer(resp)
		if owner == Unidentified {
			held = append(held, resp)
		}
		if !whole || resp.Close || owner == Unidentified && !r.sendBarrier(req) {
			break
		}
	}
	return &Error{Sent: true, Heard: true, Cause: unidentifiedOr(held, errForeign)}
}

// owner returns whose the answer is. A request whose answers cannot be identified has a connection of its own.
func (r *Request) owner(resp *http.Response) Ownership {
	if r.OwnerOf == nil {
		return Unidentified
	}
	return r.OwnerOf(resp.StatusCode, resp.Header)
}

func unidentifiedOr(held []*http.Response, err error) error {
	if len(held) > 0 {
		return ErrUnidentified
	}
	return err
}

// sendBarrier sends the request's barrier after an unidentified answer, which may also have been a refusal of the
// barrier before. It returns false if that is not possible.
func (r *Response) sendBarrier(req *Request) bool {
	if req.Barrier == nil || r.writeResult != nil {
		return false
	}
	barrier := Request{Method: http.MethodGet, Target: req.Target, Host: req.Host, Header: req.Barrier.Header}
	_, err := r.conn.Write(barrier.head())
	return err == nil
}

// acceptHeld takes one of the unidentified answers before that of the barrier for the answer to the request. If
// they differ, it is not known which of them it is.
func (r *Response) acceptHeld(held []*http.Response) *Error {
	for _, other := range held[1:] {
		if other.StatusCode != held[0].StatusCode {
			return &Error{Sent: true, Heard: true, Cause: ErrUnidentified}
		}
	}
	r.Response = held[len(held)-1]
	return nil
}

// buffer reads the body of an answer to its end, so that the next answer can be read. It returns false if the
// body is too long or takes too long.
func (c *conn) buffer(resp *http.Response) bool {
	var body bytes.Buffer
	whole := c.readShort(&body, resp.Body, maxForeignBodyBytes)
	resp.Body = io.NopCloser(&body)
	return whole
}
