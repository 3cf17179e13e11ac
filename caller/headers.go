package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/config"
)

const (
	maxIdempotencyKeyBytes = 255
	maxAttempts            = 1 << 20
	maxDeadline            = 24 * time.Hour
	maxLengthHintTokens    = 1 << 20

	contextKeyRequestID = "request_id"
	contextKeyWorkspace = "workspace"
)

func requestID(c echo.Context) string {
	id, _ := c.Get(contextKeyRequestID).(string)
	return id
}

func workspaceOf(c echo.Context) *config.WorkspaceSpec {
	ws, _ := c.Get(contextKeyWorkspace).(*config.WorkspaceSpec)
	return ws
}

func workspaceName(c echo.Context) string {
	if ws := workspaceOf(c); ws != nil {
		return ws.Name
	}
	return ""
}

// authenticate looks up the workspace of the caller's key. The lookup uses the key's digest, so that
// its duration reveals nothing about valid keys.
func (s *server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if r := s.core.Ready(); r != nil {
			return r
		}
		key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return refuseNotRun(crocusreel.ReasonUnauthorized, "no bearer key")
		}
		digest := sha256.Sum256([]byte(key))
		ws, ok := s.core.Workspace(hex.EncodeToString(digest[:]))
		if !ok {
			return refuseNotRun(crocusreel.ReasonUnauthorized, "unknown key")
		}
		c.Set(contextKeyWorkspace, ws)
		return next(c)
	}
}

// readAttempt reads the headers that generations and service calls have in common.
func readAttempt(c echo.Context, body []byte) (Attempt, error) {
	h := c.Request().Header
	a := Attempt{
		RequestID:      requestID(c),
		Workspace:      workspaceOf(c),
		IdempotencyKey: h.Get(api.HeaderIdempotencyKey),
		BodySHA256:     digestRequest(c.Request(), body),
	}
	if len(a.IdempotencyKey) > maxIdempotencyKeyBytes {
		return a, badHeader(api.HeaderIdempotencyKey, "at most "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	switch h.Get(api.HeaderIdempotent) {
	case "", "true":
	case "false":
		a.NonIdempotent = true
	default:
		return a, badHeader(api.HeaderIdempotent, "true or false")
	}
	n, err := intHeader(h, api.HeaderAttempt, 0, 1, maxAttempts)
	if err != nil {
		return a, err
	}
	a.FirstAttempt = n == 1
	if a.NonIdempotent && a.IdempotencyKey == "" {
		return a, refuseNotRun(crocusreel.ReasonKeyRequired, "non-idempotent work needs the header %s", api.HeaderIdempotencyKey)
	}
	return a, nil
}

// digestRequest returns the hex SHA-256 digest of the request's method, path, query and body.
func digestRequest(r *http.Request, body []byte) string {
	h := sha256.New()
	h.Write([]byte(r.Method + "\n" + r.URL.Path + "\n" + r.URL.RawQuery + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func readDeadline(h http.Header) (time.Duration, error) {
	ms, err := intHeader(h, api.HeaderDeadline, 0, 1, int(maxDeadline.Milliseconds()))
	return time.Duration(ms) * time.Millisecond, err
}

func readClass(h http.Header) (crocusreel.Class, error) {
	switch c := crocusreel.Class(h.Get(api.HeaderClass)); c {
	case "", crocusreel.ClassGeneration:
		return crocusreel.ClassGeneration, nil
	case crocusreel.ClassShort:
		return c, nil
	default:
		return "", badHeader(api.HeaderClass, "generation or short")
	}
}

// intHeader parses an integer header. It returns defaultValue if the header is absent or empty, and
// a refusal if the value is not an integer from minimum to maximum.
func intHeader(h http.Header, name string, defaultValue, minimum, maximum int) (int, error) {
	text := h.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > maximum {
		return 0, badHeader(name, "an integer from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
	}
	return n, nil
}
