// Package service implements a stand-in for a plain service, for tests and experiments. GET has no
// effect; a call with any other method has an effect and is recorded in the run list.
package service

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Options configure the stand-in.
type Options struct {
	Name string
	// Latency is added to each call.
	Latency time.Duration
	// Deduplicate answers calls with a repeated idempotency key with the first call's answer,
	// without a second effect.
	Deduplicate bool
	// Journal is the file in which runs are recorded; if empty they are kept in memory only.
	Journal string
	// Seed seeds the random faults.
	Seed uint64
	// Exit ends the process. Nil does nothing, for tests.
	Exit func(status int)
}

// Answer is the body of each successful response.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Body    string `json:"body,omitempty"`
	// Effect is the unique ID of the call's effect; empty for GET.
	Effect string `json:"effect,omitempty"`
}

// maxBodyBytes is the maximum size of a request body in bytes; longer bodies are truncated.
const maxBodyBytes = 16 << 20

// idempotencyKey identifies a call by its idempotency key within a workspace.
type idempotencyKey struct{ workspace, key string }

// call is the only run of the calls that share an idempotency key in a workspace. done is closed
// after answer is set.
type call struct {
	done   chan struct{}
	answer Answer
}

// Server is a stand-in for a plain service.
type Server struct {
	options Options
	runs    *admin.RunLog

	mu     sync.Mutex
	faults admin.ServiceFaults
	random *rand.Rand
	calls  map[idempotencyKey]*call
}

// New returns a stand-in. It fails if the journal cannot be opened or read.
func New(o Options) (*Server, error) {
	runs, err := admin.OpenRunLog(o.Journal, uuid.NewString())
	if err != nil {
		return nil, err
	}
	return &Server{
		options: o,
		runs:    runs,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		calls:   make(map[idempotencyKey]*call),
	}, nil
}

// Handler returns the handler of the service's API and the administration API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Use(s.setNoticeHeaders)
	e.GET(endpoint.PathHealth, s.health)
	e.POST(admin.PathFaults, s.setFaults)
	e.GET(admin.PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.currentFaults()) })
	e.GET(admin.PathRuns, func(c echo.Context) error { return c.JSON(http.StatusOK, s.runs.List()) })
	e.Any("/*", s.handle)
	return e
}

// setNoticeHeaders is middleware that sets the notice headers of each response.
func (s *Server) setNoticeHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.currentFaults().SetHeaders(c.Response().Header())
		c.Response().Header().Set(endpoint.HeaderExchange, c.Request().Header.Get(endpoint.HeaderExchange))
		return next(c)
	}
}

func (s *Server) handle(c echo.Context) error {
	f := s.currentFaults()
	if f.Refuse {
		c.Response().Header().Set(endpoint.HeaderOutcome, string(crocusreel.OutcomeNotRun))
		f.SetRetryAfter(c.Response().Header())
		return c.NoContent(http.StatusServiceUnavailable)
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	time.Sleep(s.options.Latency + milliseconds(f.SlowMS))
	answer, err := s.perform(c.Request(), string(body))
	if err != nil {
		return err
	}
	time.Sleep(milliseconds(f.SlowAnswerMS))
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, answer)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// perform runs the call. With Options.Deduplicate, if a call with the same key has already started,
// it waits for that call's answer instead.
func (s *Server) perform(r *http.Request, body string) (Answer, error) {
	key := idempotencyKey{r.Header.Get(endpoint.HeaderWorkspace), r.Header.Get(endpoint.HeaderIdempotencyKey)}
	if r.Method == http.MethodGet || !s.options.Deduplicate || key.key == "" {
		return s.run(r, body)
	}
	s.mu.Lock()
	first, repeat := s.calls[key]
	if !repeat {
		first = &call{done: make(chan struct{})}
		s.calls[key] = first
	}
	s.mu.Unlock()
	if repeat {
		<-first.done
		return first.answer, nil
	}
	defer close(first.done)
	var err error
	first.answer, err = s.run(r, body)
	return first.answer, err
}

func (s *Server) run(r *http.Request, body string) (Answer, error) {
	answer := Answer{Service: s.options.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body}
	if r.Method == http.MethodGet {
		s.crash(answer)
		return answer, nil
	}
	index, err := s.runs.Start(admin.Run{
		RequestID:      r.Header.Get(endpoint.HeaderRequestID),
		IdempotencyKey: r.Header.Get(endpoint.HeaderIdempotencyKey),
		Workspace:      r.Header.Get(endpoint.HeaderWorkspace),
		Method:         r.Method,
		Path:           r.URL.Path,
	})
	if err != nil {
		return Answer{}, err
	}
	answer.Effect = uuid.NewString()
	s.crash(answer)
	s.runs.Update(index, func(run *admin.Run) { run.Ended, run.EndedAt = true, time.Now() })
	return answer, nil
}

// crash ends the process if the path, query or body of the call contains the crash marker.
func (s *Server) crash(a Answer) {
	if strings.Contains(a.Path+"?"+a.Query+"?"+a.Body, admin.CrashMarker) {
		s.exit()
	}
}

func (s *Server) exit() {
	if s.options.Exit != nil {
		s.options.Exit(admin.ExitStatusDied)
	}
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

func (s *Server) currentFaults() admin.ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) setFaults(c echo.Context) error {
	var f admin.ServiceFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Die {
		s.exit()
	}
	return c.JSON(http.StatusOK, f)
}

func (s *Server) health(c echo.Context) error {
	if s.currentFaults().Refuse {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}
