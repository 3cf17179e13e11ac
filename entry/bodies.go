package entry

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodiesFull ends the reading of a body for which there is no memory.
var errBodiesFull = errors.New("too many large bodies at a time")

// Bodies bounds the memory that callers' bodies take together. A few dozen callers that
// each send the largest body allowed would otherwise take all memory of a small VM, and
// the kernel would end the process with everybody's requests.
type Bodies struct {
	limit int64
	used  atomic.Int64
}

// NewBodies returns a bound of so many bytes.
func NewBodies(limit int64) *Bodies { return &Bodies{limit: limit} }

// body counts what is read of one body.
type body struct {
	io.Reader
	bodies *Bodies
	taken  int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.taken += int64(n)
	if b.bodies.used.Add(int64(n)) > b.bodies.limit {
		return n, errBodiesFull
	}
	return n, err
}

// release gives the memory back once the request has ended.
func (b *body) release() { b.bodies.used.Add(-b.taken) }
