package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// applyTimeout limits an edit. It includes the time to read the result back after a response of
	// the platform was lost.
	applyTimeout = 10 * time.Second
	// readTimeout limits requests that only read.
	readTimeout = 5 * time.Second
	// maxBodyBytes limits the size of a request body, in bytes.
	maxBodyBytes = 4 << 20
	// defaultHistory and maxHistory are the default and the maximum number of versions in one
	// history.
	defaultHistory = 20
	maxHistory     = 200
	// Paths of the API.
	pathConfig   = "/v1/config"
	pathValidate = "/v1/config/validate"
	pathHistory  = "/v1/config/history"
	pathVersions = "/v1/config/versions/"
	pathStatus   = "/v1/status"
	pathVMs      = "/v1/vms/"
)

// Codes in error bodies. Each refusal is counted in the refusals metric under its code with the
// prefix "operator_".
const (
	CodeUnauthorized        = "unauthorized"
	CodeBadRequest          = "bad_request"
	CodeInvalidDocument     = "invalid_document"
	CodeConflict            = "conflict"
	CodePlatformUnavailable = "platform_unavailable"
	CodeResultUnknown       = "result_unknown"
	CodeNotFound            = "not_found"
	CodeVMUnreachable       = "vm_unreachable"
	CodeInternal            = "internal"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Problems config.Problems `json:"problems,omitempty"`
	Conflict *Conflict       `json:"conflict,omitempty"`
}

type server struct {
	backend Backend
	keys    Keys
	log     *zap.Logger
}

// NewHandler returns the handler of the administration API. Every path except /healthz requires an
// operator key.
func NewHandler(backend Backend, keys Keys, log *zap.Logger) http.Handler {
	s := &server{backend: backend, keys: keys, log: log}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	api := e.Group("", s.authorise)
	api.GET(pathConfig, s.current)
	api.POST(pathConfig, s.apply)
	api.POST(pathValidate, s.validate)
	api.GET(pathHistory, s.history)
	api.GET(pathVersions+":version", s.version)
	api.GET(pathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.backend.Status()) })
	api.POST(pathVMs+":vm/leave", s.leave)
	return http.MaxBytesHandler(e, maxBodyBytes)
}

// errUnauthorized is the error of a request without a valid operator key.
var errUnauthorized = errors.New("an operator key is required")

// authorise is middleware that rejects requests without a valid operator key.
func (s *server) authorise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.keys.Valid(c.Request().Header.Get(echo.HeaderAuthorization)) {
			return errUnauthorized
		}
		return next(c)
	}
}

func (s *server) current(c echo.Context) error {
	return c.JSON(http.StatusOK, s.backend.Current())
}

func (s *server) apply(c echo.Context) error {
	var e Edit
	if err := c.Bind(&e); err != nil {
		return err
	}
	if e.EditID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "edit_id is required")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	version, err := s.backend.Apply(ctx, e)
	if err != nil {
		return err
	}
	version.Document = nil
	return c.JSON(http.StatusOK, version)
}

func (s *server) validate(c echo.Context) error {
	var doc config.Document
	if err := c.Bind(&doc); err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Valid bool `json:"valid"`
	}{true})
}

func (s *server) history(c echo.Context) error {
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return echo.NewHTTPError(http.StatusBadRequest, "limit must be from 1 to "+strconv.Itoa(maxHistory))
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	versions, err := s.backend.History(ctx, limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, versions)
}

func (s *server) version(c echo.Context) error {
	n, err := strconv.ParseUint(c.Param("version"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "version must be a whole number")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	v, err := s.backend.Version(ctx, n)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

func (s *server) leave(c echo.Context) error {
	if err := s.backend.Leave(c.Request().Context(), c.Param("vm")); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// handleError is the HTTP error handler. It counts and logs the refusal, and writes the error body
// unless the response has already started.
func (s *server) handleError(err error, c echo.Context) {
	status, body := errorResponse(err)
	metrics.CountRefusal(crocusreel.Reason("operator_" + body.Code))
	s.log.Info("operator request refused", zap.String("code", body.Code), zap.String("path", c.Path()), zap.Int("status", status))
	if !c.Response().Committed {
		_ = c.JSON(status, body)
	}
}

// errorResponse maps an error to an HTTP status code and an error body. The message of err is sent
// to the client.
func errorResponse(err error) (int, ErrorBody) {
	body := ErrorBody{Message: err.Error()}
	var conflict *Conflict
	var problems config.Problems
	var httpError *echo.HTTPError
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &conflict):
		status, body.Code, body.Conflict = http.StatusConflict, CodeConflict, conflict
	case errors.As(err, &problems):
		status, body.Code, body.Problems = http.StatusUnprocessableEntity, CodeInvalidDocument, problems
		body.Message = "the document holds mistakes; nothing was changed"
	case errors.Is(err, errUnauthorized):
		status, body.Code = http.StatusUnauthorized, CodeUnauthorized
	case errors.Is(err, ErrPlatformUnavailable):
		status, body.Code = http.StatusServiceUnavailable, CodePlatformUnavailable
	case errors.Is(err, ErrResultUnknown):
		status, body.Code = http.StatusGatewayTimeout, CodeResultUnknown
	case errors.Is(err, ErrVersionNotFound), errors.Is(err, ErrVMNotFound):
		status, body.Code = http.StatusNotFound, CodeNotFound
	case errors.Is(err, ErrVMUnreachable):
		status, body.Code = http.StatusBadGateway, CodeVMUnreachable
	case errors.As(err, &httpError):
		status, body.Code = httpError.Code, CodeBadRequest
		if status == http.StatusNotFound {
			body.Code = CodeNotFound
		}
	default:
		body.Code = CodeInternal
	}
	return status, body
}
