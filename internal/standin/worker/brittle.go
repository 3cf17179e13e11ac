package worker

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// headerBrittle is the notice of a brittle worker: the number of requests that it can turn away in a
// second.
const headerBrittle = "Server-Brittle"

// capacity is the room of a worker for requests, and what happens if it turns away too many.
type capacity struct {
	// running and waiting count the requests in the worker.
	running, waiting int
	// free is signalled when a request ends.
	free chan struct{}
	// brittle is the number of requests that may be turned away in a second; 0 if there is no limit.
	brittle int
	// turnedAway are the times of the requests that were turned away within the last second.
	turnedAway []time.Time
	falls      int
	downUntil  time.Time
}

// SetBrittle makes the worker say in all its answers that it falls over, for fallTime, if it has to
// turn away more than perSecond requests in a second. 0 ends that.
func (w *Worker) SetBrittle(perSecond int) {
	value := ""
	if perSecond > 0 {
		value = strconv.Itoa(perSecond)
	}
	w.SetNotice(headerBrittle, value)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity.brittle = perSecond
}

// Falls returns how often the worker has fallen over.
func (w *Worker) Falls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.capacity.falls
}

// fallTime is how long a worker that has fallen over breaks all connections.
const fallTime = 2 * time.Second

// enter waits until there is room to run a request. It returns false if the worker has to turn it
// away.
func (w *Worker) enter(r *http.Request) bool {
	w.mu.Lock()
	c := &w.capacity
	if w.options.Slots > 0 && c.running >= w.options.Slots {
		if c.waiting >= w.options.QueueLength {
			w.turnAwayLocked()
			w.mu.Unlock()
			return false
		}
		c.waiting++
		for c.running >= w.options.Slots {
			if c.free == nil {
				c.free = make(chan struct{})
			}
			free := c.free
			w.mu.Unlock()
			select {
			case <-free:
			case <-r.Context().Done():
			}
			w.mu.Lock()
			if r.Context().Err() != nil {
				break
			}
		}
		c.waiting--
	}
	c.running++
	w.mu.Unlock()
	return true
}

// leave ends a request for which enter has returned true.
func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity.running--
	if w.capacity.free != nil {
		close(w.capacity.free)
		w.capacity.free = nil
	}
}

// turnAwayLocked counts a request that is turned away for want of room.
func (w *Worker) turnAwayLocked() {
	c := &w.capacity
	now := time.Now()
	recent := c.turnedAway[:0]
	for _, at := range c.turnedAway {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	c.turnedAway = append(recent, now)
	if c.brittle > 0 && len(c.turnedAway) > c.brittle && now.After(c.downUntil) {
		c.falls++
		c.turnedAway, c.downUntil = nil, now.Add(fallTime)
	}
}

// breakIfDown resets the connection of a request and returns true while the worker has fallen over.
func (w *Worker) breakIfDown(rw http.ResponseWriter) bool {
	w.mu.Lock()
	down := time.Now().Before(w.capacity.downUntil)
	w.mu.Unlock()
	if !down {
		return false
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	return true
}
