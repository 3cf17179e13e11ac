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

// Direction of the bytes on a link.
type Direction string

const (
	// Upstream is from the process that connects to the one that listens.
	Upstream Direction = "upstream"
	// Downstream is the other way.
	Downstream Direction = "downstream"
)

var quietLog = sync.OnceFunc(func() { logrus.SetLevel(logrus.FatalLevel) })

// Link is a proxy in front of one listener. All methods may be called at any time.
type Link struct {
	name, listen, target string

	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	cut   bool
}

// NewLink starts a proxy that listens at listen and connects to target.
func NewLink(name, listen, target string) (*Link, error) {
	quietLog()
	l := &Link{name: name, listen: listen, target: target}
	return l, l.startProxy()
}

func (l *Link) startProxy() error {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, l.listen, l.target
	l.proxy = p
	return eris.Wrapf(p.Start(), "start proxy %s", l.name)
}

// Renew ends all connections and removes every fault, as a link that was replaced. Unlike
// Heal it never waits for a connection: the proxy's own reset of faults waits for ever
// for one that is held back while its reader is frozen.
func (l *Link) Renew() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.proxy.Stop()
	}
	l.cut = false
	return l.startProxy()
}

// Cut ends all connections and refuses new ones until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.proxy.Stop()
		l.cut = true
	}
}

// Heal removes every fault of the link.
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

// Reset ends all connections; new ones are accepted at once.
func (l *Link) Reset() error {
	l.Cut()
	return l.Heal()
}

// Stall holds back all bytes of one direction; connections stay open.
func (l *Link) Stall(d Direction) error {
	return l.toxic("timeout", d, map[string]any{"timeout": 0})
}

// Delay adds latency to one direction.
func (l *Link) Delay(d Direction, latency, jitter time.Duration) error {
	return l.toxic("latency", d, map[string]any{"latency": latency.Milliseconds(), "jitter": jitter.Milliseconds()})
}

func (l *Link) toxic(kind string, d Direction, attributes map[string]any) error {
	text, err := json.Marshal(map[string]any{"type": kind, "stream": d, "toxicity": 1, "attributes": attributes})
	if err != nil {
		return eris.Wrap(err, "encode toxic")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.proxy.Toxics.AddToxicJson(strings.NewReader(string(text)))
	return eris.Wrapf(err, "add %s", kind)
}
