package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/handle"
	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/internal/tlsreload"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/scheduler"
	"github.com/crocusreel/crocusreel/settings"
)

// closeTimeout bounds the closing of the ledger after the servers have stopped.
const closeTimeout = 2 * time.Second

// Process is a gateway with its listeners.
type Process struct {
	gateway    *Gateway
	manager    *scheduler.Manager
	ledger     *ledger.Ledger
	peerServer *http.Server
	log        *zap.Logger

	callerListen, peerListen string
	callerTLS, peerTLS       *tlsreload.Source
}

// New returns a process for settings that were already validated.
func New(s *settings.Gateway, log *zap.Logger) (*Process, error) {
	signer, err := handle.NewSigner(s.HandleKeys)
	if err != nil {
		return nil, eris.Wrap(err, "handle_keys")
	}
	peerTLS, err := tlsreload.New(s.PeerTLS)
	if err != nil {
		return nil, eris.Wrap(err, "peer_tls")
	}
	callerTLS, err := tlsreload.New(s.CallerTLS)
	if err != nil {
		return nil, eris.Wrap(err, "caller_tls")
	}
	platformClient := platform.New(s.Platform.Address, milliseconds(s.Platform.TimeoutMS))
	resultLedger := ledger.New(platformClient, platformClient, ledger.Options{Gateway: s.VM.ID, Now: time.Now, NewAttemptID: uuid.NewString})
	clients := newEndpoints(newNotices(s.VM.ID, time.Now, log))
	client := peerTLS.HTTPClient()
	manager := scheduler.NewManager(scheduler.Options{
		VMID:         s.VM.ID,
		Region:       s.VM.Region,
		EngineClient: func(spec config.EndpointSpec) endpoint.Engine { return clients.engineAt(spec.Address) },
		Notice:       func(spec config.EndpointSpec) notice.Notice { return clients.notices.last(spec.Address) },
		Client:       client,
		Scheme:       scheme(peerTLS),
		Log:          log,
	})
	g := newGateway(processSettings{
		vm:            s.VM,
		callerAddress: s.CallerAddress,
		peerAddress:   s.PeerAddress,
		addressTTL:    milliseconds(s.AddressTTLMS),
		drainLimit:    milliseconds(s.DrainLimitMS),
	}, dependencies{
		permits:   manager,
		ledger:    resultLedger,
		signer:    signer,
		node:      peerv1.NewNodeClient(client, peer.BaseURL(s.ControllerAddress, peerTLS.Config())),
		endpoints: clients,
		peers:     gatewayPeers{client: client, scheme: scheme(peerTLS)},
	}, log)
	g.callerServer = caller.NewServer(g, caller.Options{
		VM:            s.VM.ID,
		MaxBodyBytes:  s.MaxBodyBytes,
		MaxHeaderTime: milliseconds(s.MaxHeaderMS),
		Log:           log,
	})
	metrics.GaugeFunc("requests_running", func() any { return g.running.total() })
	p := &Process{
		gateway: g, manager: manager, ledger: resultLedger, log: log,
		callerListen: s.CallerListenAddress(), peerListen: s.PeerListenAddress(),
		callerTLS: callerTLS, peerTLS: peerTLS,
	}
	p.peerServer = peer.NewServer(p.peerHandler(), nil)
	return p, nil
}

func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(p.manager.Handler())
	mux.Handle(p.gateway.strikeHandler())
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if p.gateway.Ready() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Run serves until it receives SIGINT or SIGTERM. The first signal starts a drain; a second one or
// the drain limit aborts the requests that are still running.
func (p *Process) Run() error {
	callerListener, err := net.Listen("tcp", p.callerListen)
	if err != nil {
		return eris.Wrap(err, "caller_address")
	}
	peerListener, err := net.Listen("tcp", p.peerListen)
	if err != nil {
		return eris.Wrap(err, "peer_address")
	}
	p.log.Info("gateway serves", zap.String("caller_address", p.gateway.settings.callerAddress))
	var group run.Group
	daemon.AddServer(&group, p.gateway.callerServer, p.callerTLS.Listener(callerListener))
	daemon.AddServer(&group, p.peerServer, p.peerTLS.Listener(peerListener))
	daemon.AddTask(&group, p.gateway.watch)
	daemon.AddTask(&group, p.manager.Run)
	daemon.AddTask(&group, p.awaitSignal)
	err = group.Run()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.ledger.Close(ctx)
	return err
}

func (p *Process) awaitSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		p.log.Info("signal", zap.String("signal", s.String()))
	}
	drainCtx, cancel := context.WithTimeout(ctx, p.gateway.settings.drainLimit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	p.gateway.Drain(drainCtx)
	p.gateway.abortRequests()
	return nil
}

func scheme(source *tlsreload.Source) string {
	if source.Config() == nil {
		return "http"
	}
	return "https"
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
