package relay

import (
	"bytes"
	"io"
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
		r.ready = completeEventsLen(r.buf)
		if err == io.EOF && r.ready < len(r.buf) {
			err = io.ErrUnexpectedEOF
		}
		if r.ready > 0 || err != nil {
			return r.buf[:r.ready:r.ready], err
		}
	}
}

var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	length := 0
	for _, end := range eventTerminators {
		if i := bytes.LastIndex(b, end); i >= 0 {
			length = max(length, i+len(end))
		}
	}
	return length
}

// splitEvent splits b, which holds complete events, after the first event.
func splitEvent(b []byte) (event, rest []byte) {
	length := len(b)
	for _, end := range eventTerminators {
		if i := bytes.Index(b, end); i >= 0 {
			length = min(length, i+len(end))
		}
	}
	return b[:length], b[length:]
}

// isComment reports whether a block of a stream is only a comment, which endpoints send to keep a
// connection open and clients ignore.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return false
		}
	}
	return true
}
