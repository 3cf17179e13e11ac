package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/controller/membership"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// nonReaderIntervalFactor multiplies the read interval of a VM that is not its data centre's
	// reader. Such VMs still read, to cover the time in which members disagree on the reader.
	nonReaderIntervalFactor = 20
	// maxReadRetryDelay bounds the wait after failed reads (or the configured interval does, if it
	// is longer), because an edit that is accepted right after an outage has to be in force in
	// time.
	maxReadRetryDelay = time.Second
	// fetchTimeout bounds the fetch of a configuration from a peer.
	fetchTimeout = 3 * time.Second
	// stopTimeout bounds the platform calls at shutdown.
	stopTimeout = time.Second
)

// readLoop reads the configuration head from the platform. One VM of each data centre, the reader,
// does so at each interval and the others rarely; a new configuration spreads through the peers.
func (c *Controller) readLoop(ctx context.Context) {
	failures := 0
	for {
		if err := c.readHead(ctx); err != nil {
			failures++
			metrics.Count("config_read_failed")
		} else {
			failures = 0
		}
		wait := c.configInterval()
		if !c.isReader() {
			wait *= nonReaderIntervalFactor
		}
		if failures > 0 {
			wait = min(c.configInterval()<<min(failures, 10), max(maxReadRetryDelay, c.configInterval()))
		}
		if !c.waitUntilReader(ctx, wait) {
			return
		}
	}
}

// waitUntilReader waits for the given time, or until this VM becomes its data centre's reader. It
// returns false if ctx ended.
func (c *Controller) waitUntilReader(ctx context.Context, wait time.Duration) bool {
	wasReader := c.isReader()
	for wait > 0 {
		step := min(wait, c.configInterval())
		if !sleepWithJitter(ctx, step) {
			return false
		}
		if !wasReader && c.isReader() {
			return true
		}
		wait -= step
	}
	return true
}

// isReader reports whether this VM is the configuration reader of its data centre: the member with
// the highest rank.
func (c *Controller) isReader() bool {
	s := c.Snapshot()
	return membership.HighestRanked("config-reader", unsuspectedIDs(s, func(m *peerv1.Member) bool {
		return m.DataCentre == s.Self.DataCentre
	})) == s.Self.Id
}

// unsuspectedIDs returns the IDs of the matching members that are alive or leaving, but not
// suspect.
func unsuspectedIDs(s *Snapshot, matches func(*peerv1.Member) bool) []string {
	var ids []string
	for _, m := range s.Members {
		if m.State != peerv1.MemberState_MEMBER_STATE_SUSPECT && matches(m) {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

func (c *Controller) readHead(ctx context.Context) error {
	head, row, err := c.versions.head(ctx)
	if err != nil {
		return err
	}
	switch inForce := c.Snapshot().Version(); {
	case head.Version < inForce:
		return c.writeAgain(ctx, head, row)
	case head.Version == inForce:
		return nil
	}
	version, err := c.versions.read(ctx, head.Version)
	if err != nil {
		return err
	}
	return c.adoptVersion(version)
}

// writeAgain writes the configuration in force to a platform that was restored from a copy without
// it. If another VM does so at the same time, one of them succeeds.
func (c *Controller) writeAgain(ctx context.Context, head operator.Version, row platform.Row) error {
	inForce := c.Current()
	err := c.versions.writeAgain(ctx, inForce, row)
	c.log.Warn("platform has lost the configuration in force; writing it again", zap.Uint64("version", inForce.Version),
		zap.String("edit_id", inForce.EditID), zap.Uint64("head", head.Version), zap.Int64("era", row.Era), zap.Error(err))
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	metrics.Count("config_written_again")
	return err
}

func (c *Controller) adoptVersion(version operator.Version) error {
	document, err := json.Marshal(version.Document)
	if err != nil {
		return eris.Wrap(err, "encode document")
	}
	return c.adopt(&peerv1.ConfigDocument{Version: version.Version, EditId: version.EditID, Document: document})
}

// adopt puts a configuration in force if it is newer. A lower version is never applied: a response
// of the platform or of a peer may be late, and applying it would bring back a configuration that
// operators have replaced.
func (c *Controller) adopt(doc *peerv1.ConfigDocument) error {
	if doc.Version <= c.Snapshot().Version() {
		return nil
	}
	// An accepted document is valid, but one written by a newer release may have keys that this
	// release does not know. Then the last configuration stays in force here.
	if err := checkDocument(doc); err != nil {
		metrics.Count("config_refused")
		c.log.Warn("configuration refused", zap.Uint64("version", doc.Version), zap.Error(err))
		return err
	}
	adopted := false
	c.withState(func(s *state) {
		if doc.Version <= s.config.GetVersion() {
			return
		}
		s.config, s.dirty, adopted = doc, true, true
	})
	if adopted {
		metrics.Count("config_adopted")
		metrics.Gauge("config_version", int64(doc.Version))
		c.log.Info("configuration adopted", zap.Uint64("version", doc.Version), zap.String("edit_id", doc.EditId))
		c.triggerPush()
	}
	return nil
}

func checkDocument(doc *peerv1.ConfigDocument) error {
	document, err := decodeDocument(doc)
	if err != nil {
		return err
	}
	return config.Validate(document)
}

func decodeDocument(doc *peerv1.ConfigDocument) (config.Document, error) {
	var document config.Document
	if err := json.Unmarshal(doc.GetDocument(), &document); err != nil {
		return document, eris.Wrap(err, "decode document")
	}
	return document, nil
}

// fetchIfNewer fetches the configuration from a peer in the background if the peer has a newer
// version. At most one fetch runs at a time.
func (c *Controller) fetchIfNewer(address string, version uint64) {
	if version <= c.Snapshot().Version() {
		return
	}
	select {
	case c.fetchSlot <- struct{}{}:
	default:
		return // another fetch is running; later messages offer the version again
	}
	go func() {
		defer func() { <-c.fetchSlot }()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		doc, err := c.opts.Transport.FetchConfig(ctx, address, &peerv1.FetchConfigRequest{MinVersion: version})
		if err != nil {
			c.log.Debug("fetching the configuration from a peer failed", zap.String("peer", address), zap.Error(err))
			return
		}
		_ = c.adopt(doc)
	}()
}
