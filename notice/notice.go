// Package notice defines what endpoints report about themselves in the headers of their answers.
package notice

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Notice is what an endpoint reports about itself in the headers of an answer.
type Notice struct {
	// Limited is set if the endpoint reports a limit. Limit is the number of requests per second
	// that it accepts from all VMs together.
	Limited bool
	Limit   float64
	// LimitErr is the error in parsing the limit; nil if there is none.
	LimitErr error
	// Brittle is set if the endpoint reports that it falls over if it has to turn away more than
	// BrittleLimit requests per second for want of room. BrittleErr is the error in parsing that.
	Brittle      bool
	BrittleLimit float64
	BrittleErr   error
	// Leaving is set if the endpoint is about to stop.
	Leaving bool
	// Pause is how long an endpoint that refused a request asks this VM to send no further
	// requests; 0 for no pause.
	Pause time.Duration
	// PauseErr is the error in parsing the pause; nil if there is none.
	PauseErr error
}

// Empty reports whether the endpoint reported nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// Err returns the errors in parsing the notice, joined; nil if there are none.
func (n Notice) Err() error { return errors.Join(n.LimitErr, n.BrittleErr, n.PauseErr) }

// ParseLimit parses value, the content of the named header, as a number of requests per second.
// Limited is false if value is empty or invalid.
func ParseLimit(header, value string) (perSecond float64, limited bool, err error) {
	if value == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(value, 64)
	if err != nil || !(perSecond >= 0 && perSecond <= math.MaxFloat64) {
		return 0, false, eris.Errorf("%s: invalid value %.40q, want a non-negative number of requests per second", header, value)
	}
	return perSecond, true, nil
}

// headerRetryAfter is the standard header for a retry delay in seconds (RFC 9110, 10.2.3).
const headerRetryAfter = "Retry-After"

// maxPause is the longest pause that is accepted. A longer one is treated as an error of the
// endpoint.
const maxPause = 24 * time.Hour

// ParsePause returns how long an endpoint that refused a request with status 429 or 503 asks this
// VM to send no further requests. The number of seconds may have a fraction.
func ParsePause(status int, h http.Header) (time.Duration, error) {
	value := h.Get(headerRetryAfter)
	refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if value == "" || !refused {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxPause.Seconds()) {
		return 0, eris.Errorf("%s: invalid value %.40q, want a number of seconds from 0 to %v", headerRetryAfter, value, maxPause)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
