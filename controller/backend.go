package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
)

// leaveTimeout bounds the SetLeaving call to another VM's controller.
const leaveTimeout = 3 * time.Second

// Current implements operator.Backend.
func (c *Controller) Current() operator.Version {
	doc := c.Snapshot().Config
	if doc == nil {
		return operator.Version{}
	}
	document, err := decodeDocument(doc)
	if err != nil {
		// adopt decodes every document before it accepts it.
		panic("controller: accepted document cannot be decoded: " + err.Error())
	}
	return operator.Version{Version: doc.Version, EditID: doc.EditId, Document: &document}
}

// Version implements operator.Backend.
func (c *Controller) Version(ctx context.Context, version uint64) (operator.Version, error) {
	v, err := c.versions.read(ctx, version)
	return v, wrapUnavailable(err)
}

// History implements operator.Backend.
func (c *Controller) History(ctx context.Context, limit int) ([]operator.Version, error) {
	versions, err := c.versions.history(ctx, limit)
	return versions, wrapUnavailable(err)
}

// wrapUnavailable turns platform.ErrUnavailable and platform.ErrUnknown into an error that wraps
// operator.ErrPlatformUnavailable. It is used for reads only, so both mean that nothing was changed.
// Other errors are returned unchanged.
func wrapUnavailable(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) {
		return eris.Wrap(operator.ErrPlatformUnavailable, err.Error())
	}
	return err
}

// Apply implements operator.Backend. An invalid document is refused before anything is written.
func (c *Controller) Apply(ctx context.Context, e operator.Edit) (operator.Version, error) {
	if err := config.Validate(e.Document); err != nil {
		metrics.Count("edit_invalid")
		return operator.Version{}, err
	}
	version, err := c.versions.apply(ctx, e)
	if err != nil {
		metrics.Count("edit_refused")
		c.log.Info("configuration edit refused", zap.String("edit_id", e.EditID), zap.Error(err))
		return operator.Version{}, err
	}
	metrics.Count("edit_accepted")
	c.log.Info("configuration edit accepted", zap.String("edit_id", e.EditID), zap.Uint64("version", version.Version))
	return version, c.adoptVersion(version)
}

// Leave implements operator.Backend.
func (c *Controller) Leave(ctx context.Context, vm string) error {
	address := ""
	for _, m := range c.Snapshot().Members {
		if m.Id == vm {
			address = m.ControllerAddress
		}
	}
	if address == "" {
		return operator.ErrVMNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := c.opts.Transport.SetLeaving(ctx, address, &peerv1.SetLeavingRequest{Drain: true})
	if err != nil {
		return eris.Wrap(operator.ErrVMUnreachable, err.Error())
	}
	return nil
}

// Status implements operator.Backend.
func (c *Controller) Status() operator.Status {
	s := c.Snapshot()
	status := operator.Status{VM: s.Self.Id, ConfigVersion: s.Version(), Lease: c.reconciler.lease.status()}
	for _, m := range s.Members {
		status.Members = append(status.Members, operator.MemberStatus{
			VM: m.Id, DataCentre: m.DataCentre, Region: m.Region, State: stateName(m.State),
			GatewayAddress: m.GatewayAddress, CallerAddress: m.CallerAddress,
		})
	}
	status.Endpoints = c.reconciler.status()
	return status
}

func stateName(s peerv1.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}
