package load

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

// one sends one item, receives its answer and records the outcome in res.
func (r *runner) one(ctx context.Context, res *result) {
	planned := r.begin.Add(res.item.At)
	if r.opts.ClosedLoop {
		planned = time.Now()
	}
	var err error
	if res.item.Work.Kind.generates() {
		err = r.generate(ctx, res, planned)
	} else {
		err = r.call(ctx, res, planned)
	}
	r.ended.Add(1)
	if err != nil {
		res.reason = reasonOf(err)
		r.failed.Add(1)
		return
	}
	res.whole = true
}

// Reasons of failures that the client detected, other than refusals by the system.
const (
	reasonGatewayLost crocusreel.Reason = "client_gateway_lost"
	reasonUnfinished  crocusreel.Reason = "client_unfinished"
	reasonOther       crocusreel.Reason = "client_other"
)

func reasonOf(err error) crocusreel.Reason {
	var refusal *crocusreel.Refusal
	if errors.As(err, &refusal) && refusal.Reason != "" {
		return refusal.Reason
	}
	if errors.Is(err, context.Canceled) {
		return reasonUnfinished
	}
	var lost *client.LostError
	if errors.As(err, &lost) {
		return reasonGatewayLost
	}
	return reasonOther
}

func (r *runner) call(ctx context.Context, res *result, planned time.Time) error {
	work := res.item.Work
	_, err := r.clients[res.item.Workspace].Call(ctx, client.CallRequest{
		Meta: client.Meta{
			Key:           res.item.Key,
			NonIdempotent: work.Kind == KindNonIdempotent,
			Priority:      crocusreel.Priority(work.Priority),
		},
		Method: work.Method,
		Path:   work.Path,
	})
	res.first = time.Since(planned)
	return err
}

func (r *runner) generate(ctx context.Context, res *result, planned time.Time) error {
	item := res.item
	req := client.Request{
		Meta:      client.Meta{Key: item.Key, Priority: crocusreel.Priority(item.Work.Priority)},
		Model:     r.trace.Mix.Model,
		Prompt:    item.Prompt,
		MaxTokens: item.Work.MaxTokens,
		Class:     item.Class(),
	}
	if r.opts.TellLengths {
		req.LengthHint = item.Tokens
	}
	stream, err := r.clients[item.Workspace].Generate(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	return r.read(stream, res, planned)
}

// read receives the stream to its end, verifies it and records the arrival time of each token.
func (r *runner) read(stream *client.Stream, res *result, planned time.Time) error {
	var v verifier
	defer func() { res.broken, res.detail = v.broken, v.detail }()
	var last time.Time
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			v.end(res.item.Tokens)
			res.preemptions = stream.Answer().Preemptions
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		if last.IsZero() {
			res.first = now.Sub(planned)
		} else {
			res.gaps = append(res.gaps, now.Sub(last))
		}
		last = now
		r.tokens.Add(1)
		if at := now.Sub(r.begin); at >= r.opts.Warmup && at < r.trace.Duration {
			res.windowTokens++
		}
		v.token(token)
	}
}
