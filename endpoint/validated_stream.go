package endpoint

import (
	"io"

	"github.com/rotisserie/eris"
)

// Kinds of dropped frames.
const (
	// DropCrossed is a frame of another request or generation.
	DropCrossed = "frame_crossed"
	// DropRepeated is a frame with an index that was already delivered.
	DropRepeated = "frame_repeated"
)

// maxDrops is the maximum number of frames dropped between two valid ones. Without this limit, an
// engine that sends only invalid frames would keep its connection busy and the caller waiting
// indefinitely, because no stall timeout would detect it.
const maxDrops = 1024

// validatedStream implements the stream returned by ValidateStream.
type validatedStream struct {
	stream       Stream
	requestID    string
	generationID string
	next         int
	onDrop       func(kind string)
	ended        bool
	failed       error
}

// ValidateStream wraps stream so that it yields only frames of the given request and generation,
// with consecutive indices starting at next. Frames of another request or generation and frames
// already delivered are dropped and reported to onDrop, which may be nil. A gap in the indices is
// an error of kind protocol: tokens are missing, but the generation can be resumed from the last
// valid index.
func ValidateStream(stream Stream, requestID, generationID string, next int, onDrop func(kind string)) Stream {
	if onDrop == nil {
		onDrop = func(string) {}
	}
	return &validatedStream{stream: stream, requestID: requestID, generationID: generationID, next: next, onDrop: onDrop}
}

// Next implements Stream.
func (c *validatedStream) Next() (Frame, error) {
	if c.ended {
		return Frame{}, io.EOF
	}
	if c.failed != nil {
		return Frame{}, c.failed
	}
	f, err := c.read()
	if err != nil {
		c.failed = err
		return Frame{}, err
	}
	c.ended = f.Done
	if !f.Done {
		c.next++
	}
	return f, nil
}

// Close implements Stream.
func (c *validatedStream) Close() error { return c.stream.Close() }

func (c *validatedStream) read() (Frame, error) {
	for range maxDrops {
		f, err := c.stream.Next()
		if err == io.EOF {
			// The underlying stream ended with the last frame of another generation.
			return Frame{}, unknownOutcomeError(KindLost, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return Frame{}, err
		}
		switch {
		case f.RequestID != c.requestID || f.GenerationID != c.generationID:
			c.onDrop(DropCrossed)
		case f.Index < c.next:
			c.onDrop(DropRepeated)
		case f.Index > c.next:
			return Frame{}, unknownOutcomeError(KindProtocol, eris.Errorf("frame %d where %d was due", f.Index, c.next))
		default:
			return f, nil
		}
	}
	return Frame{}, unknownOutcomeError(KindProtocol, eris.Errorf("%d wrong frames one after the other", maxDrops))
}
