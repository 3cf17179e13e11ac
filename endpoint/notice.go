package endpoint

import (
	"net/http"

	"github.com/crocusreel/crocusreel/notice"
)

// HeaderRequestLimit on any answer is the number of requests a second that the endpoint takes from
// all gateways together, for as long as its answers say so.
const HeaderRequestLimit = "Crocusreel-Request-Limit"

// readNotice reads what an endpoint says of itself in the head of an answer.
func readNotice(h http.Header) notice.Notice {
	var n notice.Notice
	n.Limit, n.Limited, n.Fault = notice.ParseLimit(HeaderRequestLimit, h.Get(HeaderRequestLimit))
	return n
}
