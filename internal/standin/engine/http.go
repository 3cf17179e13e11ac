package engine

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// Handler returns the handler of the engines' HTTP API and the administration API.
func (e *Engine) Handler() http.Handler {
	r := echo.New()
	r.Use(e.setNoticeHeaders)
	r.POST(endpoint.PathGenerate, e.handleGenerate)
	r.POST(endpoint.PathGenerations+":id/resume", e.handleResume)
	r.POST(endpoint.PathGenerations+":id/cancel", e.handleCancel)
	r.GET(endpoint.PathLoad, func(c echo.Context) error { return c.JSON(http.StatusOK, e.laggedReport()) })
	r.GET(endpoint.PathCacheEvents, e.handleCacheEvents)
	r.GET(endpoint.PathState, func(c echo.Context) error { return c.JSON(http.StatusOK, e.state()) })
	r.POST(endpoint.PathOrders, e.handleOrder)
	r.GET(endpoint.PathRuns, e.handleLookup)
	r.GET(endpoint.PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	r.POST(admin.PathFaults, e.handleSetFaults)
	r.GET(admin.PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, e.currentFaults()) })
	r.GET(admin.PathRuns, func(c echo.Context) error { return c.JSON(http.StatusOK, e.listRuns()) })
	r.GET(admin.PathOrders, func(c echo.Context) error { return c.JSON(http.StatusOK, e.listOrders()) })
	return r
}

// setNoticeHeaders is middleware that sets the notice headers of each response.
func (e *Engine) setNoticeHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.currentFaults().SetHeaders(c.Response().Header())
		c.Response().Header().Set(endpoint.HeaderExchange, c.Request().Header.Get(endpoint.HeaderExchange))
		return next(c)
	}
}

func (e *Engine) handleGenerate(c echo.Context) error {
	var req endpoint.GenerateRequest
	if err := c.Bind(&req); err != nil {
		return sendRefusal(c, refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, err.Error()))
	}
	g, lost, refused := e.start(req)
	if refused != nil {
		e.currentFaults().SetRetryAfter(c.Response().Header())
		return sendRefusal(c, refused)
	}
	e.attachStream(g)
	defer e.detachStream(g)
	if lost {
		panic(http.ErrAbortHandler)
	}
	return e.stream(c, g, 0)
}

func (e *Engine) handleResume(c echo.Context) error {
	var req endpoint.ResumeRequest
	if err := c.Bind(&req); err != nil {
		return sendRefusal(c, refuse(400, endpoint.KindRefused, crocusreel.OutcomeUnknown, err.Error()))
	}
	g := e.find(c.Param("id"))
	if g == nil {
		return sendRefusal(c, refuseUnknownGeneration())
	}
	e.attachStream(g)
	defer e.detachStream(g)
	return e.stream(c, g, max(0, req.Next))
}

// refuseUnknownGeneration returns the refusal for an unknown generation ID. Its outcome is unknown:
// the generation may have run in an earlier incarnation, or ended and been removed.
func refuseUnknownGeneration() *refusal {
	return refuse(404, endpoint.KindUnknownGeneration, crocusreel.OutcomeUnknown, "no such generation")
}

// stream writes the frames of a generation, starting with frame next. If a fault ends the
// connection, the response is aborted without the final chunk.
func (e *Engine) stream(c echo.Context, g *generation, next int) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	if !e.currentFaults().Mute {
		w.Flush()
	}
	s := &stream{engine: e, gen: g, writer: w, flusher: w}
	if err := s.serve(c.Request().Context(), next); errors.Is(err, errAborted) {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (e *Engine) handleCancel(c echo.Context) error {
	var req endpoint.CancelRequest
	if err := c.Bind(&req); err != nil {
		return sendRefusal(c, refuse(400, endpoint.KindRefused, crocusreel.OutcomeUnknown, err.Error()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[c.Param("id")]
	if g == nil {
		return sendRefusal(c, refuseUnknownGeneration())
	}
	if !req.OnlyDetached || g.streams == 0 {
		e.cancel(g)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (e *Engine) handleCacheEvents(c echo.Context) error {
	since, err := strconv.ParseUint(c.QueryParam("since"), 10, 64)
	if err != nil {
		return sendRefusal(c, refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, "since is not a number"))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.cacheEvents.after(since, time.Now().Add(-e.options.CacheLag))
	return c.JSON(http.StatusOK, endpoint.CacheEventsBody{Events: events})
}

func (e *Engine) handleOrder(c echo.Context) error {
	var o endpoint.Order
	if err := c.Bind(&o); err != nil {
		return sendRefusal(c, refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, err.Error()))
	}
	if refused := e.applyOrder(o); refused != nil {
		return sendRefusal(c, refused)
	}
	e.mu.Lock()
	lost := e.chance(e.faults.LoseOrderAnswers)
	e.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (e *Engine) handleLookup(c echo.Context) error {
	if !e.options.Deduplicate {
		return sendRefusal(c, refuse(404, endpoint.KindRefused, crocusreel.OutcomeUnknown, "engine keeps no keys"))
	}
	key := idempotencyKey{c.QueryParam("workspace"), c.QueryParam("idempotency_key")}
	return c.JSON(http.StatusOK, e.lookup(key))
}

func (e *Engine) handleSetFaults(c echo.Context) error {
	var f admin.EngineFaults
	if err := c.Bind(&f); err != nil {
		return err
	}
	e.mu.Lock()
	e.faults = f
	e.dieAfterTokens = f.DieAfterTokens
	if f.ReclaimInMS > 0 && e.leavingAt.IsZero() {
		e.leavingAt = time.Now().Add(time.Duration(f.ReclaimInMS) * time.Millisecond)
	}
	e.mu.Unlock()
	if f.Die {
		e.options.Exit(admin.ExitStatusDied)
	}
	return c.JSON(http.StatusOK, f)
}

// listRuns returns all runs, with the current token counts of those in progress.
func (e *Engine) listRuns() []admin.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		if !g.done {
			e.runs.Update(g.runIndex, func(r *admin.Run) { r.Tokens, r.Preemptions = g.produced, g.preemptions })
		}
	}
	return e.runs.List()
}

func (e *Engine) listOrders() []admin.OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]admin.OrderRecord{}, e.orderState.orders...)
}

func sendRefusal(c echo.Context, refused *refusal) error { return c.JSON(refused.status, refused.body) }
