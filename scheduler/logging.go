package scheduler

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

// Log entries of a pool. Each decision on a request is logged with its reasons: the granted engine
// and the strikes known at that time, the reason of a refusal, or the loss that the request waits
// for. Each death or loss that changes the strikes against a request is logged as well.

func deathField(death uint64) zap.Field {
	return zap.String("death", strconv.FormatUint(death, 16))
}

func (c *core) logGrant(w *queuedRequest, p *Permit, now time.Duration) {
	c.hooks.log.Info("permit granted", zap.String("request", w.req.RequestID), zap.String("gateway", w.req.Gateway),
		zap.String("permit", p.ID), zap.String("endpoint", p.Endpoint), zap.String("incarnation", p.Incarnation),
		logging.FingerprintField(p.Fingerprint), zap.Int("strikes", c.suspects.Count(p.Fingerprint, now)),
		zap.Duration("waited", now-w.item.Enqueued))
}

func (c *core) logRefused(w *queuedRequest, r *crocusreel.Refusal) {
	c.hooks.log.Info("permit refused", zap.String("request", w.req.RequestID), zap.String("gateway", w.req.Gateway),
		logging.FingerprintField(w.req.Fingerprint), zap.String("reason", string(r.Reason)), zap.Duration("retry_after", r.RetryAfter))
}

// Both log functions for held-back requests are called at every attempt to place the request; only
// the first call writes an entry.

func (c *core) logHeldForLoss(w *queuedRequest, l *loss, now time.Duration) {
	c.logHeld(w, "request held back until a loss is explained", zap.String("permit", l.permit.ID),
		zap.String("endpoint", l.permit.Endpoint), zap.Duration("loss_age", now-l.at))
}

func (c *core) logHeldForCopies(w *queuedRequest, now time.Duration) {
	c.logHeld(w, "request held back while its work runs elsewhere", zap.Int("strikes", c.suspects.Count(w.req.Fingerprint, now)),
		zap.Int("engines", c.enginesRunning(w.req.Fingerprint)))
}

func (c *core) logHeldForParts(w *queuedRequest, parts []quarantine.Part, other *Permit) {
	c.logHeld(w, "request held back while another one with suspected prompt parts runs", zap.Strings("parts", quarantine.Strings(parts)),
		zap.String("permit", other.ID), zap.String("endpoint", other.Endpoint))
}

func (c *core) logHeld(w *queuedRequest, event string, cause ...zap.Field) {
	if w.holdLogged {
		return
	}
	w.holdLogged = true
	c.hooks.log.Info(event, append(cause, zap.String("request", w.req.RequestID), zap.String("gateway", w.req.Gateway),
		logging.FingerprintField(w.req.Fingerprint))...)
}

func (c *core) logLoss(e *engine, p *Permit) {
	c.hooks.log.Info("answer lost", zap.String("permit", p.ID), logging.FingerprintField(p.Fingerprint), zap.String("endpoint", p.Endpoint),
		zap.String("incarnation", p.Incarnation), zap.String("known_incarnation", e.incarnation))
}

// logLossDismissed logs a loss that leads to no strike, because the engine outlived it.
func (c *core) logLossDismissed(e *engine, l *loss, pollStartedAt time.Duration) {
	c.hooks.log.Info("engine outlived a lost answer", zap.String("permit", l.permit.ID), logging.FingerprintField(l.permit.Fingerprint),
		zap.String("endpoint", l.permit.Endpoint), zap.String("incarnation", l.permit.Incarnation),
		zap.String("known_incarnation", e.incarnation), zap.Duration("poll_began_after", pollStartedAt-l.at))
}

func (c *core) logDied(e *engine, cause string) {
	c.hooks.log.Info("engine died", zap.String("endpoint", e.spec.Name), zap.String("incarnation", e.incarnation),
		zap.Int("running", len(e.view.Running)), zap.String("cause", cause))
}

func (c *core) logStrike(p *Permit, now time.Duration) {
	c.hooks.log.Info("strike", zap.String("permit", p.ID), logging.FingerprintField(p.Fingerprint), zap.String("endpoint", p.Endpoint),
		deathField(p.deathID()), zap.Int("strikes", c.suspects.Count(p.Fingerprint, now)))
}

// mergeStrikes merges strikes that a gateway reported, and logs each change in the number of
// strikes against a request.
func (c *core) mergeStrikes(strikes []policy.Strike, gateway string, now time.Duration) {
	for _, s := range strikes {
		before := c.suspects.Count(s.Fingerprint, now)
		c.suspects.Merge(s, now)
		if n := c.suspects.Count(s.Fingerprint, now); n != before {
			c.hooks.log.Info("strike learned", zap.String("gateway", gateway), logging.FingerprintField(s.Fingerprint), deathField(s.Death),
				zap.Int("strikes", n), zap.Duration("age", now-s.At))
		}
	}
}
