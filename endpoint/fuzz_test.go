package endpoint

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"
)

// FuzzFrames passes arbitrary bytes, as from a faulty or malicious engine, through the frame reader
// and the validation. The frames returned must belong to the generation, in order and without a
// gap, and the stream may end with io.EOF only after the last frame.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","generation_id":"g","index":0,"text":"a"}` + "\n" +
		`{"request_id":"r","generation_id":"g","index":1,"done":true}` + "\n"))
	f.Add([]byte("\n\n{\"request_id\":\"r\"}\n"))
	f.Add([]byte(`{"request_id":"r","generation_id":"g","index":-1}` + "\n"))
	f.Add([]byte(`{"request_id":"r","generation_id":"g","index":9223372036854775807,"text":"`))
	f.Add(append(bytes.Repeat([]byte("x"), 2*streamBufferBytes), '\n'))
	f.Fuzz(func(t *testing.T, data []byte) {
		raw := newFrameStream(io.NopCloser(bytes.NewReader(data)), time.Minute)
		stream := ValidateStream(raw, "r", "g", 0, nil)
		done := false
		for next := 0; ; next++ {
			frame, err := stream.Next()
			if err != nil {
				checkEnd(t, err, done)
				return
			}
			if done || frame.RequestID != "r" || frame.GenerationID != "g" || frame.Index != next {
				t.Fatalf("got frame %+v, want index %d, done %v", frame, next, done)
			}
			done = frame.Done
		}
	})
}

func checkEnd(t *testing.T, err error, done bool) {
	var typed *Error
	if err == io.EOF && done {
		return
	}
	if !errors.As(err, &typed) || done {
		t.Fatalf("stream ended with error %v, done %v", err, done)
	}
}

// Guards against an engine that sends an endless line, which would fill the gateway's memory if it
// were read completely.
func TestFrameWithoutEndIsCutOff(t *testing.T) {
	endless := io.LimitReader(zeroReader{}, 100*maxFrameBytes)
	counted := &countingReader{r: endless}
	_, err := newFrameStream(io.NopCloser(counted), time.Minute).Next()
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != KindProtocol {
		t.Fatalf("got error %v, want kind protocol", err)
	}
	if counted.n > 2*maxFrameBytes {
		t.Fatalf("read %d bytes, want at most twice the maximum frame size", counted.n)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}
