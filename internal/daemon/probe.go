package daemon

import (
	"context"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

// probe calls a member directly and checks that it replies with the expected ID and incarnation.
func (d *Daemon) probe(ctx context.Context, m member.Member) error {
	reply, err := peer.CallAddress[wire.ProbeRequest, wire.ProbeReply](ctx, d.node, m.Address, wire.MethodProbe,
		wire.ProbeRequest{Sender: d.sender()})
	if err != nil {
		return fmt.Errorf("probe %s: %w", m.ID, err)
	}
	if reply.Member != m.ID || reply.Sender.Incarnation != m.Incarnation {
		return fmt.Errorf("probe %s incarnation %d: %s replied as %s incarnation %d",
			m.ID, m.Incarnation, m.Address, reply.Member, reply.Sender.Incarnation)
	}
	return nil
}

// handleProbe replies to a probe of this member, or probes the target named in the request on behalf of the sender.
func (d *Daemon) handleProbe(ctx context.Context, r wire.ProbeRequest) (wire.ProbeReply, error) {
	if r.Target == "" {
		return wire.ProbeReply{Sender: d.sender()}, nil
	}
	target, ok := d.members.View().Find(r.Target)
	if !ok {
		return wire.ProbeReply{}, fmt.Errorf("probe target %s is not in the member view", r.Target)
	}
	target.Incarnation = r.TargetIncarnation
	return wire.ProbeReply{Sender: d.sender()}, d.probe(ctx, target)
}
