package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// changesWait is how long the store holds a question for changes. Each answer
	// confirms what is known, so this is also the usual age of the configuration: well
	// under the time after which keys must not be served, at a cost of less than one
	// call a second.
	changesWait = time.Second
	// endpointsWait is as short: an answer that is missing is noticed after it, and the news
	// that an endpoint leaves must be everywhere within two seconds.
	endpointsWait = time.Second
	// answerSlack is the time beyond the wait after which a question is given up: the
	// store's slowest answers are some hundred times slower than its usual 4 ms.
	answerSlack = 500 * time.Millisecond
	// emptyPause is the pause before a store in which nothing was ever written is read again.
	// Nodes may be there long before the operator's first configuration.
	emptyPause = 100 * time.Millisecond
	// gather is the pause after a change before the next question: changes come in
	// groups, as when several engines leave, and each call has its price.
	gather = 40 * time.Millisecond
	// directCheck is how often a feed that rests looks whether it is needed.
	directCheck = 50 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed question. All
	// nodes ask together after an outage, so the pause grows and has jitter.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// lostRetry is the pause between two questions of a node that the store does not answer
	// and that is neither a seed nor the first of its data centre.
	lostRetry = 2 * time.Second
	// slowAnswer is the delay of an answer, beyond the time that the store was asked to
	// wait, from which the store counts as slow: 25 times its usual one. Endpoints write
	// their entries there too, and a store that is that slow tells of those that leave
	// when they are gone.
	slowAnswer = 100 * time.Millisecond
)

// patience is the least and the longest pause between two questions while the store does
// not answer.
type patience struct{ least, most time.Duration }

// patienceOf returns the patience of a node whose questions others wait for, or of any other
// node. Hundreds of nodes may start while the store is away, and each call has its price: few
// of them ask often, and the others hear from these within a datagram's time.
func patienceOf(leads bool) patience {
	if leads {
		return patience{least: firstBackoff, most: longestBackoff}
	}
	return patience{least: lostRetry, most: lostRetry}
}

// feed follows one table of the store.
type feed struct {
	store *platform.Store
	table string
	wait  time.Duration
	log   *zap.Logger
	// direct tells whether this node follows the store at present.
	direct func() bool
	// listed takes a whole table and changed the rows that changed.
	listed  func(l platform.Listing, seen knowledge.Confirmation)
	changed func(l platform.Listing, seen knowledge.Confirmation)

	// linkChanged is called when the store was lost or has come back; it must not block.
	linkChanged func()
	// unanswered is called for each question that failed; nil for nobody. It must not block.
	unanswered func()
	// longest bounds the time for which the store is to hold the next question; nil for no bound.
	longest func() time.Duration
	// learned returns the version up to which the table is known by other nodes' answers.
	learned func() int64
	// patience bounds the pause after a failed question.
	patience func() patience

	// version is the store's version up to which changes are known; 0 if the table
	// must be read as a whole.
	version int64
	// relist is set when the store no longer has the changes since then.
	relist bool

	mu sync.Mutex
	// lost is when a question failed, 0 once one was answered.
	lost time.Duration
	// retryAt is when a lost store is asked again while another node is followed.
	retryAt time.Duration
	// answered is set once the store has answered.
	answered bool
	// rests is set while another node is followed: a loss then says nothing of what is known.
	rests bool
	// asked is when the question under way was sent, 0 if there is none, and held how long the
	// store was asked to hold it.
	asked, held time.Duration
	// delay is that of the last answer beyond the wait that was asked for.
	delay time.Duration
}

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !f.direct() {
			f.rest()
			pause(ctx, directCheck)
			continue
		}
		err := f.ask(ctx)
		if err == nil {
			f.reached()
			backoff = firstBackoff
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.log.Info("history gone, table is read again", zap.String("table", f.table))
			f.relist = true
			continue
		}
		f.failed(err)
		bounds := f.patience()
		pause(ctx, jitter(max(backoff, bounds.least)))
		backoff = min(2*backoff, bounds.most)
	}
	return nil
}

