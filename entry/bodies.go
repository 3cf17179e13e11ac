package entry

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodyMemoryFull is returned when a body is read for which no memory is left.
var errBodyMemoryFull = errors.New("too many large bodies at a time")

// BodyMemory bounds the memory used by the request bodies of all callers together. Without the
// bound, a few dozen callers that each send a body of the maximum size would use up the memory of a
// small VM, and the kernel would kill the process together with all its requests.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
}

// NewBodyMemory returns a bound of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// Reserve counts n bytes against the bound. It returns false, and counts nothing, if they exceed it;
// otherwise Release must be called with the same number.
func (m *BodyMemory) Reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// Release returns what Reserve has counted.
func (m *BodyMemory) Release(n int64) { m.used.Add(-n) }

// meteredBody counts the bytes read from one request body against the common bound.
type meteredBody struct {
	io.Reader
	budget    *BodyMemory
	bytesRead int64
}

// Read implements io.Reader. It returns errBodyMemoryFull if the bound is exceeded.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytesRead += int64(n)
	if b.budget.used.Add(int64(n)) > b.budget.limit {
		return n, errBodyMemoryFull
	}
	return n, err
}

// release returns the memory of the body. It must be called once, at the end of the request.
func (b *meteredBody) release() { b.budget.used.Add(-b.bytesRead) }
