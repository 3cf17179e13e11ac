// Package notice holds what endpoints say of themselves in their answers.
package notice

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Notice is what an endpoint says of itself in the head of an answer.
type Notice struct {
	// Limited is set if the endpoint names a limit, and Limit is the number of requests a
	// second that it takes from all VMs together.
	Limited bool
	Limit   float64
	// LimitFault is what is wrong with a limit that could not be read; nil if nothing is.
	LimitFault error
	// Leaving tells that the endpoint is about to stop.
	Leaving bool
	// Pause is the time for which a refusing endpoint wants nothing from this VM; 0 for none.
	Pause time.Duration
	// PauseFault is what is wrong with a pause that could not be read; nil if nothing is.
	PauseFault error
}

// Empty tells whether the endpoint said nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// Fault is what is wrong with its figures; nil if nothing is.
func (n Notice) Fault() error { return errors.Join(n.LimitFault, n.PauseFault) }

// ParseLimit reads a number of requests a second from the named header; limited is false if
// there is none.
func ParseLimit(header, text string) (perSecond float64, limited bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0 && perSecond <= math.MaxFloat64) {
		return 0, false, eris.Errorf("%s: %.40q is no number of requests a second", header, text)
	}
	return perSecond, true, nil
}

// headerRetryAfter is the standard header, in seconds (RFC 9110, 10.2.3).
const headerRetryAfter = "Retry-After"

// longestPause is the longest pause that is believed. What lies beyond it was not meant.
const longestPause = 24 * time.Hour

// ParsePause reads for how long an endpoint that refuses a request wants no other from this VM.
// Seconds may have a fraction.
func ParsePause(status int, h http.Header) (time.Duration, error) {
	text := h.Get(headerRetryAfter)
	refuses := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if text == "" || !refuses {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= longestPause.Seconds()) {
		return 0, eris.Errorf("%s: %.40q is no time from 0 to %v", headerRetryAfter, text, longestPause)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
