package tests

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/operator"
)

// callerKeyFor returns a caller key that is valid only under the given edit, so that a caller can
// observe which edit is in force.
func callerKeyFor(edit string) string { return "key-of-" + edit }

// documentForEdit returns the rig's configuration extended by the caller key of an edit.
func documentForEdit(r *rig.Rig, edit string) config.Document {
	doc := r.Document()
	doc.Base += fmt.Sprintf("[[workspaces]]\nname = \"probe\"\nkey_sha256 = [%q]\n", rig.Digest(callerKeyFor(edit)))
	return doc
}

// inForce reports whether a gateway accepts the caller key of an edit.
func inForce(ctx context.Context, v *rig.VM, edit string) bool {
	s := send(ctx, request{gateway: v.CallerAddress, method: http.MethodGet, path: "/v1/models", callerKey: callerKeyFor(edit)})
	return s.status == http.StatusOK
}

// expectInForce waits until an edit is in force at every running gateway.
func expectInForce(ctx context.Context, r *rig.Rig, edit string) {
	GinkgoHelper()
	for _, v := range r.VMs {
		if v.Gateway.Running() {
			Eventually(func() bool { return inForce(ctx, v, edit) }).Should(BeTrue(), "edit %s is not in force at %s", edit, v.ID)
		}
	}
}

// expectNoRevert checks for 2 s that no running gateway reverts to an old edit.
func expectNoRevert(ctx context.Context, r *rig.Rig, edit string) {
	GinkgoHelper()
	Consistently(func() bool {
		for _, v := range r.VMs {
			if v.Gateway.Running() && inForce(ctx, v, edit) {
				return true
			}
		}
		return false
	}).WithTimeout(2*time.Second).WithPolling(50*time.Millisecond).Should(BeFalse(), "a gateway reverted to edit %s", edit)
}

