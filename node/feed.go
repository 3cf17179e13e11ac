package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// changesWait is how long the store holds a poll open while nothing changes. Every answer
	// confirms the known version, so this is also the usual age of the configuration. One second is
	// well below the age at which keys must no longer be accepted, and costs less than one call per
	// second.
	changesWait = time.Second
	// endpointsWait is equally short: a missing answer is detected only after this time, and all
	// nodes must learn within two seconds that an endpoint is leaving.
	endpointsWait = time.Second
	// answerSlack is the time beyond the requested wait after which a poll is abandoned. The
	// store's slowest answers take about a hundred times its usual 4 ms.
	answerSlack = 500 * time.Millisecond
	// emptyPause is the pause before reading again a store that has never been written to. Nodes
	// may run long before the operator's first configuration.
	emptyPause = 100 * time.Millisecond
	// coalescePause is the pause after a change before the next poll. Changes come in groups, as
	// when several engines leave, and every call to the store has a cost.
	coalescePause = 40 * time.Millisecond
	// enabledCheckInterval is the interval at which a suspended feed checks whether it must poll
	// again.
	enabledCheckInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed poll. After an outage all nodes poll
	// at the same time, so the pause grows and is jittered.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// lostRetryInterval is the pause between two polls of an unavailable store by a node that is
	// neither a seed nor the first of its data centre, or that follows another node in the
	// meantime.
	lostRetryInterval = 2 * time.Second
	// slowAnswerDelay is the delay of an answer, beyond the requested wait, from which the store
	// counts as slow: 25 times the usual delay. Endpoints write their entries to the same store,
	// and at this delay the entry of a leaving endpoint becomes visible only when the endpoint is
	// already gone.
	slowAnswerDelay = 100 * time.Millisecond
)

// backoffBounds holds the bounds of the pause between two polls while the store does not answer.
type backoffBounds struct{ min, max time.Duration }

// backoffBoundsFor returns the bounds for a node; leads reports whether others depend on its polls.
// Hundreds of nodes may start while the store is unavailable, and every call has a cost. Therefore
// only a few nodes poll often; the others learn from them within the latency of one datagram.
func backoffBoundsFor(leads bool) backoffBounds {
	if leads {
		return backoffBounds{min: minBackoff, max: maxBackoff}
	}
	return backoffBounds{min: lostRetryInterval, max: lostRetryInterval}
}

// feed polls one table of the store. Apart from position, gone and goneCount, which only the goroutine
// of run uses, its state is guarded by mu.
type feed struct {
	store *platform.Store
	table string
	wait  time.Duration
	log   *zap.Logger
	// enabled reports whether this node must poll the store now.
	enabled func() bool
	// onListing is called with each full listing, onChanges with each list of changed rows.
	onListing func(l platform.Listing, confirmation knowledge.Confirmation)
	onChanges func(l platform.Listing, confirmation knowledge.Confirmation)

	// onLinkChange is called when the store becomes unavailable or available again. It runs under
	// mu and must not block.
	onLinkChange func()
	// onFailure is called for each failed poll, under mu; it may be nil and must not block.
	onFailure func()
	// maxWait returns an upper bound of the wait of the next poll; nil means no bound.
	maxWait func() time.Duration
	// peerRevision returns the revision of the table known from other nodes.
	peerRevision func() platform.Revision
	// backoffBounds returns the bounds of the pause after a failed poll.
	backoffBounds func() backoffBounds

	// position is the revision up to which changes are known; version 0 means that the full table
	// must be read.
	position platform.Revision
	// gone is the position from which the store could not continue, until the table is read again;
	// goneCount is the number of such answers since the last changes.
	gone      platform.Revision
	goneCount int

	mu sync.Mutex
	// lostAt is the time of the first failed poll since the last answer; 0 if the last poll was
	// answered.
	lostAt time.Duration
	// retryAt is when an unavailable store is polled again while another node is followed.
	retryAt time.Duration
	// answered is set once the store has answered.
	answered bool
	// suspended is set while another node is followed. A loss of the store then does not show how
	// current the data is.
	suspended bool
	// sentAt is when the pending poll was sent, 0 if there is none; requestedWait is how long that
	// poll asks the store to wait for changes.
	sentAt, requestedWait time.Duration
	// delay is the delay of the last answer beyond the requested wait.
	delay time.Duration
}

// run polls the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !f.enabled() {
			f.suspend()
			pause(ctx, enabledCheckInterval)
			continue
		}
		err := f.poll(ctx)
		if err == nil {
			f.recordAnswer()
			if f.goneCount == 0 {
				backoff = minBackoff
			}
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.log.Info("change history not available; reading the full table again", zap.String("table", f.table),
				zap.Int64("since", f.position.Version), zap.Int64("since_era", f.position.Era), zap.Int64("era", f.store.Era()))
			f.recordAnswer()
			if f.goneCount > 1 {
				// The store has just listed the table, so the next listing need not help either.
				pause(ctx, jitter(backoff))
				backoff = min(2*backoff, maxBackoff)
			}
			continue
		}
		f.recordFailure(err)
		bounds := f.backoffBounds()
		pause(ctx, jitter(max(backoff, bounds.min)))
		backoff = min(2*backoff, bounds.max)
	}
	return nil
}

