// Package httphead checks the heads of answers more strictly than net/http reads them.
package httphead

import (
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Statuses of answers, by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the status or a field of the head is malformed, or if the answer switches to another
// protocol without having been asked to. net/http may then have read another end of the body than was meant.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return eris.Errorf("status %q is not that of an answer", resp.Status)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("the answer has a field with the invalid name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return eris.Errorf("the field %s of the answer has the invalid value %q", name, v)
			}
		}
	}
	return nil
}

// CheckFraming returns an error if the head of an HTTP/1 answer, as it was received, states the end of the body in
// a way that readers understand differently: chunks beside a length or in HTTP/1.0, or a body in an informational
// answer.
func CheckFraming(resp *http.Response, head []byte) error {
	chunked, sized := hasField(head, "Transfer-Encoding"), hasField(head, "Content-Length")
	switch {
	case resp.ProtoMajor != 1:
		return eris.Errorf("protocol %q is not HTTP/1", resp.Proto)
	case chunked && sized:
		return eris.New("the answer has both a length and a transfer encoding")
	case chunked && !resp.ProtoAtLeast(1, 1):
		return eris.Errorf("the answer has a transfer encoding in %s", resp.Proto)
	case resp.StatusCode < http.StatusOK && (chunked || sized):
		return eris.Errorf("the informational answer %d has a body", resp.StatusCode)
	}
	return nil
}

// hasField reports whether the head has a field of the given name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, found := bytes.Cut(line, []byte{':'})
		if found && len(field) == len(name) && bytes.EqualFold(field, []byte(name)) {
			return true
		}
	}
	return false
}
