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

// Options bound what one caller can cost.
type Options struct {
	// VM is the ID that answers carry in the Crocusreel-Gateway header.
	VM string
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxHeaderTime bounds the time for a caller to send its headers.
	MaxHeaderTime time.Duration
	// WriteTimeout bounds the writing of one event of a stream, or of one whole answer.
	// A caller that takes longer to read it counts as gone, so that it cannot hold an
	// engine's memory or a goroutine for ever. Default 20 seconds.
	WriteTimeout time.Duration
	Log          *zap.Logger
}

const (
	// bodyTimeout bounds the time for a caller to send its body, so that a caller
	// that sends a byte a minute does not hold a connection for hours.
	bodyTimeout = 30 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
	// defaultWriteTimeout is that of Options.
	defaultWriteTimeout = 20 * time.Second
	// maxHeaderBytes bounds the size of all headers of a request.
	maxHeaderBytes = 32 << 10
)

type server struct {
	core Core
	opts Options
}

// NewServer returns an HTTP server for the API. Whoever calls NewServer serves it
// and shuts it down.
func NewServer(core Core, opts Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(core, opts),
		ReadHeaderTimeout: opts.MaxHeaderTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// NewHandler returns the API's routes.
func NewHandler(core Core, opts Options) http.Handler {
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	s := &server{core: core, opts: opts}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.writeError
	e.Use(s.identify, s.limitBody)
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

// identify gives each request an ID and names the gateway in the answer.
func (s *server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := uuid.NewString()
		c.Set(keyRequestID, id)
		h := c.Response().Header()
		h.Set(api.HeaderRequestID, id)
		h.Set(api.HeaderGateway, s.opts.VM)
		c.Response().Before(func() { boundWrite(c, s.opts.WriteTimeout) })
		return next(c)
	}
}

// boundWrite gives the next write a deadline. A server without support for deadlines
// (a test recorder) says so.
func boundWrite(c echo.Context, timeout time.Duration) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(timeout))
}

func (s *server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.opts.MaxBodyBytes)
		// A server without support for deadlines (a test recorder) says so; the
		// body limit still holds there.
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

// countRefusal writes the log line and the counter of a refusal.
func (s *server) countRefusal(c echo.Context, r *crocusreel.Refusal) {
	metrics.CountRefusal(r.Reason)
	s.opts.Log.Info("request refused",
		zap.String("request", requestID(c)),
		zap.String("workspace", workspaceName(c)),
		zap.String("reason", string(r.Reason)),
		zap.String("outcome", string(r.Outcome)),
		zap.String("detail", r.Message))
}
