package entry

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodiesFull is returned when a body is read for which no memory is left.
var errBodiesFull = errors.New("too many large bodies at a time")

// Bodies bounds the memory used by the request bodies of all callers together. Without the bound, a
// few dozen callers that each send a body of the maximum size would use up the memory of a small
// VM, and the kernel would kill the process together with all its requests.
type Bodies struct {
	limit int64
	used  atomic.Int64
}

// NewBodies returns a bound of limit bytes.
func NewBodies(limit int64) *Bodies { return &Bodies{limit: limit} }

// body counts the bytes read from one request body against the common bound.
type body struct {
	io.Reader
	bodies *Bodies
	taken  int64
}

// Read implements io.Reader. It returns errBodiesFull if the bound is exceeded.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.taken += int64(n)
	if b.bodies.used.Add(int64(n)) > b.bodies.limit {
		return n, errBodiesFull
	}
	return n, err
}

// release returns the memory of the body. It must be called once, at the end of the request.
func (b *body) release() { b.bodies.used.Add(-b.taken) }
