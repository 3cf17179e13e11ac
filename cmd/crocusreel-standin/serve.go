package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/daemon"
	"github.com/crocusreel/crocusreel/internal/logging"
)

const (
	headerTimeout = 5 * time.Second
)

// serve serves handler on the address listen and runs the optional background task until SIGINT or
// SIGTERM, on which it returns nil. It returns an error if the server or the task fails.
func serve(name, listen string, handler http.Handler, background func(context.Context) error) error {
	log, err := logging.New("info", "crocusreel-standin", name)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	daemon.AddServer(&group, server, listener)
	// The task is added after the server, so that it continues while the server completes its
	// in-flight requests: the group stops its members in the order in which they were added.
	if background != nil {
		daemon.AddTask(&group, background)
	}
	log.Info("listening", zap.String("address", listener.Addr().String()))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		log.Info("stopped", zap.Error(err))
		return nil
	}
	return err
}
