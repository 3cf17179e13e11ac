package tests

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// leaseDuration is the duration of the controllers' lease on orders in a rig.
const leaseDuration = 2 * time.Second

// documentWithModels returns the rig's configuration with the models of each engine replaced by the
// given ones.
func documentWithModels(r *rig.Rig, models map[string][]string) config.Document {
	doc := r.Document()
	for _, e := range r.Engines {
		entry := fmt.Sprintf("name = %q\nkind = \"engine\"\n", e.Name)
		begin := strings.Index(doc.Base, entry)
		rest := doc.Base[begin:]
		line := rest[strings.Index(rest, "models = "):]
		line = line[:strings.Index(line, "\n")]
		quoted := strings.ReplaceAll(fmt.Sprintf("models = %q", models[e.Name]), `" "`, `", "`)
		doc.Base = doc.Base[:begin] + strings.Replace(rest, line, quoted, 1)
	}
	return doc
}

// leaseHolder returns the VM whose controller holds the orders lease, or nil if none does.
func leaseHolder(ctx context.Context, r *rig.Rig) *rig.VM {
	for _, v := range r.VMs {
		status, err := r.Operator(v).Status(ctx)
		if err == nil && status.Lease.HeldHere {
			return v
		}
	}
	return nil
}

func loadedModels(ctx context.Context, e *rig.Endpoint) []string {
	state, err := endpoint.NewEngine(e.Address, endpoint.Options{}).State(ctx)
	if err != nil {
		return nil
	}
	var names []string
	for _, m := range state.Models {
		names = append(names, m.Model)
	}
	slices.Sort(names)
	return names
}

// watchModelCopies polls the engines until the context ends and records models that no engine has
// loaded. Each round reads all engines twice, so that a model that moves between two reads is not
// counted as lost. The returned function waits for the end and returns the records.
func watchModelCopies(ctx context.Context, r *rig.Rig, names []string) func() []string {
	var mu sync.Mutex
	var lost []string
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			var found []string
			for _, e := range append(slices.Clone(r.Engines), r.Engines...) {
				found = append(found, loadedModels(ctx, e)...)
			}
			for _, name := range names {
				if ctx.Err() == nil && !slices.Contains(found, name) {
					mu.Lock()
					lost = append(lost, fmt.Sprintf("%s not loaded at %s", name, time.Now().Format(time.StampMilli)))
					mu.Unlock()
				}
			}
			time.Sleep(pollInterval)
		}
	})
	return func() []string {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return lost
	}
}

// ordersAt returns the orders that an engine carried out, in order.
func ordersAt(ctx context.Context, e *rig.Endpoint) []admin.OrderRecord {
	GinkgoHelper()
	all, err := e.Admin.Orders(ctx)
	Expect(err).NotTo(HaveOccurred())
	return slices.DeleteFunc(all, func(o admin.OrderRecord) bool { return !o.Applied })
}

// expectLoadsReserved checks that every load order has a reservation of its own at the weight
// store, and that the reservation had started when the load began.
func expectLoadsReserved(ctx context.Context, r *rig.Rig) {
	GinkgoHelper()
	granted, err := r.Platform.Admin.Reservations(ctx)
	Expect(err).NotTo(HaveOccurred())
	slices.SortFunc(granted, func(a, b admin.Reservation) int { return a.StartAt.Compare(b.StartAt) })
	var loads []time.Time
	for _, e := range r.Engines {
		for _, o := range ordersAt(ctx, e) {
			if o.Order.Verb == "load" {
				loads = append(loads, o.At)
			}
		}
	}
	slices.SortFunc(loads, func(a, b time.Time) int { return a.Compare(b) })
	Expect(len(loads)).To(BeNumerically("<=", len(granted)))
	for i, at := range loads {
		Expect(at).To(BeTemporally(">=", granted[i].StartAt), "load %d started before its reservation", i)
	}
}

var _ = Describe("Orders to engines", Ordered, func() {
	// The controller that holds the orders lease freezes repeatedly in the middle of a change, past
	// the end of its lease; another one takes over, the configuration changes, and the frozen one
	// resumes with its old orders. One engine rejects old fencing tokens and one does not. If an
	// old unload order were carried out, a model that callers wait for would be gone.
	It("never come from a holder whose lease is over, and keep a copy of each model", func(ctx SpecContext) {
		spec := twoDataCentres()
		spec.VMs = append(spec.VMs, rig.VMSpec{ID: "vm3", DataCentre: "dc1"})
		spec.Engines[0].ChecksFence = true
		spec.Engines[0].Models = []string{"m", "n"}
		spec.Engines[1].Models = []string{"m"}
		spec.PlatformArgs = []string{"--weight-bytes-per-s", "4e9", "--model-bytes", "1000000000"}
		r := startRig(spec)
		watchCtx, stop := context.WithCancel(ctx)
		defer stop()
		lost := watchModelCopies(watchCtx, r, []string{"m", "n"})

		placementA := map[string][]string{"e1": {"m", "n"}, "e2": {"m"}}
		placementB := map[string][]string{"e1": {"m"}, "e2": {"n"}}
		version := uint64(1)
		apply := func(v *rig.VM, placement map[string][]string) {
			GinkgoHelper()
			next, err := r.Apply(ctx, v, version, documentWithModels(r, placement))
			Expect(err).NotTo(HaveOccurred())
			version = next
		}
		for round := range 3 {
			var frozen *rig.VM
			Eventually(func() *rig.VM { frozen = leaseHolder(ctx, r); return frozen }).ShouldNot(BeNil())
			other := r.VMs[(slices.Index(r.VMs, frozen)+1)%len(r.VMs)]
			apply(frozen, placementB)
			time.Sleep(time.Duration(round) * 400 * time.Millisecond)
			frozen.Controller.Freeze()
			apply(other, placementA)
			time.Sleep(2 * leaseDuration)
			apply(other, placementB)
			time.Sleep(200 * time.Millisecond)
			frozen.Controller.Thaw()
			time.Sleep(leaseDuration / 2)
			apply(other, placementA)
		}
		for _, e := range r.Engines {
			Eventually(func() []string { return loadedModels(ctx, e) }).Should(Equal(placementA[e.Name]), e.Name)
		}
		stop()
		Expect(lost()).To(BeEmpty())
		orders := 0
		for _, e := range r.Engines {
			applied := ordersAt(ctx, e)
			orders += len(applied)
			Expect(slices.IsSortedFunc(applied, func(a, b admin.OrderRecord) int {
				return cmp.Compare(a.Order.Fence, b.Order.Fence)
			})).To(BeTrue(), "%s carried out an order with an old fencing token: %+v", e.Name, applied)
		}
		Expect(orders).To(BeNumerically(">", 3))
		expectLoadsReserved(ctx, r)
	}, SpecTimeout(2*time.Minute))
})
