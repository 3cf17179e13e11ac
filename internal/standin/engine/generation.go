package engine

import (
	"fmt"
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Finish reasons that the engine reports in addition to model.FinishStop.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// generation is the state of one generation. Its fields are guarded by the engine's mutex. Tokens
// are not stored, because their text is derived from the generation ID and the index.
type generation struct {
	request      endpoint.GenerateRequest
	runIndex     int
	promptTokens int
	// targetTokens is the number of tokens to generate. limited reports that the token limit,
	// and not the drawn length, determines it.
	targetTokens int
	limited      bool
	crashMarked  bool
	produced     int
	preemptions  int
	done         bool
	finish       string
	endedAt      time.Time
	streams      int
	detachTimer  *time.Timer
	// changed is closed and replaced when the generation changes.
	changed chan struct{}
}

// textPrefixBytes is the number of leading bytes of the generation ID in the text of a token.
const textPrefixBytes = 8

func tokenText(generationID string, index int) string {
	return fmt.Sprintf("%s.%d ", generationID[:min(textPrefixBytes, len(generationID))], index)
}

// frame returns the frame at index: a token, or the final frame if index is the number of tokens
// produced. The caller holds the engine's mutex.
func (g *generation) frame(index int) endpoint.Frame {
	f := endpoint.Frame{
		RequestID:    g.request.RequestID,
		GenerationID: g.request.GenerationID,
		Index:        index,
		Preemptions:  g.preemptions,
	}
	if index < g.produced {
		f.Text = tokenText(g.request.GenerationID, index)
		return f
	}
	f.Done = true
	f.FinishReason = g.finish
	f.PromptTokens = g.promptTokens
	return f
}

// notify wakes the streams of a generation. The caller holds the engine's mutex.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// end marks a generation as ended and updates its run record. The caller holds the engine's
// mutex.
func (e *Engine) end(g *generation, finish string) {
	if g.done {
		return
	}
	g.done = true
	g.finish = finish
	g.endedAt = time.Now()
	e.runs.Update(g.runIndex, func(r *admin.Run) {
		r.Ended, r.EndedAt, r.FinishReason = true, g.endedAt, finish
		r.Tokens, r.Preemptions = g.produced, g.preemptions
	})
	g.notify()
}

// cancel ends a running generation. The caller holds the engine's mutex.
func (e *Engine) cancel(g *generation) {
	if g.done {
		return
	}
	e.model.Cancel(g.request.GenerationID)
	e.end(g, finishCancelled)
}

// attachStream adds a stream to a generation and stops the timer that would cancel it.
func (e *Engine) attachStream(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.streams++
	if g.detachTimer != nil {
		g.detachTimer.Stop()
		g.detachTimer = nil
	}
}

// detachStream removes a stream from a generation. A generation without streams continues for
// DetachGrace, so that it can be resumed, and is then cancelled.
func (e *Engine) detachStream(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.streams--
	if g.streams > 0 || g.done {
		return
	}
	g.detachTimer = time.AfterFunc(e.options.DetachGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if g.streams == 0 {
			e.cancel(g)
		}
	})
}
