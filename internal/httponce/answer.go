package httponce

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/httphead"
)

// opaqueBody is the body of a request. It hides the type of its reader from net/http.
type opaqueBody struct {
	reader *bytes.Reader
	// taken is set once the transport has taken the whole body.
	taken atomic.Bool
}

func newOpaqueBody(data []byte) *opaqueBody {
	o := &opaqueBody{reader: bytes.NewReader(data)}
	o.taken.Store(len(data) == 0)
	return o
}

// Read implements io.Reader.
func (o *opaqueBody) Read(p []byte) (int, error) {
	n, err := o.reader.Read(p)
	if o.reader.Len() == 0 {
		o.taken.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (o *opaqueBody) Close() error { return nil }

var errEndedEarly = eris.New("the server ended its answer before the request was sent")

// Check returns an error, and closes the body, if the head of the answer to a request of NewRequest is malformed.
// It makes the body fail at its end if the answer has no length and the request was not sent whole: the connection
// may then have broken.
func Check(req *http.Request, resp *http.Response) error {
	if err := httphead.Check(resp); err != nil {
		_ = resp.Body.Close()
		return err
	}
	sent, ok := req.Body.(*opaqueBody)
	if ok && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unframedBody{ReadCloser: resp.Body, sent: sent}
	}
	return nil
}

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	sent *opaqueBody
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.sent.taken.Load() {
		err = errEndedEarly
	}
	return n, err
}
