package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/internal/rig"
)

const (
	// workers is the number of callers that send requests concurrently, one after the other each.
	workers = 48
	// requestTimeout is the timeout of one request.
	requestTimeout = 25 * time.Second
	// maxThinkTime is the maximum pause of a worker after a request.
	maxThinkTime = 200 * time.Millisecond
)

// kind is the kind of a request.
type kind string

const (
	kindStream  kind = "stream"
	kindWhole   kind = "whole answer"
	kindLookup  kind = "lookup"
	kindBooking kind = "booking"
	kindLetter  kind = "letter"
	// kindSingle is a booking that is sent without retries, so that each refusal reaches the
	// caller.
	kindSingle kind = "booking, no retry"
)

// weights holds the share of each kind, out of 20. Bookings and letters are non-idempotent: the
// former are calls to a service, the latter generations.
var weights = []struct {
	kind   kind
	weight int
}{{kindStream, 8}, {kindWhole, 3}, {kindLookup, 3}, {kindBooking, 3}, {kindSingle, 2}, {kindLetter, 1}}

// result is one request and the result that its caller received.
type result struct {
	kind kind
	key  string
	// err is nil if the complete response was received.
	err error
	// mismatch describes how the content of the response differs from the expected one; empty if it
	// does not.
	mismatch string
}

// outcome returns the outcome reported to the caller, which is OutcomeRan for a complete response.
// It is empty if the error carries none, for example after a timeout.
func (r result) outcome() crocusreel.Outcome {
	var refusal *crocusreel.Refusal
	var lost *client.GatewayLostError
	switch {
	case r.err == nil:
		return crocusreel.OutcomeRan
	case errors.As(r.err, &refusal):
		return refusal.Outcome
	case errors.As(r.err, &lost):
		return lost.Outcome
	default:
		return ""
	}
}

func pickKind(random *rand.Rand) kind {
	n := random.IntN(20)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return kindLookup
}

// load sends the requests and returns the results that their callers received.
func load(ctx context.Context, r *rig.Rig, seed uint64, requests int) []result {
	retrying := newClient(r, client.Options{StallTimeout: 4 * time.Second, RetryRatio: 1, RetryBurst: 200})
	defer retrying.Close()
	single := newClient(r, client.Options{MaxAttempts: 1})
	defer single.Close()
	results := make([]result, requests)
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				results[i] = sendOne(ctx, retrying, single, random, fmt.Sprintf("soak-%d-%d", seed, i))
				time.Sleep(rand.N(maxThinkTime))
			}
		})
	}
	for i := range requests {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

func newClient(r *rig.Rig, o client.Options) *client.Client {
	o.Seeds, o.Key = r.CallerAddresses(), rig.DefaultKey
	c, err := client.New(o)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// sendOne sends the request that random selects. Single bookings go through the client without
// retries.
func sendOne(ctx context.Context, retrying, single *client.Client, random *rand.Rand, key string) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r := result{kind: pickKind(random), key: key}
	length := 5 + random.IntN(60)
	g := client.Request{RequestOptions: client.RequestOptions{Key: key}, Model: "m", Prompt: fmt.Sprintf("%s [[len=%d]]", key, length)}
	switch r.kind {
	case kindStream:
		r.stream(ctx, retrying, g, length)
	case kindWhole:
		answer, err := retrying.Complete(ctx, g)
		r.err = err
		if err == nil {
			r.mismatch = tokenMismatch(strings.Fields(answer.Text), length)
		}
	case kindLetter:
		g.NonIdempotent = true
		answer, err := retrying.Complete(ctx, g)
		r.err = err
		if err == nil {
			r.mismatch = tokenMismatch(strings.Fields(answer.Text), length)
		}
	case kindLookup:
		r.call(ctx, retrying, client.CallRequest{RequestOptions: g.RequestOptions, Method: http.MethodGet, Path: "/beds/free?for=" + key})
	case kindSingle:
		r.call(ctx, single, client.CallRequest{RequestOptions: g.RequestOptions, Method: http.MethodPost, Path: "/beds/book", Body: []byte(key)})
	case kindBooking:
		r.call(ctx, retrying, client.CallRequest{RequestOptions: g.RequestOptions, Method: http.MethodPost, Path: "/beds/book", Body: []byte(key)})
	}
	return r
}

// stream reads a response token by token and checks the tokens, also those of an incomplete
// response.
func (r *result) stream(ctx context.Context, c *client.Client, g client.Request, length int) {
	s, err := c.Generate(ctx, g)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = s.Close() }()
	var texts []string
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.err = err
			break
		}
		if token.Index != len(texts) {
			r.mismatch = fmt.Sprintf("received token index %d after %d tokens", token.Index, len(texts))
			return
		}
		texts = append(texts, strings.TrimSpace(token.Text))
	}
	if r.err != nil {
		length = len(texts)
	}
	r.mismatch = tokenMismatch(texts, length)
}

// tokenMismatch checks that the texts are the first length tokens of one generation and describes
// the first mismatch. Each token names its generation and its index.
func tokenMismatch(texts []string, length int) string {
	if len(texts) != length {
		return fmt.Sprintf("received %d tokens, expected %d", len(texts), length)
	}
	first := ""
	for i, text := range texts {
		generation, index, _ := strings.Cut(text, ".")
		if first == "" {
			first = generation
		}
		if generation != first || index != strconv.Itoa(i) {
			return fmt.Sprintf("token %d of generation %s has text %q", i, first, text)
		}
	}
	return ""
}

// call sends a call to a service, whose response echoes the query and the body.
func (r *result) call(ctx context.Context, c *client.Client, q client.CallRequest) {
	reply, err := c.Call(ctx, q)
	if err != nil {
		r.err = err
		return
	}
	var echo struct {
		Query string `json:"query"`
		Body  string `json:"body"`
	}
	if err := json.Unmarshal(reply.Body, &echo); err != nil || reply.Status != http.StatusOK {
		r.mismatch = fmt.Sprintf("expected the echo of the call with status 200, got status %d, body %.100q", reply.Status, reply.Body)
		return
	}
	if echo.Body != r.key && echo.Query != "for="+r.key {
		r.mismatch = fmt.Sprintf("response echoes another call: %.100q", reply.Body)
	}
}

// waitUntilServing waits until a system without faults answers a generation and a call to a
// service.
func waitUntilServing(ctx context.Context, r *rig.Rig) error {
	c, err := client.New(client.Options{Seeds: r.CallerAddresses(), Key: rig.DefaultKey})
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		_, generateErr := c.Complete(ctx, client.Request{Model: "m", Prompt: "after [[len=5]]"})
		_, callErr := c.Call(ctx, client.CallRequest{Path: "/beds/free"})
		if generateErr == nil && callErr == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(generateErr, callErr)
		}
	}
}
