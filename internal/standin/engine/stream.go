package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// errAborted means that a fault closes the connection in the middle of the response.
var errAborted = errors.New("connection aborted")

// stream writes a generation's frames to one client.
type stream struct {
	engine  *Engine
	gen     *generation
	writer  http.ResponseWriter
	flusher http.Flusher
}

// serve writes frames from index next on, until the generation ends, ctx is cancelled or a write
// fails.
func (s *stream) serve(ctx context.Context, next int) error {
	keepAlive := time.NewTicker(s.engine.options.KeepAlive)
	defer keepAlive.Stop()
	for {
		frames, changed := s.pendingFrames(next)
		for _, f := range frames {
			if err := s.write(f); err != nil {
				return err
			}
			if f.Done {
				return nil
			}
			next++
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-keepAlive.C:
			if err := s.keepAlive(); err != nil {
				return err
			}
		}
	}
}

// pendingFrames returns the available frames from next on and a channel that is closed at the next
// change. While streams are muted it returns no frames and a nil channel, so that the caller checks
// again at the next keep-alive.
func (s *stream) pendingFrames(next int) ([]endpoint.Frame, <-chan struct{}) {
	e, g := s.engine, s.gen
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Mute {
		return nil, nil
	}
	var frames []endpoint.Frame
	for i := next; i < g.produced; i++ {
		frames = append(frames, g.frame(i))
	}
	if g.done {
		frames = append(frames, g.frame(g.produced))
	}
	return frames, g.changed
}

func (s *stream) keepAlive() error {
	if s.engine.currentFaults().Mute {
		return nil
	}
	return s.send([]byte("\n"))
}

// frameFaults are the faults drawn for one frame.
type frameFaults struct {
	crossed, duplicate, late, missing, truncated bool
}

func (e *Engine) drawFrameFaults() frameFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	return frameFaults{
		crossed:   e.chance(f.CrossedFrames),
		duplicate: e.chance(f.DuplicateFrames),
		late:      e.chance(f.LateFrames),
		missing:   e.chance(f.MissingFrames),
		truncated: e.chance(f.TruncatedFrames),
	}
}

// write sends a frame, subject to the faults drawn for it.
func (s *stream) write(f endpoint.Frame) error {
	faults := s.engine.drawFrameFaults()
	if faults.crossed {
		if err := s.sendFrame(crossedFrame(f)); err != nil {
			return err
		}
	}
	if faults.truncated {
		return s.truncate(f)
	}
	if faults.missing && !f.Done {
		return nil
	}
	if err := s.sendFrame(f); err != nil {
		return err
	}
	if faults.duplicate && !f.Done {
		if err := s.sendFrame(f); err != nil {
			return err
		}
	}
	if faults.late && f.Index > 0 && !f.Done {
		return s.sendFrame(s.earlierFrame(f.Index / 2))
	}
	return nil
}

func (s *stream) earlierFrame(index int) endpoint.Frame {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.gen.frame(index)
}

// crossedFrame returns a frame with the same index but the IDs of another request and generation.
func crossedFrame(f endpoint.Frame) endpoint.Frame {
	f.RequestID = uuid.NewString()
	f.GenerationID = uuid.NewString()
	f.Text = tokenText(f.GenerationID, f.Index)
	return f
}

// truncate sends the first half of a frame and returns errAborted to close the connection.
func (s *stream) truncate(f endpoint.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if err := s.send(line[:len(line)/2]); err != nil {
		return err
	}
	return errAborted
}

func (s *stream) sendFrame(f endpoint.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.send(append(line, '\n'))
}

func (s *stream) send(data []byte) error {
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	s.flusher.Flush()
	return nil
}

func (e *Engine) currentFaults() admin.EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
