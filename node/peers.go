package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fairshare"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/relay"
)

// state returns the state of this node as announced to the others.
func (n *Node) state() *exchangev1.NodeState {
	s := &exchangev1.NodeState{
		Address:       n.settings.IP,
		CallerAddress: n.settings.CallerAddress,
		PeerAddress:   n.settings.PeerAddress,
		DataCentre:    n.settings.DataCentre,
		Incarnation:   n.incarnation,
		Ready:         n.ready(),
		Leaving:       n.gate.Leaving(),
		Store:         n.storeLink(),

		Forwards:        true,
		LostServices:    serviceKeys(n.reach.Services(reach.Lost)),
		ReachedServices: serviceKeys(n.reach.Services(reach.Reached)),
	}
	for _, l := range n.fleet.OwnLoads() {
		s.Loads = append(s.Loads, &exchangev1.EndpointLoad{
			Key:      uint32(l.Key),
			Count:    uint32(max(l.Count, 0)),
			Tokens:   uint32(max(l.Tokens, 0)),
			Unread:   uint32(max(l.PendingPrefill, 0)),
			Arriving: uint32(max(l.IncomingTokens, 0)),
			Held:     uint32(max(l.BackupTokens, 0)),
		})
	}
	for _, w := range n.fleet.OwnWaiting() {
		s.Waiting = append(s.Waiting, &exchangev1.WaitingWork{
			Line:     uint32(w.Queue),
			Rank:     uint32(max(w.Rank, 0)),
			WaitedMs: uint32(max(w.Waited.Milliseconds(), 0)),

			Workspace: uint32(w.Workspace),
			Tokens:    uint32(max(w.Tokens, 0)),
		})
	}
	s.Backlogs = encodeBacklogs(n.fleet.OwnBacklogs())
	s.WorkspaceUse = n.workspaceUse()
	for _, key := range n.fleet.UnhealthyKeys() {
		s.LeavingEndpoints = append(s.LeavingEndpoints, uint32(key))
	}
	for _, key := range n.fleet.OwnLeaving() {
		s.AnnouncedLeaving = append(s.AnnouncedLeaving, uint32(key))
	}
	for _, l := range n.fleet.OwnLimits() {
		s.Limits = append(s.Limits, &exchangev1.EndpointLimit{
			Key: uint32(l.Key), Limited: l.Limited, RequestsPerSecond: l.Limit, AgeMs: uint32(l.Age.Milliseconds()),
		})
	}
	for _, b := range n.fleet.OwnBrittle() {
		s.Brittle = append(s.Brittle, &exchangev1.BrittleService{
			Service: b.Service, RejectionsPerSecond: b.PerSecond, AgeMs: uint32(b.Age.Milliseconds()),
		})
	}
	for _, r := range n.fleet.OwnRejections() {
		s.Rejections = append(s.Rejections, &exchangev1.EndpointRejections{Key: uint32(r.Key), Count: r.Count})
	}
	s.Unreachable = n.ownUnreachable()
	s.Rates = n.ownRates()
	claims, strikes := n.relay.OwnClaimsAndStrikes()
	for _, c := range claims {
		s.Claims = append(s.Claims, &exchangev1.Claim{Work: uint64(c.Work), Id: c.ID, Running: c.Running})
	}
	for _, k := range strikes {
		s.Strikes = append(s.Strikes, &exchangev1.Strike{Work: uint64(k.Work), Endpoint: k.Endpoint})
	}
	n.reportRetries(s)
	// The crash of a run with suspected parts is recorded before its claims are dropped.
	n.quarantineReport(s)
	for _, run := range n.relay.Vacated.OwnRecent(vacatedAnnouncePeriod) {
		s.Vacated = append(s.Vacated, uint32(run))
	}
	return s
}

func serviceKeys(names []string) []uint32 {
	keys := make([]uint32, 0, len(names))
	for _, name := range names {
		keys = append(keys, uint32(gossip.KeyOf(name)))
	}
	return keys
}

