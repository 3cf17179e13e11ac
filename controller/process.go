package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/internal/tlsreload"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/settings"
)

const (
	// operatorHeaderTimeout bounds the time in which an operator's client must send the headers,
	// and operatorBodyTimeout that for the whole request.
	operatorHeaderTimeout = 5 * time.Second
	operatorBodyTimeout   = 30 * time.Second
)

// Process is a controller with its peer and operator listeners.
type Process struct {
	controller       *Controller
	log              *zap.Logger
	peerServer       *http.Server
	peerListener     net.Listener
	operatorServer   *http.Server
	operatorListener net.Listener
}

// NewProcess creates the controller and opens the listeners that the settings name.
func NewProcess(s *settings.Controller, log *zap.Logger) (*Process, error) {
	keys, err := operator.ParseKeys(s.OperatorKeySHA256)
	if err != nil {
		return nil, err
	}
	peerTLS, err := tlsreload.New(s.PeerTLS)
	if err != nil {
		return nil, eris.Wrap(err, "peer_tls")
	}
	operatorTLS, err := tlsreload.New(s.OperatorTLS)
	if err != nil {
		return nil, eris.Wrap(err, "operator_tls")
	}
	c := New(Options{
		Settings:  *s,
		Platform:  platform.New(s.Platform.Address, time.Duration(s.Platform.TimeoutMS)*time.Millisecond),
		Transport: NewTransport(peerTLS),
		Engine: func(address string) endpoint.Engine {
			return endpoint.NewEngine(address, endpoint.Options{})
		},
		Log: log,
	})
	p := &Process{
		controller: c,
		log:        log,
		peerServer: peer.NewServer(c.PeerHandler(), nil),
		operatorServer: &http.Server{
			Handler:           operator.NewHandler(c, keys, log),
			ReadHeaderTimeout: operatorHeaderTimeout,
			ReadTimeout:       operatorBodyTimeout,
		},
	}
	if p.peerListener, err = net.Listen("tcp", s.PeerListenAddress()); err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	if p.operatorListener, err = net.Listen("tcp", s.OperatorAddress); err != nil {
		_ = p.peerListener.Close()
		return nil, eris.Wrap(err, "listen for operators")
	}
	p.peerListener, p.operatorListener = peerTLS.Listener(p.peerListener), operatorTLS.Listener(p.operatorListener)
	return p, nil
}

// Run serves until a signal arrives or a server fails. It returns nil after SIGTERM or SIGINT.
func (p *Process) Run() error {
	var g run.Group
	daemon.AddTask(&g, p.controller.Run)
	daemon.AddServer(&g, p.peerServer, p.peerListener)
	daemon.AddServer(&g, p.operatorServer, p.operatorListener)
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	p.log.Info("controller started", zap.Stringer("peer_address", p.peerListener.Addr()),
		zap.Stringer("operator_address", p.operatorListener.Addr()))
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		p.log.Info("controller stopped", zap.Error(err))
		return nil
	}
	return err
}
