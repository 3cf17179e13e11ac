package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/platform"
)

// Client calls the administration API of a stand-in.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the stand-in at addr (IP:port). It opens a new connection for
// each call.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// SetFaults replaces all faults of the stand-in. The type of faults must match the stand-in:
// EngineFaults, ServiceFaults or PlatformFaults.
func (c *Client) SetFaults(ctx context.Context, faults any) error {
	return c.do(ctx, http.MethodPost, PathFaults, faults, nil)
}

// Runs returns the runs of an engine or plain service in start order.
func (c *Client) Runs(ctx context.Context) ([]Run, error) {
	var runs []Run
	err := c.do(ctx, http.MethodGet, PathRuns, nil, &runs)
	return runs, err
}

// Orders returns the orders that an engine received, including refused ones.
func (c *Client) Orders(ctx context.Context) ([]OrderRecord, error) {
	var orders []OrderRecord
	err := c.do(ctx, http.MethodGet, PathOrders, nil, &orders)
	return orders, err
}

// History returns the recorded operations on the platform's tables.
func (c *Client) History(ctx context.Context) ([]Operation, error) {
	var ops []Operation
	err := c.do(ctx, http.MethodGet, PathHistory, nil, &ops)
	return ops, err
}

// Reservations returns the loads that the platform's weight store has granted.
func (c *Client) Reservations(ctx context.Context) ([]Reservation, error) {
	var list []Reservation
	err := c.do(ctx, http.MethodGet, PathReservations, nil, &list)
	return list, err
}

// SetVMs replaces the platform's list of VMs. The first list is visible immediately, each later one
// after the platform's VM lag.
func (c *Client) SetVMs(ctx context.Context, vms []platform.VM) error {
	return c.do(ctx, http.MethodPut, PathVMs, vms, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encode request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, answer)
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(answer, into), "%s %s: decode response", method, path)
}
