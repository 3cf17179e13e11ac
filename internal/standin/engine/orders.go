package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// modelState is the state that orders change: models, role and fence, with a record of all orders. It
// is guarded by the engine's mutex.
type modelState struct {
	models  []endpoint.LoadedModel
	role    string
	fence   uint64
	loading int
	orders  []admin.OrderRecord
}

func newModelState(models []string, role string) modelState {
	l := modelState{role: role}
	for _, m := range models {
		name, version, ok := strings.Cut(m, "@")
		if !ok {
			version = defaultVersion
		}
		l.models = append(l.models, endpoint.LoadedModel{Model: name, Version: version})
	}
	return l
}

func (l *modelState) find(model string) *endpoint.LoadedModel {
	for i := range l.models {
		if l.models[i].Model == model {
			return &l.models[i]
		}
	}
	return nil
}

func (l *modelState) serves(model, adapter string) bool {
	m := l.find(model)
	return m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

func (e *Engine) state() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make([]endpoint.LoadedModel, len(e.modelState.models))
	for i, m := range e.modelState.models {
		m.Adapters = slices.Clone(m.Adapters)
		models[i] = m
	}
	return endpoint.State{
		Incarnation: e.incarnation,
		Models:      models,
		Role:        e.modelState.role,
		Fence:       e.modelState.fence,
		Loading:     e.modelState.loading > 0,
	}
}

// applyOrder executes and records an order. Loads continue in the background, and state reports
// them.
func (e *Engine) applyOrder(o endpoint.Order) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.checkFence(o.Fence)
	if refused == nil {
		refused = e.execute(o)
	}
	record := admin.OrderRecord{Order: o, At: time.Now(), Applied: refused == nil}
	if refused != nil {
		record.Error = refused.body.Message
	}
	e.modelState.orders = append(e.modelState.orders, record)
	return refused
}

func (e *Engine) checkFence(fence uint64) *refusal {
	if !e.options.ChecksFence {
		return nil
	}
	if fence < e.modelState.fence {
		return refuse(409, endpoint.KindStaleFence, crocusreel.OutcomeNotRun, "fencing number too low")
	}
	e.modelState.fence = fence
	return nil
}

func (e *Engine) execute(o endpoint.Order) *refusal {
	switch o.Verb {
	case "load":
		e.modelState.loading++
		go e.load(o)
	case "unload":
		e.unload(o)
	case "role":
		e.modelState.role = o.Role
	default:
		return refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, "unknown verb")
	}
	return nil
}

// unload removes an adapter, or the whole model if the order names none. The caller holds the
// mutex.
func (e *Engine) unload(o endpoint.Order) {
	if m := e.modelState.find(o.Model); m != nil && o.Adapter != "" {
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		return
	}
	e.modelState.models = slices.DeleteFunc(e.modelState.models, func(m endpoint.LoadedModel) bool {
		return m.Model == o.Model && (o.Version == "" || m.Version == o.Version)
	})
}

// load waits for its weight reservation and the load time, then adds the model. If the
// reservation fails, the loaded models do not change.
func (e *Engine) load(o endpoint.Order) {
	wait, err := e.reserveWeights(o)
	if err == nil {
		time.Sleep(wait + e.options.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.modelState.loading--
	if err != nil || e.faults.FailLoads {
		return
	}
	m := e.modelState.find(o.Model)
	if m == nil {
		e.modelState.models = append(e.modelState.models, endpoint.LoadedModel{Model: o.Model, Version: defaultVersion})
		m = e.modelState.find(o.Model)
	}
	if o.Version != "" {
		m.Version = o.Version
	}
	if o.Adapter != "" && !slices.Contains(m.Adapters, o.Adapter) {
		m.Adapters = append(m.Adapters, o.Adapter)
	}
}
