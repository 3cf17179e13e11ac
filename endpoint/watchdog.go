package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

var errStalled = eris.New("no byte within the stall timeout")

// drainTimeout limits the wait for the end marker after the last frame of a complete answer.
const drainTimeout = 100 * time.Millisecond

// watchdog cancels an exchange on a connection that has become silent. A connection that is cut
// without a reset reports no error: a read would block forever, and with it the answer to the
// caller. A timeout of 0 disables the watchdog.
type watchdog struct {
	timeout time.Duration
	onStall func()
	timer   *time.Timer
}

// newWatchdog returns a watchdog that is not armed. cancel is called with errStalled when it fires.
func newWatchdog(timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timeout: timeout, onStall: func() { cancel(errStalled) }}
}

// arm starts the timeout. The timer is created here and not in newWatchdog: a timer created with a
// timeout of 0 would fire immediately, before it could be stopped.
func (d *watchdog) arm() {
	switch {
	case d.timeout <= 0:
	case d.timer == nil:
		d.timer = time.AfterFunc(d.timeout, d.onStall)
	default:
		d.timer.Reset(d.timeout)
	}
}

func (d *watchdog) disarm() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// watchedBody is the body of an answer, guarded by a watchdog. The time between two reads does not
// count towards the timeout.
type watchedBody struct {
	body     io.ReadCloser
	watchdog *watchdog
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watchdog.arm()
	n, err := b.body.Read(p)
	b.watchdog.disarm()
	if err != nil && err != io.EOF && eris.Is(context.Cause(b.ctx), errStalled) {
		err = errStalled
	}
	return n, err
}

// drain reads the end marker after the last frame so that the connection can be reused. If the
// endpoint does not send it, drain returns after drainTimeout.
func (b *watchedBody) drain() {
	b.watchdog.timeout = drainTimeout
	_, _ = io.CopyN(io.Discard, b, 1)
}

// Close ends the exchange. If the answer was not read to its end, the connection is closed, which
// shows the endpoint that there is no longer a reader.
func (b *watchedBody) Close() error {
	b.watchdog.disarm()
	b.cancel(nil)
	return b.body.Close()
}