func (f *feed) poll(ctx context.Context) error {
	sentAt := f.begin()
	defer f.end()
	// Changes learned from other nodes in the meantime need not be read again.
	f.position = platform.MaxRevision(f.position, f.peerRevision())
	if f.mustList() {
		// The timeout applies to each page, not to the whole listing. With thousands of endpoints
		// over a slow link, a timeout for the whole would end every listing before its last page,
		// and a starting node would never become ready.
		listing, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.onListing(listing, knowledge.Confirmation{ConfirmedAt: sentAt, AnsweredAt: boottime.Now()})
		f.position, f.gone = listing.Revision(), platform.Revision{}
		if f.position.Version == 0 {
			// Nothing was ever written, so there is no version from which to wait for changes.
			pause(ctx, emptyPause)
		}
		return nil
	}
	wait := f.nextWait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	listing, err := f.store.Changes(ctx, f.table, f.position.Version, wait)
	if err == nil && listing.Era != f.position.Era {
		// The store has the version by chance: its changes are not those since the known state.
		err = eris.Wrapf(platform.ErrHistoryGone, "answer of era %d for era %d", listing.Era, f.position.Era)
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		f.gone = f.position
		f.goneCount++
	}
	if err != nil {
		return err
	}
	f.goneCount = 0
	answered := boottime.Now()
	if len(listing.Rows) == 0 {
		f.recordDelay(answered - sentAt - wait)
	}
	f.onChanges(listing, knowledge.Confirmation{ConfirmedAt: sentAt, AnsweredAt: answered})
	f.position = platform.MaxRevision(f.position, listing.Revision())
	if len(listing.Rows) > 0 {
		pause(ctx, coalescePause)
	}
	return nil
}

// mustList reports whether the full table must be read: nothing is known, the store could not
// continue from the position, or it was restored since.
func (f *feed) mustList() bool {
	return f.position.Version == 0 || f.position == f.gone || f.position.Era < f.store.Era()
}

// nextWait returns the wait to request from the store for the next poll, and records it. It is 0
// before the first answer, after a loss, and after another node was followed: an immediate answer
// then shows how current the table is.
func (f *feed) nextWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestedWait = f.wait
	if f.lostAt != 0 || f.suspended || !f.answered {
		f.requestedWait = 0
	} else if f.maxWait != nil {
		f.requestedWait = min(f.requestedWait, f.maxWait())
	}
	return f.requestedWait
}

// begin records that a poll has started and returns the time.
func (f *feed) begin() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAt, f.requestedWait = boottime.Now(), f.wait
	return f.sentAt
}

func (f *feed) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAt = 0
}

func (f *feed) recordDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (delay >= slowAnswerDelay) != (f.delay >= slowAnswerDelay) {
		f.log.Info("store's pace changed", zap.String("table", f.table), zap.Duration("delay", delay), zap.Duration("before", f.delay))
	}
	f.delay = delay
}

// isSlow reports whether the last answer was late, or the pending one is.
func (f *feed) isSlow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := f.sentAt != 0 && boottime.Now()-f.sentAt-f.requestedWait >= slowAnswerDelay
	return !f.suspended && (late || f.delay >= slowAnswerDelay)
}

func (f *feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended = false
	f.retryAt = boottime.Now() + jitter(lostRetryInterval)
	if f.lostAt == 0 {
		f.lostAt = boottime.Now()
		f.log.Warn("store lost", zap.String("table", f.table), zap.Error(err))
		f.onLinkChange()
	}
	if f.onFailure != nil {
		f.onFailure()
	}
	metrics.Count("store_call_failed")
}

// recordAnswer records that the store has answered, and ends a loss.
func (f *feed) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended, f.answered = false, true
	if f.lostAt == 0 {
		return
	}
	f.log.Info("store regained", zap.String("table", f.table), zap.Duration("after", boottime.Now()-f.lostAt))
	f.lostAt = 0
	f.onLinkChange()
}

// suspend suspends the feed while another node is followed, whose store access counts instead.
func (f *feed) suspend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended = true
	f.delay = 0
}

// link returns the state of this node's own access to the store, as seen by the polls of this
// table.
func (f *feed) link() exchangev1.StoreLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.lostAt != 0:
		return exchangev1.StoreLink_STORE_LINK_LOST
	case f.suspended || !f.answered:
		return exchangev1.StoreLink_STORE_LINK_UNSPECIFIED
	default:
		return exchangev1.StoreLink_STORE_LINK_READS
	}
}

// retryDue reports whether an unavailable store must be polled again although this node follows
// another one in the meantime.
func (f *feed) retryDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt != 0 && boottime.Now() >= f.retryAt
}

// isLost reports whether this node polls the store and gets no answer.
func (f *feed) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt != 0 && !f.suspended
}
