package relay

import (
	"io"

	"github.com/crocusreel/crocusreel/internal/sse"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 256 << 10

// eventReader splits a stream into complete events. It never returns the part of an event at the
// end of a broken stream: joined to the next event it would corrupt both.
type eventReader struct {
	source io.Reader
	buf    []byte
	// ready is the length of the complete events that the last call returned.
	ready int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buf: make([]byte, 0, 2048)}
}

// next returns the complete events received so far, at least one unless err is set. The slice is
// valid until the next call. At the end of the stream err is io.EOF, or io.ErrUnexpectedEOF if the
// stream ends within an event. An event longer than maxEventBytes gives io.ErrShortBuffer.
func (r *eventReader) next() ([]byte, error) {
	r.buf = append(r.buf[:0], r.buf[r.ready:]...)
	r.ready = 0
	for {
		if len(r.buf) == cap(r.buf) {
			if len(r.buf) >= maxEventBytes {
				return nil, io.ErrShortBuffer
			}
			r.buf = append(make([]byte, 0, 2*cap(r.buf)), r.buf...)
		}
		n, err := r.source.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		r.ready = sse.Events(r.buf)
		if err == io.EOF && r.ready < len(r.buf) {
			err = r.endWithinEvent()
		}
		if r.ready > 0 || err != nil {
			return r.buf[:r.ready:r.ready], err
		}
	}
}

// endWithinEvent returns the error for a stream that ends after a part of an event. Comments at the end
// need no empty line after them, and are passed on.
func (r *eventReader) endWithinEvent() error {
	rest := r.buf[r.ready:]
	if last := rest[len(rest)-1]; sse.IsComment(rest) && (last == '\n' || last == '\r') {
		r.ready = len(r.buf)
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}

// splitEvent splits b, which holds complete events, after the first event.
func splitEvent(b []byte) (event, rest []byte) {
	length := sse.Event(b)
	if length == 0 {
		length = len(b)
	}
	return b[:length], b[length:]
}
