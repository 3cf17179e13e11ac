package rig

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

// Operator returns a client for the administration API of the controller of v.
func (r *Rig) Operator(v *VM) *operator.Client {
	return operator.NewClient("http://"+v.OperatorAddress, OperatorKey, nil)
}

// Apply edits the configuration through the controller of v and returns the new version. It retries
// failures that are temporary with the same edit ID until ctx ends.
func (r *Rig) Apply(ctx context.Context, v *VM, expected uint64, doc config.Document) (uint64, error) {
	e := operator.Edit{ExpectedVersion: expected, EditID: uuid.NewString(), Document: doc}
	for {
		version, err := r.Operator(v).Apply(ctx, e)
		if err == nil || !retryable(err) {
			return version.Version, err
		}
		select {
		case <-ctx.Done():
			return 0, eris.Wrap(err, "apply configuration")
		case <-time.After(pollInterval):
		}
	}
}

// retryable reports whether an error is temporary. A response with a status below 500 is not: it
// means that the edit itself was refused.
func retryable(err error) bool {
	var refused *operator.RemoteError
	return !eris.As(err, &refused) || refused.Status >= http.StatusInternalServerError
}

// Vars reads the counters that the listener at address serves at /debug/vars. It returns the maps of
// numbers by name and ignores all other variables.
func (r *Rig) Vars(ctx context.Context, address string) (map[string]map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read counters")
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, eris.Wrap(err, "decode counters")
	}
	maps := map[string]map[string]float64{}
	for name, raw := range all {
		var values map[string]float64
		if json.Unmarshal(raw, &values) == nil {
			maps[name] = values
		}
	}
	return maps, nil
}
