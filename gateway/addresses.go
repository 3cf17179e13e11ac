package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// maxAddresses bounds the number of addresses in an answer.
const maxAddresses = 8

// Addresses implements caller.Core. Gateways of this data centre come first, then those of the
// region, then all others. Gateways at the same distance are shuffled, since callers that all used
// the first address would overload one gateway. A gateway that is leaving is not included.
func (g *Gateway) Addresses() ([]string, time.Duration) {
	var members []*peerv1.Member
	if s := g.state.Load(); s != nil {
		members = slices.Clone(s.members)
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b *peerv1.Member) int { return g.distance(a) - g.distance(b) })
	addresses := []string{}
	for _, m := range members {
		if len(addresses) < maxAddresses && g.mayAdvertise(m) {
			addresses = append(addresses, m.GetCallerAddress())
		}
	}
	g.drain.recordAddressAnswer()
	return addresses, g.settings.addressTTL
}

// mayAdvertise reports whether callers may be sent to the member. It checks the drain state of this
// gateway itself, because the local controller may not have published yet that this gateway is
// leaving.
func (g *Gateway) mayAdvertise(m *peerv1.Member) bool {
	if m.GetCallerAddress() == "" || m.GetState() != peerv1.MemberState_MEMBER_STATE_ALIVE {
		return false
	}
	return m.GetId() != g.settings.vm.ID || !g.drain.leaving()
}

func (g *Gateway) distance(m *peerv1.Member) int {
	switch {
	case m.GetDataCentre() == g.settings.vm.DataCentre:
		return 0
	case m.GetRegion() == g.settings.vm.Region:
		return 1
	default:
		return 2
	}
}
