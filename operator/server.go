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
	// applyTimeout bounds an edit, including the reading back of lost answers.
	applyTimeout = 10 * time.Second
	// readTimeout bounds requests that only read.
	readTimeout = 5 * time.Second
	// maxBody bounds a request body, in bytes.
	maxBody = 4 << 20
	// defaultHistory and maxHistory bound the versions in one history.
	defaultHistory = 20
	maxHistory     = 200
	// Addresses of the API.
	pathConfig   = "/v1/config"
	pathValidate = "/v1/config/validate"
	pathHistory  = "/v1/config/history"
	pathVersions = "/v1/config/versions/"
	pathStatus   = "/v1/status"
	pathVMs      = "/v1/vms/"
)

// Codes in error bodies. Each is counted as a refusal under its name, after
// "operator_".
const (
	CodeUnauthorized = "unauthorized"
	CodeBadRequest   = "bad_request"
	CodeInvalid      = "invalid_document"
	CodeConflict     = "conflict"
	CodeUnavailable  = "platform_unavailable"
	CodeUnknown      = "result_unknown"
	CodeNotFound     = "not_found"
	CodeUnreachable  = "vm_unreachable"
	CodeInternal     = "internal"
)

// ErrorBody is the JSON of every refusal.
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

// NewHandler returns the administration API. Every address but /healthz asks for
// an operator key.
func NewHandler(backend Backend, keys Keys, log *zap.Logger) http.Handler {
	s := &server{backend: backend, keys: keys, log: log}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = s.fail
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	api := e.Group("", s.authorise)
	api.GET(pathConfig, s.current)
	api.POST(pathConfig, s.apply)
	api.POST(pathValidate, s.validate)
	api.GET(pathHistory, s.history)
	api.GET(pathVersions+":version", s.version)
	api.GET(pathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, s.backend.Status()) })
	api.POST(pathVMs+":vm/leave", s.leave)
	return http.MaxBytesHandler(e, maxBody)
}

// errUnauthorized is the refusal of a request without a valid operator key.
var errUnauthorized = errors.New("an operator key is required")

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

// fail writes the error body and counts the refusal.
func (s *server) fail(err error, c echo.Context) {
	status, body := describe(err)
	metrics.CountRefusal(crocusreel.Reason("operator_" + body.Code))
	s.log.Info("operator request refused", zap.String("code", body.Code), zap.String("path", c.Path()), zap.Int("status", status))
	if !c.Response().Committed {
		_ = c.JSON(status, body)
	}
}

func describe(err error) (int, ErrorBody) {
	body := ErrorBody{Message: err.Error()}
	var conflict *Conflict
	var problems config.Problems
	var httpError *echo.HTTPError
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &conflict):
		status, body.Code, body.Conflict = http.StatusConflict, CodeConflict, conflict
	case errors.As(err, &problems):
		status, body.Code, body.Problems = http.StatusUnprocessableEntity, CodeInvalid, problems
		body.Message = "the document holds mistakes; nothing was changed"
	case errors.Is(err, errUnauthorized):
		status, body.Code = http.StatusUnauthorized, CodeUnauthorized
	case errors.Is(err, ErrUnavailable):
		status, body.Code = http.StatusServiceUnavailable, CodeUnavailable
	case errors.Is(err, ErrUnknown):
		status, body.Code = http.StatusGatewayTimeout, CodeUnknown
	case errors.Is(err, ErrNoVersion), errors.Is(err, ErrNoVM):
		status, body.Code = http.StatusNotFound, CodeNotFound
	case errors.Is(err, ErrVMUnreachable):
		status, body.Code = http.StatusBadGateway, CodeUnreachable
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
