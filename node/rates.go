package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/enginerate"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// ownRates returns the rates of engines that this node announces.
func (n *Node) ownRates() []*exchangev1.EndpointRate { return rateMessages(n.fleet.OwnRates()) }

func rateMessages(own []fleet.EndpointRate) []*exchangev1.EndpointRate {
	rates := make([]*exchangev1.EndpointRate, 0, len(own))
	for _, r := range own {
		rates = append(rates, &exchangev1.EndpointRate{
			Key:              uint32(r.Key),
			StepUs:           uint32(r.Step.Microseconds()),
			PrefillPerSecond: uint32(r.PrefillPerSecond),
			Weight:           uint32(r.Weight),
			AgeMs:            uint32(max(r.Age.Milliseconds(), 0)),
		})
	}
	return rates
}

// applyPeerRates applies the rates of engines that another node has measured.
func (n *Node) applyPeerRates(s *exchangev1.NodeState) {
	if len(s.GetRates()) > 0 {
		n.fleet.SetRemoteRates(s.GetAddress(), reportedRates(s))
	}
}

func reportedRates(s *exchangev1.NodeState) []fleet.EndpointRate {
	rates := make([]fleet.EndpointRate, 0, len(s.GetRates()))
	for _, r := range s.GetRates() {
		rates = append(rates, fleet.EndpointRate{Key: fleet.EndpointKey(r.GetKey()), Report: enginerate.Report{
			Step:             time.Duration(r.GetStepUs()) * time.Microsecond,
			PrefillPerSecond: float64(r.GetPrefillPerSecond()),
			Weight:           int(r.GetWeight()),
			Age:              time.Duration(r.GetAgeMs()) * time.Millisecond,
		}})
	}
	return rates
}

// logRatesChange logs that the engines of a service differ in speed, or no longer do.
func (n *Node) logRatesChange(c fleet.RatesChange) {
	event := "engines no longer differ in speed"
	if c.Different {
		metrics.Count("engine_rates_active")
		event = "engines differ in speed"
	}
	n.log.Info(event, zap.String("service", c.Service), zap.Float64("ratio", c.Ratio), zap.Int("engines", c.Engines),
		zap.Duration("step", c.Step), zap.Float64("prefill_per_second", c.PrefillPerSecond))
}
