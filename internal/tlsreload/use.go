package tlsreload

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/peer"
)

// alpnProtocols are the ALPN protocols that a listener offers.
var alpnProtocols = []string{"h2", "http/1.1"}

func (creds *credentials) serverConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{creds.certificate},
		NextProtos:   alpnProtocols,
	}
	if creds.caPool != nil {
		c.ClientCAs, c.ClientAuth = creds.caPool, tls.RequireAndVerifyClientCert
	}
	return c
}

// Listener wraps a listener in TLS. If there is a CA file, clients must present a certificate that
// one of its authorities has signed. A nil Source returns l unchanged.
func (s *Source) Listener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: alpnProtocols,
		// Session ticket keys belong to the inner configuration, which is replaced on each
		// reload: a session that began before a change of the authority cannot be resumed.
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentCredentials().server, nil },
	})
}

// HTTPClient returns a client that accepts peers whose certificate is signed by the authority and
// valid for the IP address that is dialled. Without a CA file the system roots apply. A nil Source
// returns a client without TLS.
func (s *Source) HTTPClient() *http.Client {
	client := peer.NewHTTPClient(s.Config())
	if s != nil {
		client.Transport.(*http.Transport).DialTLSContext = s.dial
	}
	return client
}

// Config returns a non-nil configuration if peers use TLS, and nil otherwise. It serves only to
// build the URLs of peers. Connections use the configuration that dial builds.
func (s *Source) Config() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12}
}

// dial builds a TLS configuration for each connection, because the one in an http.Transport is fixed
// and would keep the first authority for ever.
func (s *Source) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "parse peer address")
	}
	creds := s.currentCredentials()
	d := tls.Dialer{
		NetDialer: &net.Dialer{Timeout: peer.DialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS12,
			ServerName:   host,
			RootCAs:      creds.caPool,
			Certificates: []tls.Certificate{creds.certificate},
			NextProtos:   []string{"h2"},
		},
	}
	return d.DialContext(ctx, network, address)
}
