package scheduler

import "time"

// statsEvent reads the state of a pool on the pool's goroutine.
type statsEvent struct {
	read func(*core)
	done chan struct{}
}

func (e statsEvent) apply(p *pool, _ time.Duration) {
	e.read(p.core)
	close(e.done)
}

func (p *pool) stats(read func(*core)) {
	e := statsEvent{read: read, done: make(chan struct{})}
	if !p.send(e) {
		return
	}
	select {
	case <-e.done:
	case <-p.ctx.Done():
	}
}
