package gossip

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// roundSchedule is the schedule of regular rounds to a group of nodes.
type roundSchedule struct {
	// members is the number of nodes that determines the period: those of this data centre for the
	// near group, and all nodes for the far one, since traffic between data centres is expensive.
	members int
	// lastStart is when the last regular round to the whole group began.
	lastStart time.Duration
}

// period returns the time between two regular rounds.
func (r *roundSchedule) period() time.Duration {
	return interval * time.Duration(max(r.members, fullRateNodes)) / fullRateNodes
}

// liveTime returns how long a node of the group counts as live after its last datagram.
func (r *roundSchedule) liveTime() time.Duration {
	return max(min(livePeriods*r.period(), maxLiveTime), minLivePeriods*r.period())
}

// startIfDue reports whether a round is due, and if so records that it begins now.
func (r *roundSchedule) startIfDue(now time.Duration) bool {
	if now-r.lastStart < r.period() {
		return false
	}
	r.lastStart = now
	return true
}

// recipientFilter selects the nodes that must receive a change at once. Newly discovered nodes are
// sent it in any case.
type recipientFilter struct {
	all         bool
	dataCentres map[string]bool
}

func (f *recipientFilter) addDataCentre(dataCentre string) {
	if f.dataCentres == nil {
		f.dataCentres = make(map[string]bool)
	}
	f.dataCentres[dataCentre] = true
}

func (f *recipientFilter) includes(dataCentre string) bool { return f.all || f.dataCentres[dataCentre] }

func (g *Gossip) requestRound() {
	select {
	case g.roundRequested <- struct{}{}:
	default:
	}
}

// waitForRound blocks until the next round is due or requested. It returns false if ctx is
// cancelled.
func (g *Gossip) waitForRound(ctx context.Context) bool {
	due := time.NewTimer(g.untilRegularRound())
	defer due.Stop()
	if !g.waitMinGap(ctx) {
		return false
	}
	select {
	case <-due.C:
	case <-g.roundRequested:
	case <-ctx.Done():
		return false
	}
	return true
}

// waitMinGap enforces the minimum gap between two rounds. It returns false if ctx is cancelled.
func (g *Gossip) waitMinGap(ctx context.Context) bool {
	minGap := time.NewTimer(minRoundGap)
	defer minGap.Stop()
	if !retry.Sleep(ctx, minUrgentRoundGap) {
		return false
	}
	select {
	case <-minGap.C:
	case <-g.urgent:
	case <-ctx.Done():
		return false
	}
	return true
}

// untilRegularRound returns the time until the next regular round is due.
func (g *Gossip) untilRegularRound() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(g.near.lastStart+g.near.period(), g.far.lastStart+g.far.period()) - g.opts.Now()
}

// scheduleLocked returns the schedule of the group of p. A node that has not sent a state yet has
// no known data centre and counts as far. The caller holds g.mu.
func (g *Gossip) scheduleLocked(p *peer) *roundSchedule {
	if p.DataCentre == g.opts.DataCentre {
		return &g.near
	}
	return &g.far
}

// recipients are the addresses to send to in one round, by the content of the datagram.
type recipients struct {
	// brief nodes are sent the state without its addresses; full ones are sent the full state and a
	// few addresses of other nodes. discovered nodes, which have just become live or restarted, are
	// sent more of these addresses. probed nodes are not live and are sent no addresses of others:
	// a node that responds learns these from the full datagram that follows.
	brief, full, discovered, probed []string
}

// sendRound sends the state of this node to every node that is due.
func (g *Gossip) sendRound(conn net.PacketConn) {
	to, sent := g.prepareRound()
	if sent != nil {
		defer close(sent)
	}
	g.send(conn, to.brief, func(s *exchangev1.NodeState) { removeAddresses(s) })
	g.send(conn, to.full, func(s *exchangev1.NodeState) { s.Known = g.liveAddresses(maxKnownRegular) })
	g.send(conn, to.discovered, func(s *exchangev1.NodeState) { s.Known = g.liveAddresses(maxKnownDiscovered) })
	g.send(conn, to.probed, func(*exchangev1.NodeState) {})
}

// send sends one datagram to each target. shape adapts the state to this kind of recipient.
func (g *Gossip) send(conn net.PacketConn, targets []string, shape func(*exchangev1.NodeState)) {
	if len(targets) == 0 {
		return
	}
	data := g.encode(shape)
	for _, address := range targets {
		to := &net.UDPAddr{IP: net.ParseIP(address), Port: g.opts.Port}
		if _, err := conn.WriteTo(data, to); err != nil {
			metrics.Count("gossip_send_failed")
		}
	}
}

