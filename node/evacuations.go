package node

import (
	"slices"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// evacuationsListed applies the evacuation orders of a full listing of the operator's table.
func (n *Node) evacuationsListed(l platform.Listing) {
	set := knowledge.EvacuationSet{Version: l.Version, Orders: make(map[string]int64)}
	for _, order := range n.readEvacuations(l.Rows) {
		set.Orders[order.DataCentre] = order.Version
	}
	if n.evacuations.Replace(set) {
		n.evacuationsKnown("store")
	}
}

// evacuationsChanged applies changes of the operator's table.
func (n *Node) evacuationsChanged(rows []platform.Row) {
	if len(n.evacuations.Apply(n.readEvacuations(rows))) > 0 {
		n.evacuationsKnown("store")
	}
}

// evacuationsFromPeer applies the evacuations known to another node. The configuration of the same
// answer must be applied first, because this node's own polls of the operator's table continue from
// the version of the evacuations.
func (n *Node) evacuationsFromPeer(told *exchangev1.Evacuations, address string) {
	if told == nil {
		return
	}
	set := knowledge.EvacuationSet{Version: told.GetVersion(), Orders: make(map[string]int64, len(told.GetOrders()))}
	for _, order := range told.GetOrders() {
		set.Orders[order.GetDataCentre()] = order.GetVersion()
	}
	if n.evacuations.Replace(set) {
		n.evacuationsKnown(address)
	}
}

// maxFaultLines bounds the number of faulty rows logged for one answer of the store.
const maxFaultLines = 4

func (n *Node) readEvacuations(rows []platform.Row) []knowledge.EvacuationOrder {
	var orders []knowledge.EvacuationOrder
	faulty := 0
	for _, row := range rows {
		read, ok := platform.ReadEvacuation(row)
		if !ok {
			continue
		}
		if read.Fault == "" && !row.Deleted && !n.knowsDataCentre(read.DataCentre) {
			read.Fault = "data centre is not in the settings"
		}
		if read.Fault != "" {
			metrics.Count("evacuation_row_faulty")
			if faulty++; faulty <= maxFaultLines {
				n.log.Warn("evacuation row is faulty", zap.String("key", row.Key), zap.Int64("version", row.Version),
					zap.String("fault", read.Fault), zap.Bool("taken", read.DataCentre != ""))
			}
		}
		if read.DataCentre != "" {
			orders = append(orders, knowledge.EvacuationOrder{
				DataCentre: read.DataCentre, Version: row.Version, Withdrawn: row.Deleted,
			})
		}
	}
	if faulty > maxFaultLines {
		n.log.Warn("further evacuation rows are faulty; not logged one by one", zap.Int("count", faulty-maxFaultLines))
	}
	return orders
}

func (n *Node) knowsDataCentre(name string) bool {
	_, known := n.settings.Regions[name]
	return known
}

// evacuationsKnown puts the known set of evacuations into force and wakes waiting followers.
func (n *Node) evacuationsKnown(source string) {
	n.evacuationsMu.Lock()
	defer n.evacuationsMu.Unlock()
	set := n.evacuations.Current()
	names := set.DataCentres()
	n.fleet.Evacuate(names)
	n.news.tell()
	if slices.Equal(names, n.evacuated) && n.evacuated != nil {
		return
	}
	n.evacuated = names
	running := 0
	for _, e := range n.fleet.Evacuations() {
		running += e.Running
	}
	n.log.Info("evacuations known", zap.Strings("data_centres", names), zap.Int64("version", set.Version),
		zap.String("source", source), zap.Int("running_there", running))
	metrics.Gauge("data_centres_evacuated", int64(len(names)))
}

// evacuationsMessage returns the evacuations for a node that knows the given version, or nil if
// that node is up to date.
func (n *Node) evacuationsMessage(known int64) *exchangev1.Evacuations {
	set := n.evacuations.Current()
	if set.Version <= known {
		return nil
	}
	told := &exchangev1.Evacuations{Version: set.Version}
	for _, name := range set.DataCentres() {
		told.Orders = append(told.Orders, &exchangev1.EvacuationOrder{DataCentre: name, Version: set.Orders[name]})
	}
	return told
}
