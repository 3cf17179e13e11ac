package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// maxPageRows is the maximum number of rows of a page.
	maxPageRows = 500
	// maxWait is the maximum time that a call waits for changes.
	maxWait = 30 * time.Second
	// maxObjectBytes is the maximum size of an object in bytes.
	maxObjectBytes = 32 << 20
)

// list serves one page of a table. A read of a single key is recorded as a get; reads of the VM
// table are not recorded.
func (s *Server) list(c echo.Context) error {
	op := admin.Operation{Kind: "scan", InvokedNS: s.nowNS()}
	table, from, to := c.QueryParam(platform.ParamTable), c.QueryParam(platform.ParamFrom), c.QueryParam(platform.ParamTo)
	limit := maxPageRows
	if text := c.QueryParam(platform.ParamLimit); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return c.String(http.StatusBadRequest, "the limit must be at least 1")
		}
		limit = min(n, maxPageRows)
	}
	if table == platform.TableVMs {
		rows, err := vmRows(s.vms.get(time.Now()))
		if err != nil {
			return err
		}
		return s.respond(c, body(rows, false, 0))
	}
	rows, more, at := s.store.list(table, from, to, limit)
	setEra(c, at.Era)
	op.Rows = rows
	if limit == 1 && to == from+"\x00" {
		op.Kind = "get"
		if len(rows) == 0 {
			op.Rows = []platform.Row{{Table: table, Key: from}}
		}
	}
	s.record(op)
	return s.respond(c, body(rows, more, at.Version))
}

// vmRows converts a list of VMs to rows of the VM table.
func vmRows(vms []platform.VM) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(vms))
	for _, vm := range vms {
		value, err := json.Marshal(vm)
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Row{Table: platform.TableVMs, Key: vm.ID, Value: value, Version: 1})
	}
	return rows, nil
}

func body(rows []platform.Row, more bool, version int64) platform.RowsBody {
	b := platform.RowsBody{Rows: []platform.RowBody{}, HasMore: more, Version: version, NowMS: time.Now().UnixMilli()}
	for _, r := range rows {
		b.Rows = append(b.Rows, platform.RowBody{Table: r.Table, Key: r.Key, Data: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return b
}

// changes serves the changes of a table after a version. It waits until there are any, at most for
// the requested time, and answers 410 if the history no longer reaches back to the version or the
// store does not have it.
func (s *Server) changes(c echo.Context) error {
	since, err := strconv.ParseInt(c.QueryParam(platform.ParamSince), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "since is no version")
	}
	wait, err := strconv.Atoi(c.QueryParam(platform.ParamWait))
	if err != nil || wait < 0 {
		return c.String(http.StatusBadRequest, "the wait is no time in milliseconds")
	}
	timeout := time.NewTimer(min(milliseconds(wait), maxWait))
	defer timeout.Stop()
	for {
		rows, changed, at, gone := s.store.changesSince(c.QueryParam(platform.ParamTable), since)
		setEra(c, at.Era)
		if gone {
			return c.NoContent(http.StatusGone)
		}
		if len(rows) > 0 {
			return s.respond(c, body(rows, false, at.Version))
		}
		select {
		case <-changed:
		case <-timeout.C:
			return s.respond(c, body(nil, false, at.Version))
		case <-c.Request().Context().Done():
			abort()
		}
		if f := s.currentFaults(); f.Unreachable {
			abort()
		} else if f.Down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

func (s *Server) commit(c echo.Context) error {
	var wire platform.TransactionBody
	if err := c.Bind(&wire); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	txn := wire.Txn()
	if s.chance(s.currentFaults().LoseRequests) {
		abort()
	}
	op := admin.Operation{Kind: "commit", Txn: &txn, InvokedNS: s.nowNS()}
	var at platform.Revision
	op.Rows, at, op.Applied = s.store.commit(txn)
	setEra(c, at.Era)
	op.AnswerLost = op.Applied && s.loseAnswer()
	s.record(op)
	if op.AnswerLost {
		abort()
	}
	if !op.Applied {
		return c.JSON(http.StatusPreconditionFailed, body(nil, false, at.Version))
	}
	return s.respond(c, body(nil, false, at.Version))
}

// loseAnswer decides whether the response to an applied commit is dropped.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

func (s *Server) putObject(c echo.Context) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObjectBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxObjectBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	s.store.putObject(c.Param("name"), data)
	return s.respond(c, struct{}{})
}

func (s *Server) getObject(c echo.Context) error {
	data, ok := s.store.getObject(c.Param("name"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	s.delayResponse(c)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Server) reserve(c echo.Context) error {
	var req platform.ReserveRequest
	if err := c.Bind(&req); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if s.currentFaults().WeightsDown {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	wait := s.weights.reserve(time.Now(), req)
	return s.respond(c, platform.ReserveBody{WaitMS: wait.Milliseconds()})
}

func (s *Server) respond(c echo.Context, body any) error {
	s.delayResponse(c)
	return c.JSON(http.StatusOK, body)
}

func (s *Server) delayResponse(c echo.Context) {
	if !sleepWhileConnected(c, milliseconds(s.currentFaults().SlowAnswerMS)) {
		abort()
	}
}
