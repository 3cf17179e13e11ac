package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

const (
	// minPingTimeout is the lower bound of the timeout of one ping: a busy machine answers late,
	// and a false suspicion costs more than a late one.
	minPingTimeout = 400 * time.Millisecond
	// reconnectEvery is the number of probe rounds of which one goes to a lost member in place of a
	// neighbour.
	reconnectEvery = 3
	// maxConcurrentProbes bounds the concurrent probes. Probes of dead members take longer than the
	// probe interval.
	maxConcurrentProbes = 6
)

var errUnexpectedMember = eris.New("ping answered without a record of the expected member")

// probeLoop probes one member in each interval, so the number of messages does not depend on the
// number of members.
func (c *Controller) probeLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConcurrentProbes)
	start := func(f func()) {
		select {
		case slots <- struct{}{}:
		default:
			metrics.Count("probe_skipped")
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			f()
		})
	}
	for round := 0; sleepWithJitter(ctx, c.probeInterval()); round++ {
		if lost := c.tick(round); lost != nil {
			start(func() { _ = c.ping(ctx, lost.ControllerAddress, lost.Id) })
		} else if target := c.nextTarget(); target != nil {
			start(func() { c.probe(ctx, target) })
		}
	}
}

// tick applies the table's timeouts. In every reconnectEvery-th round it returns a lost member, if
// there is one, to probe in place of a neighbour.
func (c *Controller) tick(round int) *peerv1.Member {
	var lost *peerv1.Member
	c.withState(func(s *state) {
		s.dirty = s.table.Tick(c.now()) || s.dirty
		if round%reconnectEvery == reconnectEvery-1 {
			lost = lostMember(s)
		}
	})
	return lost
}

func (c *Controller) nextTarget() *peerv1.Member {
	var target *peerv1.Member
	c.withState(func(s *state) { target = s.table.NextTarget() })
	return target
}

// lostMember returns a random one of these members: a dead member, or a VM of the platform's list
// that is not known to be live; nil if there is none. After a network partition has healed, each
// side still considers the other side dead, and no other probe would contact it.
func lostMember(s *state) *peerv1.Member {
	var lost []*peerv1.Member
	for _, vm := range s.seeds {
		r := s.table.Record(vm.ID)
		if vm.ID != s.table.Self().Id && (r == nil || r.State == peerv1.MemberState_MEMBER_STATE_DEAD) {
			lost = append(lost, &peerv1.Member{Id: vm.ID, ControllerAddress: vm.PeerAddress})
		}
	}
	if dead := s.table.RandomDead(); dead != nil {
		lost = append(lost, dead)
	}
	if len(lost) == 0 {
		return nil
	}
	return lost[rand.IntN(len(lost))]
}

// probe pings the target, directly and then through other members. The target becomes suspect only
// if all of them fail, since one broken link must not remove a member.
func (c *Controller) probe(ctx context.Context, target *peerv1.Member) {
	err := c.ping(ctx, target.ControllerAddress, target.Id)
	if err == nil || ctx.Err() != nil {
		return
	}
	metrics.Count("probe_failed")
	if c.probeIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	c.withState(func(s *state) {
		if s.table.Suspect(target.Id, c.now()) {
			s.dirty = true
			metrics.Count("member_suspected")
			c.log.Info("member suspected", zap.String("member", target.Id), zap.Error(err))
		}
	})
}

// pingTimeout is the timeout of one ping.
func (c *Controller) pingTimeout() time.Duration { return max(c.probeInterval(), minPingTimeout) }

// ping exchanges updates with the member at address. With an empty id, a response of any member is
// accepted.
func (c *Controller) ping(ctx context.Context, address, id string) error {
	req := &peerv1.PingRequest{}
	if !c.withState(func(s *state) { c.fillPing(s, req, id) }) {
		return context.Canceled
	}
	ctx, cancel := context.WithTimeout(ctx, c.pingTimeout())
	defer cancel()
	metrics.Count("probe_sent")
	res, err := c.opts.Transport.Ping(ctx, address, req)
	if err != nil {
		return err
	}
	if len(res.Updates) == 0 || (id != "" && res.Updates[0].GetId() != id) {
		// The address may belong to a new VM. Its response says nothing about the member that was
		// probed.
		return errUnexpectedMember
	}
	answered := res.Updates[0].GetId()
	c.withState(func(s *state) {
		c.applyAll(s, res.Updates)
		s.table.MarkReachable(answered)
	})
	c.fetchIfNewer(address, res.ConfigVersion)
	return nil
}

// fillPing fills in the request. If the target is not recorded as alive, its record is included,
// since only the target can refute it.
func (c *Controller) fillPing(s *state, req *peerv1.PingRequest, target string) {
	req.From = s.table.Self()
	req.ConfigVersion = s.config.GetVersion()
	if r := s.table.Record(target); r != nil && r.State != peerv1.MemberState_MEMBER_STATE_ALIVE {
		req.Updates = append(req.Updates, r)
	}
	req.Updates = append(req.Updates, s.table.Updates()...)
}

func (c *Controller) applyAll(s *state, updates []*peerv1.Member) {
	for _, m := range updates {
		if s.table.Apply(m, c.now()) {
			s.dirty = true
		}
	}
}

// probeIndirectly reports whether one of a few other members reaches the target.
func (c *Controller) probeIndirectly(ctx context.Context, target *peerv1.Member) bool {
	var probers []*peerv1.Member
	req := &peerv1.IndirectPingRequest{TargetAddress: target.ControllerAddress, TargetId: target.Id}
	c.withState(func(s *state) {
		probers = s.table.IndirectProbers(target.Id)
		req.From = s.table.Self()
	})
	ctx, cancel := context.WithTimeout(ctx, 2*c.pingTimeout())
	defer cancel()
	results := make(chan bool, len(probers))
	for _, p := range probers {
		go func() {
			res, err := c.opts.Transport.IndirectPing(ctx, p.ControllerAddress, req)
			results <- err == nil && res.Reached
		}()
	}
	for range probers {
		if <-results {
			return true
		}
	}
	return false
}

// pushLoop sends changes to the neighbours as soon as they occur. Rounds run one at a time; changes
// during a round are sent together in the next.
func (c *Controller) pushLoop(ctx context.Context) {
	for {
		select {
		case <-c.pushSignal:
			c.pushNeighbours(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pushNeighbours sends a change to all neighbours. Their number is fixed, and each forwards the
// change with its own probes.
func (c *Controller) pushNeighbours(ctx context.Context) {
	var neighbours []*peerv1.Member
	c.withState(func(s *state) { neighbours = s.table.Neighbours() })
	var wg sync.WaitGroup
	for _, n := range neighbours {
		wg.Go(func() { _ = c.ping(ctx, n.ControllerAddress, n.Id) })
	}
	wg.Wait()
}
