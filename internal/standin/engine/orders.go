package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// orderState is the state that orders change: models, role and fence, with a record of all orders.
// It is guarded by the engine's mutex.
type orderState struct {
	models  []endpoint.LoadedModel
	role    string
	fence   uint64
	loading int
	orders  []admin.OrderRecord
}

func newOrderState(models []string, role string) orderState {
	s := orderState{role: role}
	for _, m := range models {
		name, version, ok := strings.Cut(m, "@")
		if !ok {
			version = defaultVersion
		}
		s.models = append(s.models, endpoint.LoadedModel{Model: name, Version: version})
	}
	return s
}

func (s *orderState) find(model string) *endpoint.LoadedModel {
	for i := range s.models {
		if s.models[i].Model == model {
			return &s.models[i]
		}
	}
	return nil
}

func (s *orderState) serves(model, adapter string) bool {
	m := s.find(model)
	return m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

func (e *Engine) state() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make([]endpoint.LoadedModel, len(e.orderState.models))
	for i, m := range e.orderState.models {
		m.Adapters = slices.Clone(m.Adapters)
		models[i] = m
	}
	return endpoint.State{
		Incarnation: e.incarnation,
		Models:      models,
		Role:        e.orderState.role,
		Fence:       e.orderState.fence,
		Loading:     e.orderState.loading > 0,
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
	e.orderState.orders = append(e.orderState.orders, record)
	return refused
}

func (e *Engine) checkFence(fence uint64) *refusal {
	if !e.options.ChecksFence {
		return nil
	}
	if fence < e.orderState.fence {
		return refuse(409, endpoint.KindStaleFence, crocusreel.OutcomeNotRun, "fencing number too low")
	}
	e.orderState.fence = fence
	return nil
}

func (e *Engine) execute(o endpoint.Order) *refusal {
	switch o.Verb {
	case "load":
		e.orderState.loading++
		go e.load(o)
	case "unload":
		e.unload(o)
	case "role":
		e.orderState.role = o.Role
	default:
		return refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, "unknown verb")
	}
	return nil
}

// unload removes an adapter, or the whole model if the order names none. The caller holds the
// mutex.
func (e *Engine) unload(o endpoint.Order) {
	if m := e.orderState.find(o.Model); m != nil && o.Adapter != "" {
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		return
	}
	e.orderState.models = slices.DeleteFunc(e.orderState.models, func(m endpoint.LoadedModel) bool {
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
	e.orderState.loading--
	if err != nil || e.faults.FailLoads {
		return
	}
	m := e.orderState.find(o.Model)
	if m == nil {
		e.orderState.models = append(e.orderState.models, endpoint.LoadedModel{Model: o.Model, Version: defaultVersion})
		m = e.orderState.find(o.Model)
	}
	if o.Version != "" {
		m.Version = o.Version
	}
	if o.Adapter != "" && !slices.Contains(m.Adapters, o.Adapter) {
		m.Adapters = append(m.Adapters, o.Adapter)
	}
}
