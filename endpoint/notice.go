package endpoint

import (
	"net/http"

	"github.com/crocusreel/crocusreel/notice"
)

// HeaderLeaving is "1" in all answers of an endpoint that is about to stop.
const HeaderLeaving = "Crocusreel-Leaving"

// leavingValue is the value of HeaderLeaving in the answers of an endpoint that is about to stop.
const leavingValue = "1"

// HeaderRequestLimit in any answer is the number of requests per second that the endpoint accepts
// from all gateways together. The limit applies for as long as the answers state it.
const HeaderRequestLimit = "Crocusreel-Request-Limit"

// parseNotice returns what an endpoint reports about itself in the status and header of an answer.
func parseNotice(status int, h http.Header) notice.Notice {
	n := notice.Notice{Leaving: h.Get(HeaderLeaving) == leavingValue}
	n.Limit, n.Limited, n.LimitErr = notice.ParseLimit(HeaderRequestLimit, h.Get(HeaderRequestLimit))
	n.Pause, n.PauseErr = notice.ParsePause(status, h)
	return n
}
