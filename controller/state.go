package controller

import (
	"github.com/crocusreel/crocusreel/controller/membership"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
)

// state is owned by the goroutine of stateLoop.
type state struct {
	table  *membership.Table
	config *peerv1.ConfigDocument
	// seeds are the VMs of the platform's list.
	seeds []platform.VM
	// gateway is the open Watch stream of this VM's gateway; nil without one.
	gateway *gatewayStream
	// gatewayLeaving (requested by the gateway) and drained (requested by an operator) are the
	// reasons for which the VM is leaving.
	gatewayLeaving bool
	drained        bool
	// dirty is set by changes that are visible in a snapshot.
	dirty bool
}

// gatewayStream identifies one open Watch stream.
type gatewayStream struct {
	request *peerv1.WatchRequest
}

// Snapshot is an immutable view of the state.
type Snapshot struct {
	// Self is this VM's own record.
	Self *peerv1.Member
	// Members are all members that are not dead, including this VM, sorted by ID.
	Members []*peerv1.Member
	// Config is the configuration in force; nil before the first.
	Config *peerv1.ConfigDocument
	// changed is closed when a newer snapshot has been stored.
	changed chan struct{}
}

func newSnapshot(table *membership.Table, config *peerv1.ConfigDocument) *Snapshot {
	return &Snapshot{Self: table.Self(), Members: table.Live(), Config: config, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a newer snapshot is available.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// Version returns the version of the configuration in force, 0 before the first.
func (s *Snapshot) Version() uint64 { return s.Config.GetVersion() }

// Snapshot returns the latest snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// publish stores a new snapshot if the state has changed. It is called only by the goroutine that
// owns the state.
func (c *Controller) publish(s *state) {
	if !s.dirty {
		return
	}
	s.dirty = false
	old := c.snapshot.Load()
	c.snapshot.Store(newSnapshot(s.table, s.config))
	close(old.changed)
}

// updateSelf recomputes this VM's own record from the gateway's stream and the reasons for leaving.
func (c *Controller) updateSelf(s *state) {
	before := s.table.Self()
	s.table.UpdateSelf(func(m *peerv1.Member) {
		m.GatewayAddress, m.CallerAddress = "", ""
		if s.gateway != nil {
			m.GatewayAddress = s.gateway.request.GetGatewayAddress()
			m.CallerAddress = s.gateway.request.GetCallerAddress()
		}
		m.State = peerv1.MemberState_MEMBER_STATE_ALIVE
		if s.gatewayLeaving || s.drained {
			m.State = peerv1.MemberState_MEMBER_STATE_LEAVING
		}
	})
	if s.table.Self() != before {
		s.dirty = true
		c.triggerPush()
	}
}
