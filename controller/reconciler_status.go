package controller

import (
	"sort"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

// publishStatus publishes the state of the engines for the status method. While the lease is not
// held, nothing is published.
func (r *reconciler) publishStatus() {
	if !r.lease.held() {
		r.publishedStatus.Store(nil)
		return
	}
	list := make([]operator.EndpointStatus, 0, len(r.engines))
	for _, t := range r.engines {
		s := operator.EndpointStatus{Name: t.target.spec.Name, Reached: t.reached, Role: t.state.Role}
		for _, m := range t.state.Models {
			s.Models = append(s.Models, m.Model+"@"+m.Version)
		}
		if t.pending != nil {
			s.Pending = t.pending.Verb + " " + t.pending.Model
		}
		list = append(list, s)
	}
	r.publishedStatus.Store(&list)
}

// status lists the configured endpoints of all kinds, with the state that was last published for
// them.
func (r *reconciler) status() []operator.EndpointStatus {
	snapshot := r.c.Snapshot()
	if snapshot.Config == nil {
		return nil
	}
	doc, err := decodeDocument(snapshot.Config)
	if err != nil {
		return nil
	}
	compiled, err := config.Compile(doc, snapshot.Self.DataCentre)
	if err != nil {
		return nil
	}
	published := make(map[string]operator.EndpointStatus)
	if statuses := r.publishedStatus.Load(); statuses != nil {
		for _, s := range *statuses {
			published[s.Name] = s
		}
	}
	var list []operator.EndpointStatus
	for _, e := range compiled.Endpoints {
		s := published[e.Name]
		s.Name, s.Kind, s.Address = e.Name, string(e.Kind), e.Address
		s.DataCentre, s.Leaving = e.DataCentre, e.Leaving
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