// announce sends this node's state at once to the nodes of a data centre, or to all nodes if
// dataCentre is empty.
func (n *Node) announce(dataCentre string) {
	if dataCentre == "" {
		n.gossip.AnnounceAll()
		return
	}
	n.gossip.Announce(dataCentre)
}

// vacatedAnnouncePeriod is how long a node announces that a run has left its engine: the time of
// several datagrams.
const vacatedAnnouncePeriod = 600 * time.Millisecond

// applyPeerState applies the state announced by another node.
func (n *Node) applyPeerState(s *exchangev1.NodeState) {
	loads := make([]fleet.Load, 0, len(s.GetLoads()))
	for _, l := range s.GetLoads() {
		loads = append(loads, fleet.Load{
			Key:            fleet.EndpointKey(l.GetKey()),
			Count:          int(l.GetCount()),
			Tokens:         int(l.GetTokens()),
			PendingPrefill: int(l.GetUnread()),
			IncomingTokens: int(l.GetArriving()),
			BackupTokens:   int(l.GetHeld()),
		})
	}
	waiting := make([]fleet.WaitingWork, 0, len(s.GetWaiting()))
	for _, w := range s.GetWaiting() {
		waiting = append(waiting, fleet.WaitingWork{
			Queue:  fleet.QueueKey(w.GetLine()),
			Rank:   int(w.GetRank()),
			Waited: time.Duration(w.GetWaitedMs()) * time.Millisecond,

			Workspace: fairshare.Key(w.GetWorkspace()),
			Tokens:    int(w.GetTokens()),
		})
	}
	n.applyPeerBacklogs(s)
	n.applyPeerUse(s)
	n.fleet.SetRemote(s.GetAddress(), loads, waiting)
	if s.GetStore() == exchangev1.StoreLink_STORE_LINK_LOST {
		n.uptime.RecordFailure()
	}
	n.applyPeerUnhealthy(s)
	n.applyPeerLeaving(s)
	n.applyPeerLimits(s)
	n.applyPeerBrittle(s)
	n.applyPeerUnreachable(s)
	n.applyPeerRates(s)
	n.applyPeerRetries(s)
	if len(s.GetVacated()) > 0 {
		runs := make([]relay.RunKey, 0, len(s.GetVacated()))
		for _, run := range s.GetVacated() {
			runs = append(runs, relay.RunKey(run))
		}
		n.relay.Vacated.Merge(runs)
	}
	for _, k := range s.GetStrikes() {
		n.relay.Strikes.Merge(relay.Fingerprint(k.GetWork()), k.GetEndpoint())
	}
	claims := make([]relay.Claim, 0, len(s.GetClaims()))
	for _, c := range s.GetClaims() {
		claims = append(claims, relay.Claim{Work: relay.Fingerprint(c.GetWork()), ID: c.GetId(), Running: c.GetRunning()})
	}
	n.applyPeerQuarantine(s)
	// Requests that wait for a claim to end must find the strike or crash that ended its run.
	n.relay.Claims.SetRemote(s.GetAddress(), claims)
}

// applyPeerUnhealthy applies which endpoints are leaving according to another node's health checks.
func (n *Node) applyPeerUnhealthy(s *exchangev1.NodeState) {
	for _, key := range s.GetLeavingEndpoints() {
		if n.fleet.MarkUnhealthy(fleet.EndpointKey(key)) {
			n.log.Info("endpoint leaves by another node's health check", zap.Uint32("endpoint_key", key),
				zap.String("node", s.GetAddress()))
		}
	}
}

// forgetPeer discards the work announced by a node that is no longer live.
func (n *Node) forgetPeer(address string) {
	n.fleet.ForgetNode(address)
	n.forwards.abort(address)
	n.relay.Claims.SetRemote(address, nil)
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := exchangev1.NewExchangeHandler(exchangeServer{n}, peer.HandlerOptions())
	mux.Handle(path, withResponseController(handler))
	return mux
}
