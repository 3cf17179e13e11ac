package gateway

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/notice"
)

// endpoints holds one client per endpoint address, so that connections are reused across requests
// and configuration versions.
type endpoints struct {
	mu       sync.Mutex
	engines  map[string]endpoint.Engine
	services map[string]endpoint.Service
	notices  *notices
}

func newEndpoints(n *notices) *endpoints {
	return &endpoints{engines: make(map[string]endpoint.Engine), services: make(map[string]endpoint.Service), notices: n}
}

// options returns the client options for the endpoint at an address.
func (e *endpoints) options(address string) endpoint.Options {
	return endpoint.Options{OnNotice: func(received notice.Notice) { e.notices.record(address, received) }}
}

// engine returns the client of a configured engine.
func (e *endpoints) engine(s *snapshot, name string) (endpoint.Engine, bool) {
	spec, ok := s.endpoints[name]
	if !ok || spec.Kind != config.KindEngine {
		return nil, false
	}
	return e.engineAt(spec.Address), true
}

func (e *endpoints) engineAt(address string) endpoint.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.engines[address]
	if !ok {
		c = endpoint.NewEngine(address, e.options(address))
		e.engines[address] = c
	}
	return c
}

func (e *endpoints) serviceAt(address string) endpoint.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.services[address]
	if !ok {
		c = endpoint.NewService(address, e.options(address))
		e.services[address] = c
	}
	return c
}

// remainingPause returns how much longer a configured endpoint wants no requests from this gateway.
func (e *endpoints) remainingPause(s *snapshot, name string) time.Duration {
	spec, ok := s.endpoints[name]
	if !ok {
		return 0
	}
	return e.notices.remainingPause(spec.Address)
}

// paused returns the names of the engines that currently want no requests from this gateway.
func (e *endpoints) paused(s *snapshot) []string {
	var names []string
	for name, spec := range s.endpoints {
		if spec.Kind == config.KindEngine && e.notices.remainingPause(spec.Address) > 0 {
			names = append(names, name)
		}
	}
	return names
}
