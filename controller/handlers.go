package controller

import (
	"expvar"
	"net/http"

	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// PeerHandler returns the handler for other controllers, the gateway of this VM, /debug/vars and
// /healthz.
func (c *Controller) PeerHandler() http.Handler {
	options := peer.HandlerOptions()
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewMembershipHandler(membershipServer{c}, options))
	mux.Handle(peerv1.NewNodeHandler(nodeServer{c}, options))
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/healthz", c.healthz)
	return mux
}

// healthz answers 200 as soon as the controller exists, since a controller without a configuration
// still maintains membership and accepts edits.
func (c *Controller) healthz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-c.stopped:
		http.Error(w, "stopped", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
