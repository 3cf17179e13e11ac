package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/operator"
)

// keyFlags selects the key of a request and the CA of the server. The key is meant to come from a
// file or the environment and not from a flag, since every user of the machine can see flags.
type keyFlags struct {
	KeyFile string `help:"File that holds the key." type:"path" placeholder:"FILE"`
	Key     string `env:"CROCUSREEL_KEY" hidden:"" help:"The key, from the environment only."`
	CAFile  string `name:"ca-file" help:"Authority of the server's certificate (PEM). Given: TLS is used." type:"path" placeholder:"FILE"`
}

func (f keyFlags) key() (string, error) {
	if f.KeyFile == "" {
		if f.Key == "" {
			return "", usageError{errors.New("no key: give --key-file or set CROCUSREEL_KEY")}
		}
		return f.Key, nil
	}
	text, err := os.ReadFile(f.KeyFile)
	if err != nil {
		return "", usageError{eris.Wrap(err, "read key file")}
	}
	return strings.TrimSpace(string(text)), nil
}

// baseURL returns the base URL of the server at address and the transport to reach it. Without a CA
// file, the URL is plain HTTP and the transport is nil, which selects the default transport.
func (f keyFlags) baseURL(address string) (string, http.RoundTripper, error) {
	if f.CAFile == "" {
		return "http://" + address, nil, nil
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return "", nil, usageError{eris.Wrap(err, "read authority")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return "", nil, usageError{eris.Errorf("%s holds no certificate", f.CAFile)}
	}
	return "https://" + address, &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}, nil
}

// operatorFlags selects the controller and the key for its administration API.
type operatorFlags struct {
	Operator string `required:"" help:"Administration address of any controller." placeholder:"IP:PORT" env:"CROCUSREEL_OPERATOR"`
	keyFlags `embed:""`
}

func (f operatorFlags) client() (*operator.Client, error) {
	key, err := f.key()
	if err != nil {
		return nil, err
	}
	base, transport, err := f.baseURL(f.Operator)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(base, key, transport), nil
}
