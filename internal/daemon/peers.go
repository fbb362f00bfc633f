package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

// registerPeers registers the handlers of the peer protocol.
func registerPeers(d *Daemon) {
	n := d.node
	peer.Handle(n, wire.MethodProbe, d.handleProbe)
	peer.Handle(n, wire.MethodSummary, func(_ context.Context, s wire.Summary) (wire.SummaryReply, error) {
		return d.fleet.HandleSummary(s), nil
	})
	peer.Handle(n, wire.MethodForward, d.dispatcher.HandleForward)
	peer.Handle(n, wire.MethodResult, d.dispatcher.HandleAnswer)
	peer.Handle(n, wire.MethodQuery, d.handleQuery)
	peer.Handle(n, wire.MethodCancel, d.dispatcher.HandleCancel)
	peer.Handle(n, wire.MethodAdoptOrigin, d.dispatcher.HandleAdoptOrigin)
	peer.Handle(n, wire.MethodFind, d.dispatcher.HandleFind)
	peer.Handle(n, wire.MethodGangReserve, d.dispatcher.HandleGangReserve)
	peer.Handle(n, wire.MethodGangCommit, d.dispatcher.HandleGangCommit)
	peer.Handle(n, wire.MethodGangCancel, d.dispatcher.HandleGangCancel)
	peer.Handle(n, wire.MethodLimitRequest, d.limits.HandleRequest)
	peer.Handle(n, wire.MethodClaimAcquire, d.claims.HandleAcquire)
	peer.Handle(n, wire.MethodClaimComplete, d.claims.HandleComplete)
	peer.Handle(n, wire.MethodClaimRelease, d.claims.HandleRelease)
	peer.Handle(n, wire.MethodClaimLookup, d.claims.HandleLookup)
	peer.Handle(n, wire.MethodClaimTransfer, d.claims.HandleTransfer)
	peer.Handle(n, wire.MethodConfigPull, d.rollout.HandlePull)
	peer.Handle(n, wire.MethodConfigVersion, d.rollout.HandleVersion)
	peer.Handle(n, wire.MethodJobGet, d.handleJobGet)
	peer.Handle(n, wire.MethodJobList, d.handleJobList)
	peer.Handle(n, wire.MethodJobCancel, d.handleJobCancel)
	peer.Handle(n, wire.MethodJobExplain, d.handleJobExplain)
}

func encodeJobReply(value any) (wire.JobReply, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return wire.JobReply{}, fmt.Errorf("encode job reply: %w", err)
	}
	return wire.JobReply{Found: true, Body: body}, nil
}
