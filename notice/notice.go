// Package notice holds what endpoints say of themselves in their answers.
package notice

import (
	"math"
	"strconv"

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
}

// Empty tells whether the endpoint said nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// Fault is what is wrong with its figures; nil if nothing is.
func (n Notice) Fault() error { return n.LimitFault }

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
