package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// loaded is the state that orders change: models, role and fence, with a record of all orders. It
// is guarded by the engine's mutex.
type loaded struct {
	models  []endpoint.LoadedModel
	role    string
	fence   uint64
	loading int
	orders  []admin.OrderRecord
}

func newLoaded(models []string, role string) loaded {
	l := loaded{role: role}
	for _, m := range models {
		name, version, ok := strings.Cut(m, "@")
		if !ok {
			version = defaultVersion
		}
		l.models = append(l.models, endpoint.LoadedModel{Model: name, Version: version})
	}
	return l
}

func (l *loaded) find(model string) *endpoint.LoadedModel {
	for i := range l.models {
		if l.models[i].Model == model {
			return &l.models[i]
		}
	}
	return nil
}

func (l *loaded) serves(model, adapter string) bool {
	m := l.find(model)
	return m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

func (e *Engine) state() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make([]endpoint.LoadedModel, len(e.loaded.models))
	for i, m := range e.loaded.models {
		m.Adapters = slices.Clone(m.Adapters)
		models[i] = m
	}
	return endpoint.State{
		Incarnation: e.incarnation,
		Models:      models,
		Role:        e.loaded.role,
		Fence:       e.loaded.fence,
		Loading:     e.loaded.loading > 0,
	}
}

// order executes and records an order. Loads continue in the background, and state reports them.
func (e *Engine) order(o endpoint.Order) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	no := e.checkFence(o.Fence)
	if no == nil {
		no = e.execute(o)
	}
	record := admin.OrderRecord{Order: o, At: time.Now(), Applied: no == nil}
	if no != nil {
		record.Error = no.body.Message
	}
	e.loaded.orders = append(e.loaded.orders, record)
	return no
}

func (e *Engine) checkFence(fence uint64) *refusal {
	if !e.options.ChecksFence {
		return nil
	}
	if fence < e.loaded.fence {
		return refuse(409, endpoint.KindStaleFence, crocusreel.OutcomeNotRun, "fencing number too low")
	}
	e.loaded.fence = fence
	return nil
}

func (e *Engine) execute(o endpoint.Order) *refusal {
	switch o.Verb {
	case "load":
		e.loaded.loading++
		go e.load(o)
	case "unload":
		e.unload(o)
	case "role":
		e.loaded.role = o.Role
	default:
		return refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, "unknown verb")
	}
	return nil
}

// unload removes an adapter, or the whole model if the order names none. The caller holds the
// mutex.
func (e *Engine) unload(o endpoint.Order) {
	if m := e.loaded.find(o.Model); m != nil && o.Adapter != "" {
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
		return
	}
	e.loaded.models = slices.DeleteFunc(e.loaded.models, func(m endpoint.LoadedModel) bool {
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
	e.loaded.loading--
	if err != nil || e.faults.FailLoads {
		return
	}
	m := e.loaded.find(o.Model)
	if m == nil {
		e.loaded.models = append(e.loaded.models, endpoint.LoadedModel{Model: o.Model, Version: defaultVersion})
		m = e.loaded.find(o.Model)
	}
	if o.Version != "" {
		m.Version = o.Version
	}
	if o.Adapter != "" && !slices.Contains(m.Adapters, o.Adapter) {
		m.Adapters = append(m.Adapters, o.Adapter)
	}
}
