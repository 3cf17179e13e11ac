package controller

import (
	"slices"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
)

// Verbs of orders.
const (
	verbLoad   = "load"
	verbUnload = "unload"
	verbRole   = "role"
)

// wantedModel is a model that an engine must have.
type wantedModel struct {
	name     string
	version  string
	adapters []string
}

// engineTarget is the desired state of one engine.
type engineTarget struct {
	spec   config.EndpointSpec
	models []wantedModel
}

// desiredState returns the targets of the engines of a region, and for each model the number of
// engines that must keep it. Each engine follows the overlay of its own data centre.
func desiredState(doc config.Document, region string) ([]engineTarget, map[string]int, error) {
	base, err := config.Compile(doc, "")
	if err != nil {
		return nil, nil, err
	}
	compiled := make(map[string]*config.Config)
	minCopies := make(map[string]int)
	var targets []engineTarget
	for _, e := range base.Endpoints {
		if e.Kind != config.KindEngine || e.Region != region {
			continue
		}
		c, ok := compiled[e.DataCentre]
		if !ok {
			if c, err = config.Compile(doc, e.DataCentre); err != nil {
				return nil, nil, err
			}
			compiled[e.DataCentre] = c
		}
		t := engineTarget{spec: e}
		for _, m := range c.Models {
			// A model that any data centre still offers keeps at least one copy.
			minCopies[m.Name] = max(minCopies[m.Name], m.MinReplicas, 1)
			if slices.Contains(e.Models, m.Name) {
				t.models = append(t.models, wantedModel{name: m.Name, version: m.Version, adapters: m.Adapters})
			}
		}
		targets = append(targets, t)
	}
	return targets, minCopies, nil
}

// nextOrder returns the first order that brings an engine closer to its target, or nil if it has
// reached the target or is leaving. Loads precede unloads, so that models are added before others
// are removed; mayUnload enforces this across engines.
func nextOrder(t engineTarget, s endpoint.State) *endpoint.Order {
	if t.spec.Leaving {
		return nil
	}
	if t.spec.Role != "" && s.Role != t.spec.Role {
		return &endpoint.Order{Verb: verbRole, Role: t.spec.Role}
	}
	for _, want := range t.models {
		if o := loadOrder(want, s); o != nil {
			return o
		}
	}
	for _, loaded := range s.Models {
		if !t.wants(loaded) {
			return &endpoint.Order{Verb: verbUnload, Model: loaded.Model, Version: loaded.Version}
		}
	}
	return nil
}

// wants reports whether the engine must keep a loaded model. Other versions of a wanted model are
// unloaded once the wanted version is loaded.
func (t engineTarget) wants(loaded endpoint.LoadedModel) bool {
	return slices.ContainsFunc(t.models, func(w wantedModel) bool {
		return w.name == loaded.Model && w.version == loaded.Version
	})
}

// loadOrder returns the order that loads the wanted model or its first missing adapter, or nil if
// all are loaded.
func loadOrder(want wantedModel, s endpoint.State) *endpoint.Order {
	index := slices.IndexFunc(s.Models, func(m endpoint.LoadedModel) bool {
		return m.Model == want.name && m.Version == want.version
	})
	if index < 0 {
		return &endpoint.Order{Verb: verbLoad, Model: want.name, Version: want.version}
	}
	for _, adapter := range want.adapters {
		if !slices.Contains(s.Models[index].Adapters, adapter) {
			return &endpoint.Order{Verb: verbLoad, Model: want.name, Version: want.version, Adapter: adapter}
		}
	}
	return nil
}

// isCarriedOut reports whether the engine's state shows the effect of an order.
func isCarriedOut(o endpoint.Order, s endpoint.State) bool {
	switch o.Verb {
	case verbRole:
		return s.Role == o.Role
	case verbLoad:
		want := wantedModel{name: o.Model, version: o.Version}
		if o.Adapter != "" {
			want.adapters = []string{o.Adapter}
		}
		return loadOrder(want, s) == nil
	case verbUnload:
		return !slices.ContainsFunc(s.Models, func(m endpoint.LoadedModel) bool {
			return m.Model == o.Model && m.Version == o.Version
		})
	}
	return true
}

// hasModel reports whether an engine has a model in any version.
func hasModel(s endpoint.State, model string) bool {
	return slices.ContainsFunc(s.Models, func(m endpoint.LoadedModel) bool { return m.Model == model })
}
