package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// knownTo is a leader's answer that its view has the presence record of this daemon. From then on that leader doesn't go on without the
// store unless this daemon denies to lead. It is safe for concurrent use.
type knownTo struct {
	mu       sync.Mutex
	epoch    ident.Epoch       // of the leader
	revision platform.Revision // of the presence record
}

func (k *knownTo) set(e ident.Epoch, r platform.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epoch, k.revision = e, r
}

// holds reports whether the leader of an epoch knows the presence record with a revision.
func (k *knownTo) holds(e ident.Epoch, r platform.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return e > 0 && k.epoch == e && k.revision == r
}

// knownToInterval is the interval at which this daemon checks whether the present leader knows it.
const knownToInterval = 250 * time.Millisecond

// askLeaders asks each leader once whether it knows this daemon, and again after a new presence record, until the context ends.
func (c *Coordinator) askLeaders(ctx context.Context) error {
	for ctx.Err() == nil {
		v := c.view.get()
		revision, _, recorded := c.presence.lastRenewal()
		if recorded && revision > 0 && v.leader.Epoch > 0 && !v.leader.Vacant && v.leader.Member != c.config.Member &&
			!c.knownTo.holds(v.leader.Epoch, revision) && c.isKnownTo(ctx, &v.leader, revision) {
			c.knownTo.set(v.leader.Epoch, revision)
		}
		sleep(ctx, knownToInterval)
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
