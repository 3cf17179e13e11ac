package rig

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Direction is the direction of traffic on a link.
type Direction string

const (
	// Upstream is from the connecting process to the listening one.
	Upstream Direction = "upstream"
	// Downstream is from the listening process to the connecting one.
	Downstream Direction = "downstream"
)

var silenceProxyLog = sync.OnceFunc(func() { logrus.SetLevel(logrus.FatalLevel) })

// Link is a fault-injecting proxy in front of one listener. It is safe for concurrent use.
type Link struct {
	name, listen, target string

	// mu guards the fields below.
	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	cut   bool
}

// NewLink starts a proxy that listens at the address listen and connects to target.
func NewLink(name, listen, target string) (*Link, error) {
	silenceProxyLog()
	l := &Link{name: name, listen: listen, target: target}
	return l, l.startProxy()
}

func (l *Link) startProxy() error {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, l.listen, l.target
	l.proxy = p
	return eris.Wrapf(p.Start(), "start proxy %s", l.name)
}

// Recreate closes all connections and replaces the proxy by a new one without faults. Unlike Heal it
// never waits for a connection: the function of the proxy that removes faults blocks for ever on a
// connection that is stalled while its reader is frozen.
func (l *Link) Recreate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.proxy.Stop()
	}
	l.cut = false
	return l.startProxy()
}

// Cut closes all connections and refuses new ones until Heal or Recreate is called.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.proxy.Stop()
		l.cut = true
	}
}

// Heal removes all faults of the link. It can block, see Recreate.
func (l *Link) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Toxics.ResetToxics()
	if !l.cut {
		return nil
	}
	if err := l.proxy.Start(); err != nil {
		return eris.Wrap(err, "start proxy again")
	}
	l.cut = false
	return nil
}

// Reset closes all connections and removes all faults. New connections are accepted immediately.
func (l *Link) Reset() error {
	l.Cut()
	return l.Heal()
}

// Stall stops all traffic in one direction. Connections stay open.
func (l *Link) Stall(d Direction) error {
	return l.addToxic("timeout", d, map[string]any{"timeout": 0})
}

// Delay adds latency with the given jitter to the traffic in one direction.
func (l *Link) Delay(d Direction, latency, jitter time.Duration) error {
	return l.addToxic("latency", d, map[string]any{"latency": latency.Milliseconds(), "jitter": jitter.Milliseconds()})
}

func (l *Link) addToxic(kind string, d Direction, attributes map[string]any) error {
	text, err := json.Marshal(map[string]any{"type": kind, "stream": d, "toxicity": 1, "attributes": attributes})
	if err != nil {
		return eris.Wrap(err, "encode fault of link")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.proxy.Toxics.AddToxicJson(strings.NewReader(string(text)))
	return eris.Wrapf(err, "add fault %s to link", kind)
}
