// Package peer provides the HTTP/2 transport, with or without TLS, for Connect RPCs between
// crocusreel's processes. The messages are defined in package peerv1.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// DialTimeout is the timeout for connecting to another process.
	DialTimeout = time.Second
	// pingIdleTime is the time without received data after which a connection is checked by a ping.
	// Without this check, calls on a connection whose peer vanished without closing it would hang.
	pingIdleTime = 2 * time.Second
	// pingTimeout is the time after which a connection with an unanswered ping is closed.
	pingTimeout = 2 * time.Second
	// headerTimeout limits the time in which a peer has to send its headers.
	headerTimeout = 5 * time.Second
	// streamBufferBytes and connectionBufferBytes bound what the streaming client buffers of a
	// stream, and of all streams of a connection.
	streamBufferBytes     = 64 << 10
	connectionBufferBytes = 2 << 20
	// maxIdleConnections is the maximum number of idle connections that are kept for reuse.
	maxIdleConnections = 512
	// maxHeaderBytes is the maximum size of the header of an answer in bytes.
	maxHeaderBytes = 64 << 10
)

// NewHTTPClient returns a client for calls to peers. It uses HTTP/2 over TLS if config is not nil, and
// cleartext HTTP/2 otherwise. It sets no timeout for calls; their contexts limit them.
func NewHTTPClient(config *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: DialTimeout}).DialContext,
		TLSClientConfig: config,
		Protocols:       protocols(),
		MaxIdleConns:    maxIdleConnections,
		IdleConnTimeout: time.Minute,
		HTTP2:           pingConfig(),

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// NewStreamingClient returns a client for calls to peers that return long streams. The transport buffers
// little of a stream that its reader does not read, so that the sender stops.
func NewStreamingClient() *http.Client {
	c := NewHTTPClient(nil)
	config := pingConfig()
	config.MaxReceiveBufferPerStream, config.MaxReceiveBufferPerConnection = streamBufferBytes, connectionBufferBytes
	c.Transport.(*http.Transport).HTTP2 = config
	return c
}

// NewServer returns a server for calls of peers. If config is not nil, the server must be started on a
// TLS listener.
func NewServer(handler http.Handler, config *tls.Config) *http.Server {
	p := protocols()
	p.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         p,
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             pingConfig(),
	}
}

// BaseURL returns the base URL of the peer at address, an IP:port. The scheme is https if config is not
// nil.
func BaseURL(address string, config *tls.Config) string {
	if config != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Shutdown shuts the server down gracefully. If ctx ends first, it closes all connections immediately.
func Shutdown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
	}
}

// protocols allows HTTP/2 only, with or without TLS. A client that also allows HTTP/1 would use it for
// every cleartext connection. Servers additionally allow HTTP/1 for /healthz and /debug/vars.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func pingConfig() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout}
}