// takePending returns the recipients of pending changes, and the channel to close once they have been
// sent, and clears them.
func (g *Gossip) takePending() (recipientFilter, chan struct{}) {
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	filter, sent := g.pending, g.sent
	g.pending, g.sent = recipientFilter{}, nil
	return filter, sent
}

// prepareRound returns the nodes to send to and the channel to close afterwards, nil for none, and
// calls OnLost for those that have become silent.
func (g *Gossip) prepareRound() (recipients, chan struct{}) {
	filter, sent := g.takePending()
	to, lost := g.selectRecipients(filter)
	for _, address := range lost {
		g.opts.OnLost(address)
	}
	return to, sent
}

// selectRecipients selects the recipients of a round and removes nodes that have been silent for
// forgetAfter. lost are the nodes that were live until now.
func (g *Gossip) selectRecipients(filter recipientFilter) (to recipients, lost []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	if g.near.startIfDue(now) {
		filter.addDataCentre(g.opts.DataCentre)
	}
	farDue := g.far.startIfDue(now)
	nearCount := 0
	for address, p := range g.peers {
		schedule := g.scheduleLocked(p)
		if schedule == &g.near {
			nearCount++
		}
		silence := now - max(p.lastReceived, p.addedAt)
		if p.live && silence >= schedule.liveTime() {
			p.live, p.lastFullSent = false, 0
			g.opts.Log.Info("node lost", zap.String("node", address), zap.Duration("quiet", silence))
			lost = append(lost, address)
			g.liveCache = nil
		}
		switch {
		case silence >= forgetAfter:
			delete(g.peers, address)
		case p.live:
			if filter.includes(p.DataCentre) || (farDue && schedule == &g.far) || p.lastFullSent == 0 {
				to.addLive(address, p, now, max(fullStateInterval, fullStateMinRounds*schedule.period()))
			}
		case p.lastProbe == 0 || now-p.lastProbe >= p.probeGap:
			if p.lastProbe != 0 {
				p.probeGap = min(2*p.probeGap, probeInterval)
			}
			p.lastProbe = now
			to.probed = append(to.probed, address)
		}
	}
	g.near.members, g.far.members = nearCount, len(g.peers)
	g.peerCount.Store(int32(len(g.peers)))
	return to, lost
}

// addLive adds a live node. It is sent a full datagram if it is newly discovered or if its last one
// is at least fullInterval old.
func (r *recipients) addLive(address string, p *peer, now, fullInterval time.Duration) {
	switch {
	case p.lastFullSent == 0:
		r.discovered = append(r.discovered, address)
	case now-p.lastFullSent >= fullInterval:
		r.full = append(r.full, address)
	default:
		r.brief = append(r.brief, address)
		return
	}
	p.lastFullSent = now
}

// liveAddresses returns at most the given number of addresses of live nodes. The iteration order of
// maps is random, so each call returns different ones.
func (g *Gossip) liveAddresses(limit int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []string
	for address, p := range g.peers {
		if p.live && len(known) < limit {
			known = append(known, address)
		}
	}
	return known
}

// encode returns the encoded state of this node with the next sequence number.
func (g *Gossip) encode(shape func(*exchangev1.NodeState)) []byte {
	state := g.opts.State()
	shape(state)
	g.mu.Lock()
	g.sequence++
	state.Sequence = g.sequence
	g.mu.Unlock()
	data, err := proto.Marshal(state)
	if err == nil && len(data) > maxDatagramBytes && len(state.GetWorkspaceUse()) > 0 {
		// Without these entries, other nodes keep the previous ones, decaying.
		state.WorkspaceUse = nil
		metrics.Count("gossip_workspace_use_cut")
		data, err = proto.Marshal(state)
	}
	for err == nil && len(data) > maxDatagramBytes && len(state.GetLoads()) > 0 {
		// A node with work on very many endpoints sends the loads of the first ones only. Other
		// nodes then slightly underestimate the load of the remaining endpoints.
		state.Loads = state.GetLoads()[:len(state.GetLoads())/2]
		metrics.Count("gossip_loads_cut")
		data, err = proto.Marshal(state)
	}
	if err != nil {
		metrics.Count("gossip_encode_failed")
	}
	return data
}

// removeAddresses removes the fields that change only with a new incarnation.
func removeAddresses(s *exchangev1.NodeState) {
	s.Brief = true
	s.CallerAddress, s.PeerAddress, s.DataCentre = "", "", ""
}
