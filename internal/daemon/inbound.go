package daemon

import (
	"cmp"
	"context"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
)

// peerReceiveBytes bounds the large messages of peers that arrive at the same time. The largest one takes 8 MB.
const peerReceiveBytes = 64 << 20

// maxOperatorConnections bounds the connections of the operator port on its own, so that callers can't keep operators out.
const maxOperatorConnections = 64

func inboundConfig(d *Daemon) inbound.Config {
	s := d.settings
	return inbound.Config{
		Memory: cmp.Or(s.InboundMemory, settings.DefaultInboundMemory), Connections: s.InboundConnections, BodyTimeout: s.BodyTimeout,
		Log: d.log.WithName("inbound"), Metrics: d.metrics,
	}
}

func buildInbound(d *Daemon) error {
	var err error
	if d.inbound, err = inbound.New(inboundConfig(d)); err != nil {
		return fmt.Errorf("create inbound budget: %w", err)
	}
	return nil
}

// listenHTTP opens the caller and the operator port.
func (d *Daemon) listenHTTP(ctx context.Context) error {
	callers, err := d.inbound.Listen(ctx, "callers", d.settings.CallerListen, inboundConfig(d).MaxConnections())
	if err != nil {
		return err
	}
	operators, err := d.inbound.Listen(ctx, "operators", d.settings.OperatorListen, maxOperatorConnections)
	if err != nil {
		return err
	}
	d.callerListener, d.operatorListener = callers, operators
	return nil
}
