package main

import (
	"context"
	"fmt"
	"io"
)

type vmCommand struct {
	Drain drainCommand `cmd:"" help:"Mark a VM as leaving: callers are no longer sent to it, and what it serves may finish."`
}

type drainCommand struct {
	VM            string `arg:"" name:"vm" help:"ID of the VM."`
	operatorFlags `embed:""`
	outputFlags   `embed:""`
}

// Run asks the controller to mark the VM as leaving.
func (c *drainCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.Leave(context.Background(), c.VM); err != nil {
		return err
	}
	return c.print(struct {
		VM      string `json:"vm"`
		Leaving bool   `json:"leaving"`
	}{c.VM, true}, func(w io.Writer) { fmt.Fprintf(w, "%s is leaving\n", c.VM) })
}
