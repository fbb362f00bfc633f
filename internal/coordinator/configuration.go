package coordinator

import (
	"cmp"
	"context"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
)

// methodConfig is the method by which a daemon gets the configuration from another one of its region.
const methodConfig = "cell.config"

// maxConfigSources is the number of daemons of a region that the others follow: the one that reads the store, and the one that
// takes its place.
const maxConfigSources = 2

// shareConfiguration lets the daemons of a region share one read of the configuration, as the link between regions is too
// slow for all of them. A daemon without a region reads the store itself.
func (c *Coordinator) shareConfiguration() {
	if c.config.Region == "" {
		return
	}
	peer.Handle(c.config.Peer, methodConfig, c.config.Policy.Serve)
	c.config.Policy.FollowPeers(policy.Peers{
		Sources: c.configSources,
		Pull: func(ctx context.Context, address string, r policy.PullRequest) (policy.PullReply, error) {
			return peer.CallAddress[policy.PullRequest, policy.PullReply](ctx, c.config.Peer, address, methodConfig, r)
		},
	})
}

// configSources returns the addresses of the daemons in this one's region from which it gets the configuration, strong hosts
// first: those before it in this order, or all. It returns false before the first read of the cell's records.
func (c *Coordinator) configSources(all bool) ([]string, bool) {
	v := c.view.get()
	self := PresenceRecord{Member: c.config.Member, ElectionDelay: c.config.ElectionDelay}
	var others []PresenceRecord
	for m, a := range v.members {
		if m != self.Member && a.Region == c.config.Region && (all || compareStrength(a, self) < 0) {
			others = append(others, a)
		}
	}
	slices.SortFunc(others, compareStrength)
	var addresses []string
	for _, a := range others[:min(len(others), maxConfigSources)] {
		addresses = append(addresses, a.Address)
	}
	return addresses, !v.confirmedAt.IsZero()
}

// compareStrength orders daemons by their election delay, which is longer on weak hosts, and then by name.
func compareStrength(a, b PresenceRecord) int {
	return cmp.Or(cmp.Compare(a.ElectionDelay, b.ElectionDelay), cmp.Compare(a.Member, b.Member))
}
