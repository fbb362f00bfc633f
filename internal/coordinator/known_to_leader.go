package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// acquaintance is a leader's answer that its view has a presence record of this daemon. From then on that leader doesn't go on without the
// store unless this daemon denies to lead. It is safe for concurrent use.
type acquaintance struct {
	mu       sync.Mutex
	epoch    ident.Epoch       // of the leader
	revision platform.Revision // of the presence record
}

func (a *acquaintance) set(e ident.Epoch, r platform.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch, a.revision = e, r
}

// holds reports whether the leader of an epoch knows the presence record with a revision.
func (a *acquaintance) holds(e ident.Epoch, r platform.Revision) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return e > 0 && a.epoch == e && a.revision == r
}

// acquaintanceInterval is the interval at which this daemon checks whether the present leader knows it.
const acquaintanceInterval = 250 * time.Millisecond

// introduce asks each leader whether it knows this daemon, until the context ends.
func (c *Coordinator) introduce(ctx context.Context) error {
	for ctx.Err() == nil {
		v := c.view.get()
		revision, _, recorded := c.presence.lastRenewal()
		if recorded && revision > 0 && v.leader.Epoch > 0 && !v.leader.Vacant && v.leader.Member != c.config.Member &&
			!c.acquaintance.holds(v.leader.Epoch, revision) && c.isKnownTo(ctx, &v.leader, revision) {
			c.acquaintance.set(v.leader.Epoch, revision)
		}
		sleep(ctx, acquaintanceInterval)
	}
	return nil
}

// isKnownTo asks a leader whether its view has the presence record of this daemon with a revision.
func (c *Coordinator) isKnownTo(ctx context.Context, l *LeaderRecord, revision platform.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	reply, err := peer.CallAddress[epochRequest, epochReply](ctx, c.config.Peer, l.Address, methodEpoch, epochRequest{NewerThan: revision - 1})
	if err != nil {
		c.config.Log.V(1).Info("leader not asked whether it knows this daemon", "leader", string(l.Member), "error", err.Error())
		return false
	}
	_, known := reply.Newer[c.config.Member]
	return known && reply.Epoch == l.Epoch
}
