// Package daemon contains the code that the long-running programs share: the command line and the
// actors of their run groups.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/peer"
)

// shutdownTimeout bounds the wait for in-flight requests when a server shuts down.
const shutdownTimeout = 2 * time.Second

// AddServer adds an actor to the group that serves HTTP on the listener. When the group ends, the
// server is shut down within shutdownTimeout.
func AddServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve %s", l.Addr())
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		peer.Shutdown(ctx, s)
	})
}

// AddTask adds an actor to the group that runs the task. The context of the task is cancelled when
// the group ends.
func AddTask(g *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return task(ctx) }, func(error) { cancel() })
}
