package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/operator"
)

const (
	explainTimeout      = 10 * time.Second
	explainMaxBodyBytes = 1 << 20
)

// errNoRecord means that a gateway has no record of the request, or, as the result of Run, that none
// of the reachable gateways has one.
var errNoRecord = eris.New("no reachable gateway has a record of this request; only recent requests are kept")

type explainCommand struct {
	Request     string `arg:"" help:"Request ID, from the X-Request-Id header of the answer."`
	Gateway     string `required:"" help:"Callers' address of any gateway; all that it names are asked." placeholder:"IP:PORT"`
	keyFlags    `embed:""`
	outputFlags `embed:""`
}

// Run asks the given gateway for the addresses of all gateways, then asks them one after the other for
// the record of the request and prints the first record found. Gateways that cannot be reached for
// the record are skipped.
func (c *explainCommand) Run() error {
	key, err := c.key()
	if err != nil {
		return err
	}
	var known api.Addresses
	if err := c.get(c.Gateway, "/v1/addresses", key, &known); err != nil {
		return err
	}
	// The given gateway is asked in any case, since it does not list its own address while it is
	// leaving.
	for _, address := range append([]string{c.Gateway}, known.Addresses...) {
		var record api.Record
		err := c.get(address, "/v1/requests/"+url.PathEscape(c.Request), key, &record)
		if err == nil {
			return c.print(record, func(w io.Writer) { printRecord(w, record) })
		}
		if !errors.Is(err, errNoRecord) && !errors.Is(err, operator.ErrUnreachable) {
			return err
		}
	}
	return errNoRecord
}

// get sends a GET request to the gateway at address and decodes the JSON answer into into. It returns
// errNoRecord on status 404.
func (c *explainCommand) get(address, path, key string, into any) error {
	base, transport, err := c.baseURL(address)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodGet, base+path, nil)
	if err != nil {
		return usageError{err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: explainTimeout, Transport: transport}
	res, err := client.Do(req)
	if err != nil {
		return eris.Wrap(operator.ErrUnreachable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, explainMaxBodyBytes))
	if err != nil {
		return eris.Wrap(operator.ErrUnreachable, err.Error())
	}
	if res.StatusCode == http.StatusNotFound {
		return errNoRecord
	}
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("gateway returned status %s: %s", res.Status, body)
	}
	return eris.Wrap(json.Unmarshal(body, into), "decode answer")
}

func printRecord(w io.Writer, r api.Record) {
	writeRow(w, "request", r.RequestID)
	writeRow(w, "workspace", r.Workspace)
	writeRow(w, "kind", r.Kind)
	writeRow(w, "model", r.Model)
	writeRow(w, "path", r.Path)
	writeRow(w, "started", r.Started.Format(time.RFC3339Nano))
	if r.Ended != nil {
		writeRow(w, "took", r.Ended.Sub(r.Started).String())
		writeRow(w, "outcome", string(r.Outcome))
		writeRow(w, "reason", string(r.Reason))
	}
	for _, s := range r.Steps {
		writeRow(w, fmt.Sprintf("+%d ms", s.AtMS), s.Event, s.Endpoint, s.Detail)
	}
}
