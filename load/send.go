package load

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
)

// sendItem sends one item, receives its answer and records the outcome in res.
func (r *runner) sendItem(ctx context.Context, res *result) {
	planned := r.startedAt.Add(res.item.At)
	if r.opts.ClosedLoop {
		planned = time.Now()
	}
	var err error
	if res.item.Template.Kind.isGeneration() {
		err = r.sendGeneration(ctx, res, planned)
	} else {
		err = r.sendCall(ctx, res, planned)
	}
	r.ended.Add(1)
	if err != nil {
		res.failureReason = reasonOf(err)
		r.failed.Add(1)
		return
	}
	res.complete = true
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
	var lost *client.GatewayLostError
	if errors.As(err, &lost) {
		return reasonGatewayLost
	}
	return reasonOther
}

func (r *runner) sendCall(ctx context.Context, res *result, planned time.Time) error {
	template := res.item.Template
	_, err := r.clients[res.item.Workspace].Call(ctx, client.CallRequest{
		RequestOptions: client.RequestOptions{
			Key:           res.item.Key,
			NonIdempotent: template.Kind == KindNonIdempotent,
			Priority:      crocusreel.Priority(template.Priority),
		},
		Method: template.Method,
		Path:   template.Path,
	})
	res.firstLatency = time.Since(planned)
	return err
}

func (r *runner) sendGeneration(ctx context.Context, res *result, planned time.Time) error {
	item := res.item
	req := client.Request{
		RequestOptions: client.RequestOptions{Key: item.Key, Priority: crocusreel.Priority(item.Template.Priority)},
		Model:          r.trace.Mix.Model,
		Prompt:         item.Prompt,
		MaxTokens:      item.Template.MaxTokens,
		Class:          item.Class(),
	}
	if r.opts.SendLengthHints {
		req.LengthHint = item.Tokens
	}
	stream, err := r.clients[item.Workspace].Generate(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	return r.readStream(stream, res, planned)
}

// readStream receives the stream to its end, verifies it and records the arrival time of each
// token.
func (r *runner) readStream(stream *client.Stream, res *result, planned time.Time) error {
	var v verifier
	defer func() { res.violation, res.violationDetail = v.violation, v.detail }()
	var last time.Time
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			v.finish(res.item.Tokens)
			res.preemptions = stream.Answer().Preemptions
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		if last.IsZero() {
			res.firstLatency = now.Sub(planned)
		} else {
			res.gaps = append(res.gaps, now.Sub(last))
		}
		last = now
		r.tokens.Add(1)
		if at := now.Sub(r.startedAt); at >= r.opts.Warmup && at < r.trace.Duration {
			res.measuredTokens++
		}
		v.addToken(token)
	}
}
