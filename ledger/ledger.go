// Package ledger keeps durable records that ensure that a non-idempotent request runs at most once.
// A record is claimed as the last step before the work is sent.
package ledger

import (
	"context"
	"math/rand/v2"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// table holds one row per key.
	table = "runs"

	defaultRetryBase   = 50 * time.Millisecond
	defaultWorkers     = 4
	defaultQueueLength = 1024
	defaultInlineBytes = 16 << 10

	// maxClaimTries bounds the commits of one claim, and maxReadTries the reads after each of them.
	maxClaimTries = 4
	maxReadTries  = 3
	// maxEndTries bounds the tries to end a claim in the background. With the default RetryBase and
	// maxBackoff they spread over up to about five minutes.
	maxEndTries = 60
	maxBackoff  = 5 * time.Second

	// inProgressRetryAfter is the retry delay sent to a caller while an earlier attempt holds the
	// key, and outageRetryAfter the one sent while the platform is unavailable.
	inProgressRetryAfter = 2 * time.Second
	outageRetryAfter     = 5 * time.Second
)

// Key identifies one non-idempotent piece of work.
type Key struct {
	Workspace string
	// IdempotencyKey is chosen by the caller.
	IdempotencyKey string
}

// rowKey returns the key of the record's row. Both parts are escaped, so that no two keys share a
// row.
func (k Key) rowKey() string {
	return url.PathEscape(k.Workspace) + "/" + url.PathEscape(k.IdempotencyKey)
}

// State is the state of a record.
type State string

const (
	// StateStarted means that the holder of the claim may have sent the work.
	StateStarted State = "started"
	// StateDone means that the work ran and its result is stored.
	StateDone State = "done"
	// StateNotRun means that the holder has proof that the work never started. A new attempt may
	// claim the key.
	StateNotRun State = "not_run"
	// StateUnknown means that the work may have run and no result is known.
	StateUnknown State = "unknown"
)

// Record is the JSON value of a row.
type Record struct {
	AttemptID string `json:"attempt_id"`
	State     State  `json:"state"`
	// BodySHA256 detects a key that is reused with different content.
	BodySHA256 string    `json:"body_sha256"`
	Gateway    string    `json:"gateway"`
	Endpoint   string    `json:"endpoint,omitempty"`
	StartedAt  time.Time `json:"started_at"`
	Result     *Result   `json:"result,omitempty"`
}

// Result is the complete answer of a finished run.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Object names the object that stores a body too large for a row.
	Object string `json:"object,omitempty"`
}

// ClaimResult is the outcome of Claim. Exactly one of Claim, Done and Refusal is set.
type ClaimResult struct {
	// Claim entitles its holder to send the work once.
	Claim *Claim
	// Done is the result of an earlier attempt.
	Done *Result
	// Refusal states why the work must not be sent. Its outcome is true for the key: unknown
	// wherever an earlier attempt may have run.
	Refusal *crocusreel.Refusal
}

// Claim is the right to send one piece of work. Exactly one of RecordDone, RecordNotRun and
// RecordUnknown must be called to end it.
type Claim struct {
	Key       Key
	AttemptID string

	record Record
	// revision is that of the row that holds the claim.
	revision platform.Revision
	// era is that of the platform's store in which the claim was granted.
	era int64
	// soleAttempt is set if the caller stated that this is its first attempt and no record of
	// another attempt was found.
	soleAttempt bool
	ended       atomic.Bool
}

// Options configure a Ledger. Gateway, Now and NewAttemptID are required.
type Options struct {
	// Gateway is the VM ID of this gateway; it is stored in the records.
	Gateway string
	Now     func() time.Time
	// NewAttemptID returns an ID that is unique among all attempts at all gateways.
	NewAttemptID func() string
	// RetryBase is the upper bound of the first pause between tries. It doubles with each try, and
	// the pause is jittered. Default 50 ms.
	RetryBase time.Duration
	// Jitter returns the length of a pause, at most limit. Default: uniformly random.
	Jitter func(limit time.Duration) time.Duration
	// Workers is the number of goroutines that end claims in the background. Default 4.
	Workers int
	// QueueLength bounds the number of claims that wait to be ended. Default 1024.
	QueueLength int
	// InlineBytes is the size of the largest result body that is stored in the record itself;
	// larger ones are stored in the object store. Default 16 KiB.
	InlineBytes int
	// WatchInterval is the interval at which a gateway that has written records recently looks whether
	// the platform was restored from a copy. Default 500 ms.
	WatchInterval time.Duration
}

// Ledger claims and ends records. It is safe for concurrent use.
type Ledger struct {
	tables  platform.Tables
	objects platform.Objects
	opts    Options
	pool    *workerPool

	restorations *knowledge.RestorationTracker
	kept         keptRecords
	// stopWatch ends watch, which closes watchStopped.
	stopWatch    context.CancelFunc
	watchStopped chan struct{}
}

// New starts a Ledger. The caller must stop it with Close.
func New(tables platform.Tables, objects platform.Objects, opts Options) *Ledger {
	setDefault(&opts.RetryBase, defaultRetryBase)
	setDefault(&opts.Workers, defaultWorkers)
	setDefault(&opts.QueueLength, defaultQueueLength)
	setDefault(&opts.InlineBytes, defaultInlineBytes)
	if opts.Jitter == nil {
		opts.Jitter = func(limit time.Duration) time.Duration { return rand.N(limit) + 1 }
	}
	setDefault(&opts.WatchInterval, defaultWatchInterval)
	started := opts.Now()
	l := &Ledger{
		tables: tables, objects: objects, opts: opts, pool: newWorkerPool(opts.Workers, opts.QueueLength),
		restorations: knowledge.NewRestorationTracker(func() time.Duration { return opts.Now().Sub(started) }),
		kept:         keptRecords{byKey: make(map[Key]keptRecord)},
		watchStopped: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stopWatch = cancel
	go func() {
		defer close(l.watchStopped)
		l.watch(ctx)
	}()
	return l
}

// Close stops the background work: it waits for the queued jobs until ctx is done and drops the
// rest. Records that have not been ended then remain in the started state, which later attempts
// read as unknown.
func (l *Ledger) Close(ctx context.Context) {
	l.stopWatch()
	<-l.watchStopped
	l.pool.close(ctx)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
