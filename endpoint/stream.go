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
	streamBuffer = 4 << 10
	// maxFrame is the maximum size of an encoded frame in bytes.
	maxFrame = 256 << 10
)

var errNoProgress = eris.New("no frame within the progress timeout")

// frameStream reads newline-delimited JSON frames. Empty lines are keep-alives.
type frameStream struct {
	body io.Closer
	// progress is the maximum time to wait for a frame.
	progress time.Duration
	lines    *bufio.Reader
	ended    bool
	failed   error
}

func newFrameStream(body io.ReadCloser, progress time.Duration) *frameStream {
	return &frameStream{body: body, progress: progress, lines: bufio.NewReaderSize(body, streamBuffer)}
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
		if time.Since(started) > s.progress {
			return Frame{}, unknown(KindStalled, errNoProgress)
		}
	}
}

// readLine returns a line including its line break. A line without one was truncated: the part
// received may still be valid JSON, with a shorter token than the engine sent.
func (s *frameStream) readLine() ([]byte, *Error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	long := bytes.Clone(line)
	for eris.Is(err, bufio.ErrBufferFull) && len(long) <= maxFrame {
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	switch {
	case len(long) > maxFrame:
		return nil, unknown(KindProtocol, eris.Errorf("frame over %d bytes", maxFrame))
	case err == io.EOF:
		return nil, unknown(KindLost, io.ErrUnexpectedEOF)
	case err != nil:
		return nil, readError(err)
	}
	return long, nil
}

func decodeFrame(line []byte) (Frame, *Error) {
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, unknown(KindProtocol, eris.Wrap(err, "decode frame"))
	}
	if f.Index < 0 || f.RequestID == "" || f.GenerationID == "" {
		return Frame{}, unknown(KindProtocol, eris.New("frame without its IDs or index"))
	}
	return f, nil
}
