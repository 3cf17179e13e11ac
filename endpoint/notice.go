package endpoint

import (
	"net/http"

	"github.com/crocusreel/crocusreel/notice"
)

// HeaderLeaving is "1" on all answers of an endpoint that is about to stop.
const HeaderLeaving = "Crocusreel-Leaving"

// leavingYes is the value of HeaderLeaving of an endpoint that leaves.
const leavingYes = "1"

// HeaderRequestLimit on any answer is the number of requests a second that the endpoint takes from
// all gateways together, for as long as its answers say so.
const HeaderRequestLimit = "Crocusreel-Request-Limit"

// readNotice reads what an endpoint says of itself in the head of an answer.
func readNotice(status int, h http.Header) notice.Notice {
	n := notice.Notice{Leaving: h.Get(HeaderLeaving) == leavingYes}
	n.Limit, n.Limited, n.LimitErr = notice.ParseLimit(HeaderRequestLimit, h.Get(HeaderRequestLimit))
	n.Pause, n.PauseErr = notice.ParsePause(status, h)
	return n
}
