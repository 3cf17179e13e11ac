package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

type configCommand struct {
	Validate validateCommand `cmd:"" help:"Check a base file and its overlays as a whole, without a controller."`
	Diff     diffCommand     `cmd:"" help:"Compare a directory with the configuration in force."`
	Apply    applyCommand    `cmd:"" help:"Put a directory's configuration in force at every site."`
	History  historyCommand  `cmd:"" help:"List the latest accepted configurations."`
}

// dirArg is the argument that names the directory of a configuration.
type dirArg struct {
	Dir string `arg:"" help:"Directory with base.toml and overlays/DATA_CENTRE.toml." type:"existingdir"`
}

type validateCommand struct {
	dirArg      `embed:""`
	outputFlags `embed:""`
}

// Run checks the configuration in the directory and prints the result or the problems.
func (c *validateCommand) Run() error {
	doc, err := readDocument(c.Dir)
	if err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		var problems config.Problems
		if c.Output == "json" && errors.As(err, &problems) {
			_ = c.print(problems, nil)
		}
		return err
	}
	return c.print(struct {
		Valid    bool `json:"valid"`
		Overlays int  `json:"overlays"`
	}{true, len(doc.Overlays)}, func(w io.Writer) {
		fmt.Fprintf(w, "valid: base and %d overlays\n", len(doc.Overlays))
	})
}

type diffCommand struct {
	dirArg        `embed:""`
	operatorFlags `embed:""`
	outputFlags   `embed:""`
}

// Run prints the differences between the configuration in force and the one in the directory.
func (c *diffCommand) Run() error {
	doc, err := readDocument(c.Dir)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Current(context.Background())
	if err != nil {
		return err
	}
	var old config.Document
	if current.Document != nil {
		old = *current.Document
	}
	changes := config.Diff(old, doc)
	return c.print(changes, func(w io.Writer) { printChanges(w, changes) })
}

func printChanges(w io.Writer, changes []config.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
	fmt.Fprintf(w, "%d keys differ\n", len(changes))
}

type applyCommand struct {
	dirArg        `embed:""`
	operatorFlags `embed:""`
	outputFlags   `embed:""`
	Base          *uint64 `help:"Version that the edit is based on. Default: the one in force now." placeholder:"VERSION"`
	EditID        string  `name:"edit-id" help:"Name of the edit. Give the same one to repeat an edit whose answer was lost." placeholder:"ID"`
	// Wait is the timeout of all requests to the controller together. An answer takes long if the
	// controller has to recover from a lost answer of the platform.
	Wait time.Duration `default:"30s" help:"Longest wait for the answer."`
}

// Run sends the configuration in the directory to the controller as an edit.
func (c *applyCommand) Run() error {
	doc, err := readDocument(c.Dir)
	if err != nil {
		return err
	}
	if err := config.Validate(doc); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	edit := operator.Edit{EditID: c.EditID, Document: doc}
	if edit.EditID == "" {
		edit.EditID = uuid.NewString()
	}
	if edit.ExpectedVersion, err = c.baseVersion(ctx, client); err != nil {
		return err
	}
	version, err := client.Apply(ctx, edit)
	if err != nil {
		explainApply(err, edit)
		return err
	}
	return c.print(version, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: version %d, edit %s\n", version.Version, version.EditID)
	})
}

func (c *applyCommand) baseVersion(ctx context.Context, client *operator.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	current, err := client.Current(ctx)
	return current.Version, err
}

// explainApply writes to standard error what the operator can do about a failed edit.
func explainApply(err error, edit operator.Edit) {
	var refusal *operator.RemoteError
	switch {
	case errors.Is(err, operator.ErrUnreachable):
		// The connection may have failed after the edit was stored.
		fmt.Fprintf(os.Stderr, "the edit may be in force; send the same edit again with --base %d --edit-id %s\n",
			edit.ExpectedVersion, edit.EditID)
	case !errors.As(err, &refusal):
	case refusal.Conflict != nil:
		fmt.Fprintf(os.Stderr, "version %d is in force (edit %s of %s); changed since version %d:\n",
			refusal.Conflict.Current.Version, refusal.Conflict.Current.EditID,
			refusal.Conflict.Current.At.Format(time.RFC3339), edit.ExpectedVersion)
		printChanges(os.Stderr, refusal.Conflict.Changes)
	case refusal.Code == operator.CodeResultUnknown:
		fmt.Fprintf(os.Stderr, "send the same edit again with --base %d --edit-id %s\n", edit.ExpectedVersion, edit.EditID)
	case len(refusal.Problems) > 0:
		fmt.Fprintln(os.Stderr, refusal.Problems.Error())
	}
}

type historyCommand struct {
	operatorFlags `embed:""`
	outputFlags   `embed:""`
	Limit         int `default:"20" help:"Number of versions."`
}

// Run prints the latest accepted versions of the configuration.
func (c *historyCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	versions, err := client.History(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return c.print(versions, func(w io.Writer) {
		writeRow(w, "VERSION", "AT", "EDIT")
		for _, v := range versions {
			writeRow(w, v.Version, v.At.Format(time.RFC3339), v.EditID)
		}
	})
}
