package node

import (
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fairshare"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// workspaceUse returns the service that each workspace has received through this node.
func (n *Node) workspaceUse() []*exchangev1.WorkspaceUse {
	var uses []*exchangev1.WorkspaceUse
	for _, u := range n.fleet.OwnUse() {
		uses = append(uses, &exchangev1.WorkspaceUse{Service: uint32(u.Service), Workspace: uint32(u.Workspace), Tokens: uint32(u.Tokens)})
	}
	return uses
}

// applyPeerUse applies the service that workspaces have received through another node.
func (n *Node) applyPeerUse(s *exchangev1.NodeState) {
	uses := make([]fairshare.Use, 0, len(s.GetWorkspaceUse()))
	for _, u := range s.GetWorkspaceUse() {
		uses = append(uses, fairshare.Use{
			Service: fairshare.Key(u.GetService()), Workspace: fairshare.Key(u.GetWorkspace()), Tokens: float64(u.GetTokens()),
		})
	}
	n.fleet.SetRemoteUse(s.GetAddress(), uses)
}

// logSharesChange logs that the waiting work of a service begins or ceases to be served by shares.
func (n *Node) logSharesChange(c fleet.SharesChange) {
	event := "workspace shares no longer apply"
	if c.Active {
		event = "workspace shares apply"
		metrics.Count("workspace_shares_applied")
	}
	fields := []zap.Field{zap.String("service", c.Service)}
	if len(c.Shares) > 0 {
		fields = append(fields, zap.String("workspace", shareName(c.Shares[0])), zap.Float64("share", c.Shares[0].Share))
	}
	n.log.Info(event, append(fields, zap.String("workspaces", sharesText(c.Shares)))...)
}

// shareName returns the name of the workspace, or its key if its name is not known to this node.
func shareName(s fleet.WorkspaceShare) string {
	if s.Workspace == "" {
		return fmt.Sprintf("key:%08x", uint32(s.Key))
	}
	return s.Workspace
}

func sharesText(shares []fleet.WorkspaceShare) string {
	parts := make([]string, 0, len(shares))
	for _, s := range shares {
		parts = append(parts, fmt.Sprintf("%s share %.3f waited %d refused %d served %d", shareName(s), s.Share, s.Waited, s.Refused, s.Served))
	}
	return strings.Join(parts, ", ")
}
