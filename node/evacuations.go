package node

import (
	"slices"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// applyEvacuationListing applies the evacuation orders of a full listing of the operator's table.
func (n *Node) applyEvacuationListing(l platform.Listing) {
	set := knowledge.EvacuationSet{Revision: l.Revision(), Orders: make(map[string]platform.Revision)}
	for _, order := range n.readEvacuations(l.Rows) {
		set.Orders[order.DataCentre] = order.Revision
	}
	if n.evacuations.Replace(set) {
		n.enforceEvacuations("store")
	}
}

// applyEvacuationChanges applies changes of the operator's table.
func (n *Node) applyEvacuationChanges(rows []platform.Row) {
	if len(n.evacuations.Apply(n.readEvacuations(rows))) > 0 {
		n.enforceEvacuations("store")
	}
}

// applyPeerEvacuations applies the evacuations known to another node. The configuration of the same
// answer must be applied first, because this node's own polls of the operator's table continue from
// the version of the evacuations.
func (n *Node) applyPeerEvacuations(received *exchangev1.Evacuations, address string) {
	if received == nil {
		return
	}
	set := knowledge.EvacuationSet{
		Revision: platform.Revision{Era: received.GetEra(), Version: received.GetVersion()},
		Orders:   make(map[string]platform.Revision, len(received.GetOrders())),
	}
	for _, order := range received.GetOrders() {
		set.Orders[order.GetDataCentre()] = platform.Revision{Era: order.GetEra(), Version: order.GetVersion()}
	}
	if n.evacuations.Replace(set) {
		n.enforceEvacuations(address)
	}
}

// maxFaultyRowsLogged bounds the number of faulty rows logged for one answer of the store.
const maxFaultyRowsLogged = 4

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
			if faulty++; faulty <= maxFaultyRowsLogged {
				n.log.Warn("evacuation row is faulty", zap.String("key", row.Key), zap.Int64("version", row.Version),
					zap.String("fault", read.Fault), zap.Bool("taken", read.DataCentre != ""))
			}
		}
		if read.DataCentre != "" {
			orders = append(orders, knowledge.EvacuationOrder{
				DataCentre: read.DataCentre, Revision: row.Revision(), Withdrawn: row.Deleted,
			})
		}
	}
	if faulty > maxFaultyRowsLogged {
		n.log.Warn("more evacuation rows are faulty; not logged individually", zap.Int("count", faulty-maxFaultyRowsLogged))
	}
	return orders
}

func (n *Node) knowsDataCentre(name string) bool {
	_, known := n.settings.Regions[name]
	return known
}

// enforceEvacuations puts the known set of evacuations into force and wakes waiting followers.
func (n *Node) enforceEvacuations(source string) {
	n.evacuationsMu.Lock()
	defer n.evacuationsMu.Unlock()
	set := n.evacuations.Current()
	names := set.DataCentres()
	n.fleet.Evacuate(names)
	n.changes.notify()
	if slices.Equal(names, n.evacuatedNames) && n.evacuatedNames != nil {
		return
	}
	n.evacuatedNames = names
	running := 0
	for _, e := range n.fleet.Evacuations() {
		running += e.Running
	}
	n.log.Info("evacuations known", zap.Strings("data_centres", names), zap.Int64("version", set.Revision.Version),
		zap.Int64("era", set.Revision.Era), zap.String("source", source), zap.Int("running_there", running))
	metrics.Gauge("data_centres_evacuated", int64(len(names)))
}

// endLostEvacuations ends the evacuations whose orders were lost in a restoration of the store and
// not given again within the time that the operator has for it.
func (n *Node) endLostEvacuations() {
	if n.restorations.GraceRemaining() > 0 {
		return
	}
	if lost := n.evacuations.DropLost(); len(lost) > 0 {
		n.log.Warn("evacuations ended: the store lost their orders and the operator has not given them again", zap.Strings("data_centres", lost))
		n.enforceEvacuations("store")
	}
}

// evacuationsMessage returns the evacuations for a node that has made the given request, or nil if
// that node is up to date.
func (n *Node) evacuationsMessage(req *exchangev1.SnapshotRequest) *exchangev1.Evacuations {
	set := n.evacuations.Current()
	known := platform.Revision{Era: req.GetEvacuationsEra(), Version: req.GetEvacuationsVersion()}
	if !newerThanAt(req, set.Revision, known) {
		return nil
	}
	message := &exchangev1.Evacuations{Version: set.Revision.Version, Era: set.Revision.Era}
	for _, name := range set.DataCentres() {
		order := set.Orders[name]
		message.Orders = append(message.Orders, &exchangev1.EvacuationOrder{DataCentre: name, Version: order.Version, Era: order.Era})
	}
	return message
}
