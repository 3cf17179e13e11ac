package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// maxRecords bounds the number of recent requests whose records are kept.
const maxRecords = 4096

// records keeps the records of the latest requests in a ring buffer.
type records struct {
	mu   sync.Mutex
	ring []*api.Record
	next int
	byID map[string]*api.Record
	log  *zap.Logger
}

func newRecords(log *zap.Logger) *records {
	return &records{log: log, ring: make([]*api.Record, maxRecords), byID: make(map[string]*api.Record)}
}

// tracker writes the record of one request.
type tracker struct {
	records *records
	rec     *api.Record
	log     *zap.Logger
}

func (r *records) start(rec api.Record) *tracker {
	rec.Started = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil {
		delete(r.byID, old.RequestID)
	}
	r.ring[r.next] = &rec
	r.next = (r.next + 1) % len(r.ring)
	r.byID[rec.RequestID] = &rec
	return &tracker{records: r, rec: &rec, log: r.log.With(zap.String("request", rec.RequestID))}
}

func (t *tracker) step(event, endpoint, detail string) {
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	at := time.Since(t.rec.Started).Milliseconds()
	t.rec.Steps = append(t.rec.Steps, api.Step{AtMS: at, Event: event, Endpoint: endpoint, Detail: detail})
	t.log.Info("request step", zap.String("event", event), zap.String("endpoint", endpoint), zap.String("detail", detail),
		zap.Int64("at_ms", at))
}

func (t *tracker) end(refusal *crocusreel.Refusal) {
	t.records.mu.Lock()
	defer t.records.mu.Unlock()
	now := time.Now()
	t.rec.Ended = &now
	t.rec.Outcome = crocusreel.OutcomeRan
	if refusal != nil {
		t.rec.Reason = refusal.Reason
		t.rec.Outcome = refusal.Outcome
	}
	t.log.Info("request ended", zap.String("kind", t.rec.Kind), zap.String("workspace", t.rec.Workspace),
		zap.String("model", t.rec.Model), zap.String("path", t.rec.Path), zap.String("outcome", string(t.rec.Outcome)),
		zap.String("reason", string(t.rec.Reason)), zap.Int64("ms", now.Sub(t.rec.Started).Milliseconds()))
}

// Record implements caller.Core.
func (g *Gateway) Record(workspace, requestID string) (any, bool) {
	g.records.mu.Lock()
	defer g.records.mu.Unlock()
	rec, ok := g.records.byID[requestID]
	if !ok || rec.Workspace != workspace {
		return nil, false
	}
	c := *rec
	c.Steps = append([]api.Step(nil), rec.Steps...)
	return c, true
}
