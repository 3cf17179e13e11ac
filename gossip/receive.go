package gossip

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// receive reads datagrams and passes new states to OnState until ctx is cancelled.
func (g *Gossip) receive(ctx context.Context, conn net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			metrics.Count("gossip_receive_failed")
			time.Sleep(time.Millisecond)
			continue
		}
		state := &exchangev1.NodeState{}
		if err := proto.Unmarshal(buf[:n], state); err != nil {
			metrics.Count("gossip_malformed")
			continue
		}
		if g.recordState(state) {
			g.opts.OnState(state)
		}
	}
}

// recordState records a state. It returns false if the state is not newer than the last one of its
// node, or is brief although the addresses of that incarnation are not known.
func (g *Gossip) recordState(s *exchangev1.NodeState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addLocked(s.GetAddress())
	if p == nil {
		return false
	}
	stale := s.GetIncarnation() == p.incarnation && s.GetSequence() <= p.sequence
	// Incarnations come from the time of day, which may have been set back before a restart. A lower
	// one is an earlier one only if it arrives soon after the known one was first heard.
	earlier := s.GetIncarnation() < p.incarnation && g.opts.Now()-p.incarnationSince < maxDatagramDelay
	if stale || earlier {
		metrics.Count("gossip_stale")
		return false
	}
	if s.GetBrief() && s.GetIncarnation() != p.incarnation {
		// The addresses arrive with the next full datagram. Probing the sender at once
		// prompts it to send one.
		p.live, p.lastProbe, p.lastFullSent = false, 0, 0
		g.liveCache = nil
		g.requestRound()
		return false
	}
	before, wasLive := p.Peer, p.live
	newIncarnation := s.GetIncarnation() != p.incarnation
	defer func() {
		if p.Peer != before || !wasLive {
			g.liveCache = nil
		}
	}()
	if newIncarnation {
		p.incarnationSince = g.opts.Now()
	}
	p.incarnation, p.sequence = s.GetIncarnation(), s.GetSequence()
	p.lastReceived = g.opts.Now()
	lost := NewServiceSet(s.GetLostServices())
	if !p.live || p.Ready != s.GetReady() || p.Leaving != s.GetLeaving() || p.Lost != lost {
		g.opts.Log.Info("node heard", zap.String("node", s.GetAddress()), zap.Bool("ready", s.GetReady()),
			zap.Bool("leaving", s.GetLeaving()), zap.Int("services_lost", lost.Len()), zap.Uint64("incarnation", s.GetIncarnation()))
	}
	if !p.live || newIncarnation {
		// A node that was not live may have missed the addresses. One that has just started
		// knows the seeds only and waits for their response.
		p.lastFullSent = 0
		g.requestRound()
	}
	p.live = true
	p.Ready, p.Leaving, p.Store = s.GetReady(), s.GetLeaving(), s.GetStore()
	p.Forwards = s.GetForwards()
	p.Lost, p.Reached = lost, NewServiceSet(s.GetReachedServices())
	if s.GetBrief() {
		return true
	}
	p.Address, p.CallerAddress, p.PeerAddress = s.GetAddress(), s.GetCallerAddress(), s.GetPeerAddress()
	p.DataCentre = s.GetDataCentre()
	for _, address := range s.GetKnown() {
		g.addLocked(address)
	}
	return true
}
