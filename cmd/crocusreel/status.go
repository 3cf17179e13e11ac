package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/crocusreel/crocusreel/operator"
)

type statusCommand struct {
	operatorFlags `embed:""`
	outputFlags   `embed:""`
}

// Run prints the state of the system as the controller sees it.
func (c *statusCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	return c.print(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "as seen by %s; configuration version %d\n\n", s.VM, s.ConfigVersion)
	writeRow(w, "VM", "DATA CENTRE", "REGION", "STATE", "CALLERS")
	for _, m := range s.Members {
		writeRow(w, m.VM, m.DataCentre, m.Region, m.State, dashIfEmpty(m.CallerAddress))
	}
	fmt.Fprintf(w, "\norders lease of %s: holder %s, fence %d\n\n", s.Lease.Region, dashIfEmpty(s.Lease.Holder), s.Lease.Fence)
	writeRow(w, "ENDPOINT", "KIND", "ADDRESS", "DATA CENTRE", "LEAVING", "REACHED", "MODELS", "PENDING")
	for _, e := range s.Endpoints {
		reached := "-"
		if s.Lease.HeldHere && e.Kind == "engine" {
			reached = fmt.Sprint(e.Reached)
		}
		writeRow(w, e.Name, e.Kind, e.Address, e.DataCentre, e.Leaving, reached, dashIfEmpty(strings.Join(e.Models, ",")), dashIfEmpty(e.Pending))
	}
}
