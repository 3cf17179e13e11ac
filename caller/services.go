package caller

import (
	"io"
	"strings"

	"github.com/labstack/echo/v4"
)

// servicesPath is the path prefix of plain services.
const servicesPath = "/services"

// service forwards one call to a plain service. The route determines whether the call is idempotent;
// the caller's header can only declare it non-idempotent, never the reverse.
func (s *server) service(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	a, err := readAttempt(c, body)
	if err != nil {
		return err
	}
	ctx, cancel, err := deadlineContext(c)
	if err != nil {
		return err
	}
	defer cancel()
	release, refusal := s.core.AcquireSlot(a.Workspace)
	if refusal != nil {
		return refusal
	}
	defer release()
	reply, refusal := s.core.Call(ctx, ServiceCall{
		Attempt:     a,
		Method:      r.Method,
		Path:        strings.TrimPrefix(r.URL.Path, servicesPath),
		Query:       r.URL.RawQuery,
		ContentType: r.Header.Get(echo.HeaderContentType),
		Body:        body,
	})
	if refusal != nil {
		return refusal
	}
	return s.logWriteError(c, c.Blob(reply.Status, reply.ContentType, reply.Body))
}
