package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	streamBufferBytes = 4 << 10
	// maxFrameBytes is the maximum size of an encoded frame in bytes.
	maxFrameBytes = 256 << 10
)

var errNoProgress = eris.New("no frame within the progress timeout")

// frameStream reads newline-delimited JSON frames. Empty lines are keep-alives.
type frameStream struct {
	body io.Closer
	// progressTimeout is the maximum time to wait for a frame.
	progressTimeout time.Duration
	reader          *bufio.Reader
	ended           bool
	failed          error
}

func newFrameStream(body io.ReadCloser, progressTimeout time.Duration) *frameStream {
	return &frameStream{body: body, progressTimeout: progressTimeout, reader: bufio.NewReaderSize(body, streamBufferBytes)}
}

// Next implements Stream.
func (s *frameStream) Next() (Frame, error) {
	if s.ended {
		return Frame{}, io.EOF
	}
	if s.failed != nil {
		return Frame{}, s.failed
	}
	f, fail := s.read()
	if fail != nil {
		s.failed = fail
		return Frame{}, fail
	}
	s.ended = f.Done
	return f, nil
}

// Close implements Stream.
func (s *frameStream) Close() error {
	if w, ok := s.body.(*watchedBody); ok && s.ended {
		w.drain()
	}
	return s.body.Close()
}

// read returns the next frame. An engine whose decoding hangs may continue to send keep-alive
// bytes, which the stall timeout does not detect. The progress timeout is therefore checked at each
// keep-alive.
func (s *frameStream) read() (Frame, *Error) {
	for started := time.Now(); ; {
		line, fail := s.readLine()
		if fail != nil {
			return Frame{}, fail
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			return decodeFrame(line)
		}
		if time.Since(started) > s.progressTimeout {
			return Frame{}, unknownOutcomeError(KindStalled, errNoProgress)
		}
	}
}

// readLine returns a line including its line break. A line without one was truncated: the part
// received may still be valid JSON, with a shorter token than the engine sent.
func (s *frameStream) readLine() ([]byte, *Error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	longLine := bytes.Clone(line)
	for eris.Is(err, bufio.ErrBufferFull) && len(longLine) <= maxFrameBytes {
		line, err = s.reader.ReadSlice('\n')
		longLine = append(longLine, line...)
	}
	switch {
	case len(longLine) > maxFrameBytes:
		return nil, unknownOutcomeError(KindProtocol, eris.Errorf("frame over %d bytes", maxFrameBytes))
	case err == io.EOF:
		return nil, unknownOutcomeError(KindLost, io.ErrUnexpectedEOF)
	case err != nil:
		return nil, readError(err)
	}
	return longLine, nil
}

func decodeFrame(line []byte) (Frame, *Error) {
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, unknownOutcomeError(KindProtocol, eris.Wrap(err, "decode frame"))
	}
	if f.Index < 0 || f.RequestID == "" || f.GenerationID == "" {
		return Frame{}, unknownOutcomeError(KindProtocol, eris.New("frame without its IDs or index"))
	}
	return f, nil
}
