package endpoint

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
)

// exchange identifies the answer to one request. Endpoints may send an answer late or twice, where the answer to
// the next request on the connection is expected.
type exchange struct {
	id string
	// reused is set if the request was sent on a connection on which others were sent before.
	reused bool
}

func newExchange() *exchange { return &exchange{id: rand.Text()} }

// trace returns a context with which a request records whether its connection was used before.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { e.reused = c.Reused }})
}

// foreign reports whether an answer states that it belongs to another request.
func (e *exchange) foreign(h http.Header) bool {
	id := h.Get(HeaderExchange)
	return id != "" && id != e.id
}

// identifies reports whether the answer is known to belong to the request: by its ID, or because no other request
// was sent on its connection.
func (e *exchange) identifies(h http.Header) bool { return h.Get(HeaderExchange) == e.id || !e.reused }

// believe returns the error of an answer. One that may belong to another request does not show that this one has
// not run.
func (e *exchange) believe(h http.Header, err *Error) *Error {
	if err.Outcome != crocusreel.OutcomeNotRun || e.identifies(h) {
		return err
	}
	return unknownOutcomeError(err.Kind, eris.Wrap(err.Cause, "the answer may belong to another request"))
}