var _ = Describe("An accepted configuration", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig
	var version uint64

	BeforeAll(func(ctx SpecContext) {
		spec := twoDataCentres()
		spec.VMs = append(spec.VMs, rig.VMSpec{ID: "vm3", DataCentre: "dc1"})
		r = startRig(spec)
		version = 1
	})

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// apply applies an edit on top of the current version, whichever edits the earlier specs made.
	apply := func(ctx context.Context, v *rig.VM, edit string) {
		GinkgoHelper()
		next, err := r.Apply(ctx, v, version, documentForEdit(r, edit))
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(Equal(version + 1))
		version = next
	}

	// Twelve operators send edits concurrently through three controllers, all based on the same
	// version. If the version were not written by compare-and-set, two operators would see success
	// and the data centres would diverge.
	It("is one of several racing edits; the others change nothing and name the conflict", func(ctx SpecContext) {
		const operators = 12
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				_, errs[i] = r.Operator(r.VMs[i%len(r.VMs)]).Apply(ctx, operator.Edit{
					ExpectedVersion: version, EditID: uuid.NewString(), Document: documentForEdit(r, fmt.Sprint("race-", i)),
				})
			})
		}
		wg.Wait()
		winner := ""
		for i, err := range errs {
			if err == nil {
				Expect(winner).To(BeEmpty(), "two edits were accepted")
				winner = fmt.Sprint("race-", i)
				continue
			}
			var refused *operator.RemoteError
			Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
			Expect(refused.Code).To(Equal(operator.CodeConflict))
			Expect(refused.Conflict).NotTo(BeNil())
			Expect(refused.Conflict.Current.Version).To(Equal(version + 1))
			Expect(refused.Conflict.Changes).NotTo(BeEmpty())
		}
		Expect(winner).NotTo(BeEmpty())
		version++
		expectInForce(ctx, r, winner)
		for i := range operators {
			if edit := fmt.Sprint("race-", i); edit != winner {
				for _, v := range r.VMs {
					Expect(inForce(ctx, v, edit)).To(BeFalse(), "refused edit %s is in force", edit)
				}
			}
		}
	}, SpecTimeout(time.Minute))

	// The platform applies the edit but its response is lost. If the edit were reported as failed,
	// the operator would edit again and conflict with its own first edit.
	It("is reported as accepted although the platform's response was lost", func(ctx SpecContext) {
		setPlatformFaults(ctx, r, admin.PlatformFaults{LoseNext: 1})
		accepted, err := r.Operator(r.VMs[0]).Apply(ctx, operator.Edit{
			ExpectedVersion: version, EditID: uuid.NewString(), Document: documentForEdit(r, "answer-lost"),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Version).To(Equal(version + 1))
		version++
		expectInForce(ctx, r, "answer-lost")
	}, SpecTimeout(time.Minute))

	// The platform is down, so the edit can't be made durable: it must be refused and change
	// nothing. If it still spread to some VMs, it would be lost when these are replaced.
	It("does not contain an edit that was refused during an outage", func(ctx SpecContext) {
		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		_, err := r.Operator(r.VMs[1]).Apply(ctx, operator.Edit{
			ExpectedVersion: version, EditID: uuid.NewString(), Document: documentForEdit(r, "outage"),
		})
		var refused *operator.RemoteError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		Expect(refused.Code).To(Equal(operator.CodePlatformUnavailable))
		setPlatformFaults(ctx, r, admin.PlatformFaults{})
		expectNoRevert(ctx, r, "outage")
	}, SpecTimeout(time.Minute))

	// A VM is replaced while the platform is down. Its new processes start without state; with no
	// configuration or an old one they would refuse callers or revert the edit.
	It("is in force at processes that start during an outage", func(ctx SpecContext) {
		apply(ctx, r.VMs[0], "before-outage")
		expectInForce(ctx, r, "before-outage")
		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		v := r.VMs[1]
		v.Gateway.Kill()
		v.Controller.Kill()
		Expect(v.Controller.Start()).To(Succeed())
		Expect(v.Gateway.Start()).To(Succeed())
		expectInForce(ctx, r, "before-outage")
	}, SpecTimeout(time.Minute))

	// A VM is cut off from all others and from the platform while two edits are made. Once healed,
	// it must adopt the latest one and must not spread its old configuration.
	It("reaches a VM that was cut off, and does not revert elsewhere", func(ctx SpecContext) {
		apply(ctx, r.VMs[0], "before-cut")
		expectInForce(ctx, r, "before-cut")
		cut := r.VMs[1]
		cut.ControllerPeerLink.Cut()
		cut.ControllerPlatformLink.Cut()
		cut.GatewayPlatformLink.Cut()
		r.VMs[0].ControllerPeerLink.Cut()
		r.VMs[2].ControllerPeerLink.Cut()
		apply(ctx, r.VMs[0], "during-cut-1")
		apply(ctx, r.VMs[0], "during-cut-2")
		Eventually(func() bool { return inForce(ctx, r.VMs[0], "during-cut-2") }).Should(BeTrue())
		Expect(inForce(ctx, cut, "before-cut")).To(BeTrue(), "the VM that is cut off does not keep its configuration")
		restore(ctx, r)
		expectInForce(ctx, r, "during-cut-2")
		expectNoRevert(ctx, r, "before-cut")
	}, SpecTimeout(time.Minute))

	// A controller freezes with an old configuration, misses an edit and resumes. Neither the other
	// controllers nor its own gateway may adopt the old configuration from it.
	It("does not revert when a frozen controller wakes", func(ctx SpecContext) {
		apply(ctx, r.VMs[0], "before-freeze")
		expectInForce(ctx, r, "before-freeze")
		r.VMs[1].Controller.Freeze()
		apply(ctx, r.VMs[0], "during-freeze")
		Eventually(func() bool { return inForce(ctx, r.VMs[2], "during-freeze") }).Should(BeTrue())
		r.VMs[1].Controller.Thaw()
		expectInForce(ctx, r, "during-freeze")
		expectNoRevert(ctx, r, "before-freeze")
	}, SpecTimeout(time.Minute))

	// The platform is down and a controller restarts; the only peer that it finds was cut off and
	// has an older configuration. The gateway on the same VM has the latest one and must not
	// revert.
	It("does not revert when a controller restarts among peers with an older configuration", func(ctx SpecContext) {
		apply(ctx, r.VMs[0], "older")
		expectInForce(ctx, r, "older")
		behind := r.VMs[1]
		for _, v := range r.VMs {
			v.ControllerPeerLink.Cut()
		}
		behind.ControllerPlatformLink.Cut()
		apply(ctx, r.VMs[0], "newer")
		for _, v := range []*rig.VM{r.VMs[0], r.VMs[2]} {
			Eventually(func() bool { return inForce(ctx, v, "newer") }).Should(BeTrue())
		}
		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		r.VMs[0].Controller.Kill()
		r.VMs[2].Controller.Kill()
		for _, v := range r.VMs {
			Expect(v.ControllerPeerLink.Heal()).To(Succeed())
		}
		Expect(r.VMs[0].Controller.Start()).To(Succeed())
		Consistently(func() bool { return inForce(ctx, r.VMs[0], "newer") }).
			WithTimeout(4 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		restore(ctx, r)
		expectInForce(ctx, r, "newer")
	}, SpecTimeout(time.Minute))
})
