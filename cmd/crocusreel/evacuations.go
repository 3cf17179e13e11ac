package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/operator"
)

const (
	evacuationsTimeout      = 5 * time.Second
	evacuationsMaxBodyBytes = 8 << 20
)

type evacuationsCommand struct {
	Nodes       []string `arg:"" name:"node" help:"Metrics addresses of nodes." placeholder:"IP:PORT"`
	outputFlags `embed:""`
}

// nodeEvacuations lists the evacuations that one node knows.
type nodeEvacuations struct {
	Node        string             `json:"node"`
	Evacuations []fleet.Evacuation `json:"evacuations"`
}

// Run prints the evacuations that each node knows. It fails if any of the nodes cannot be read.
func (c *evacuationsCommand) Run() error {
	all := make([]nodeEvacuations, 0, len(c.Nodes))
	for _, address := range c.Nodes {
		known, err := readEvacuations(address)
		if err != nil {
			return err
		}
		all = append(all, nodeEvacuations{Node: address, Evacuations: known})
	}
	return c.print(all, func(w io.Writer) { printEvacuations(w, all) })
}

// readEvacuations reads the evacuations that the node at address publishes with its metrics. The
// error wraps operator.ErrUnreachable if the request fails.
func readEvacuations(address string) ([]fleet.Evacuation, error) {
	client := &http.Client{Timeout: evacuationsTimeout}
	res, err := client.Get("http://" + address + node.PathMetrics)
	if err != nil {
		return nil, eris.Wrap(operator.ErrUnreachable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read metrics of node %s: expected status 200, got %s", address, res.Status)
	}
	var vars struct {
		Gauges struct {
			Evacuations *[]fleet.Evacuation `json:"evacuations"`
		} `json:"gauges"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, evacuationsMaxBodyBytes)).Decode(&vars); err != nil {
		return nil, eris.Wrapf(err, "decode metrics of node %s", address)
	}
	if vars.Gauges.Evacuations == nil {
		return nil, eris.Errorf("metrics at %s are not those of a node on the platform", address)
	}
	return *vars.Gauges.Evacuations, nil
}

func printEvacuations(w io.Writer, all []nodeEvacuations) {
	writeRow(w, "NODE", "DATA CENTRE", "EVACUATED FOR", "ENDPOINTS", "RUNNING")
	for _, n := range all {
		if len(n.Evacuations) == 0 {
			writeRow(w, n.Node, "-", "-", "-", "-")
		}
		for _, e := range n.Evacuations {
			writeRow(w, n.Node, e.DataCentre, fmt.Sprint(e.Since.Round(time.Second)), e.Endpoints, e.Running)
		}
	}
}