func (f *feed) ask(ctx context.Context) error {
	asked := f.begin()
	defer f.done()
	// What other nodes told meanwhile need not be read again.
	f.version = max(f.version, f.learned())
	if f.version == 0 || f.relist {
		// Each page has the time of one call. A bound on the whole would, with thousands of
		// endpoints over a slow link, end every reading before its last page, and a node
		// that starts would never come to serve.
		listing, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.listed(listing, knowledge.Confirmation{ConfirmedAt: asked, AnsweredAt: boottime.Now()})
		f.version, f.relist = listing.Version, false
		if f.version == 0 {
			// Nothing was ever written, and there is no version to wait from.
			pause(ctx, emptyPause)
		}
		return nil
	}
	wait := f.hold()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	listing, err := f.store.Changes(ctx, f.table, f.version, wait)
	if err != nil {
		return err
	}
	answered := boottime.Now()
	if len(listing.Rows) == 0 {
		f.delayed(answered - asked - wait)
	}
	f.changed(listing, knowledge.Confirmation{ConfirmedAt: asked, AnsweredAt: answered})
	f.version = max(f.version, listing.Version)
	if len(listing.Rows) > 0 {
		pause(ctx, gather)
	}
	return nil
}

// hold returns how long the store is to hold the next question, and records it. After a loss, or
// while another node was followed, an answer at once tells how current the table is.
func (f *feed) hold() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = f.wait
	if f.lost != 0 || f.rests || !f.answered {
		f.held = 0
	} else if f.longest != nil {
		f.held = min(f.held, f.longest())
	}
	return f.held
}

// begin records that a question is under way and returns the time.
func (f *feed) begin() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.held = boottime.Now(), f.wait
	return f.asked
}

func (f *feed) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = 0
}

func (f *feed) delayed(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (by >= slowAnswer) != (f.delay >= slowAnswer) {
		f.log.Info("store's pace changed", zap.String("table", f.table), zap.Duration("delay", by), zap.Duration("before", f.delay))
	}
	f.delay = by
}

// slow tells whether the store answers late: the last time, or now.
func (f *feed) slow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := f.asked != 0 && boottime.Now()-f.asked-f.held >= slowAnswer
	return !f.rests && (late || f.delay >= slowAnswer)
}

func (f *feed) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rests = false
	f.retryAt = boottime.Now() + jitter(lostRetry)
	if f.lost == 0 {
		f.lost = boottime.Now()
		f.log.Warn("store lost", zap.String("table", f.table), zap.Error(err))
		f.linkChanged()
	}
	if f.unanswered != nil {
		f.unanswered()
	}
	metrics.Count("store_call_failed")
}

// reached ends a loss of the store: it has answered.
func (f *feed) reached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rests, f.answered = false, true
	if f.lost == 0 {
		return
	}
	f.log.Info("store regained", zap.String("table", f.table), zap.Duration("after", boottime.Now()-f.lost))
	f.lost = 0
	f.linkChanged()
}

// rest is called while another node is followed, which has the store.
func (f *feed) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rests = true
	f.delay = 0
}

// link is this node's own way to the store, as far as the table's questions tell.
func (f *feed) link() exchangev1.StoreLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.lost != 0:
		return exchangev1.StoreLink_STORE_LINK_LOST
	case f.rests || !f.answered:
		return exchangev1.StoreLink_STORE_LINK_UNSPECIFIED
	default:
		return exchangev1.StoreLink_STORE_LINK_READS
	}
}

// retryDue tells whether a store that was lost is to be asked again by a node that
// follows another one meanwhile.
func (f *feed) retryDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost != 0 && boottime.Now() >= f.retryAt
}

// isLost tells whether the store doesn't answer this node, which asks it.
func (f *feed) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost != 0 && !f.rests
}
