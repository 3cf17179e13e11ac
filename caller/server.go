package caller

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// Options configures the server and limits the resources that one caller can use.
type Options struct {
	// VM is the ID of the gateway's VM, sent in the Crocusreel-Gateway header of every response.
	VM string
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxHeaderTime limits the time in which a caller has to send its headers.
	MaxHeaderTime time.Duration
	// WriteTimeout limits the time for writing one event of a stream, or one unstreamed response. A
	// caller that takes longer to read it is treated as disconnected, so that it cannot hold engine
	// memory or a goroutine indefinitely. Default: 20 seconds.
	WriteTimeout time.Duration
	Log          *zap.Logger
}

const (
	// bodyTimeout limits the time in which a caller has to send its body. Without it, a caller that
	// sends one byte per minute would hold a connection for hours.
	bodyTimeout = 30 * time.Second
	// idleTimeout is the time after which idle keep-alive connections are closed.
	idleTimeout = 2 * time.Minute
	// defaultWriteTimeout is the default of Options.WriteTimeout.
	defaultWriteTimeout = 20 * time.Second
	// maxHeaderBytes limits the total size of a request's headers.
	maxHeaderBytes = 32 << 10
)

type server struct {
	core Core
	opts Options
}

// NewServer returns an HTTP server for the API. Starting it and shutting it down is up to the
// caller of NewServer.
func NewServer(core Core, opts Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(core, opts),
		ReadHeaderTimeout: opts.MaxHeaderTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns a handler that serves the API's routes.
func NewHandler(core Core, opts Options) http.Handler {
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	s := &server{core: core, opts: opts}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.writeError
	e.Use(s.assignRequestID, s.limitBody)
	e.GET("/healthz", s.health)
	e.GET("/v1/addresses", s.addresses)

	v1 := e.Group("/v1", s.authenticate)
	v1.GET("/models", s.models)
	v1.POST("/completions", s.completions)
	v1.POST("/chat/completions", s.chat)
	v1.POST("/resume", s.resume)
	v1.GET("/requests/:id", s.record)
	e.Any("/services/*", s.service, s.authenticate)
	return e
}

// assignRequestID assigns an ID to each request, adds the request ID and the gateway's VM to the
// response headers and sets a write deadline as the response starts.
func (s *server) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := uuid.NewString()
		c.Set(contextKeyRequestID, id)
		h := c.Response().Header()
		h.Set(api.HeaderRequestID, id)
		h.Set(api.HeaderGateway, s.opts.VM)
		c.Response().Before(func() { setWriteDeadline(c, s.opts.WriteTimeout) })
		return next(c)
	}
}

// setWriteDeadline sets the deadline for the next write of the response. Response writers without
// support for deadlines, such as httptest.ResponseRecorder, return an error, which is ignored.
func setWriteDeadline(c echo.Context, timeout time.Duration) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(timeout))
}

// limitBody limits the size of the request body and the time for sending it.
func (s *server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.opts.MaxBodyBytes)
		// Response writers without support for deadlines, such as httptest.ResponseRecorder,
		// return an error, which is ignored. The size limit applies to them as well.
		_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(bodyTimeout))
		return next(c)
	}
}

func (s *server) health(c echo.Context) error {
	if r := s.core.Ready(); r != nil {
		return r
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *server) addresses(c echo.Context) error {
	addrs, ttl := s.core.Addresses()
	return c.JSON(http.StatusOK, api.Addresses{Addresses: addrs, TTLMS: ttl.Milliseconds()})
}

func (s *server) record(c echo.Context) error {
	rec, ok := s.core.Record(workspaceOf(c).Name, c.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such recent request at this gateway")
	}
	return c.JSON(http.StatusOK, rec)
}

// recordRefusal counts and logs a refusal.
func (s *server) recordRefusal(c echo.Context, r *crocusreel.Refusal) {
	metrics.CountRefusal(r.Reason)
	s.opts.Log.Info("request refused",
		zap.String("request", requestID(c)),
		zap.String("workspace", workspaceName(c)),
		zap.String("reason", string(r.Reason)),
		zap.String("outcome", string(r.Outcome)),
		zap.String("detail", r.Message))
}
