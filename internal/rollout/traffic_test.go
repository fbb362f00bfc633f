package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// frameBytes is an allowance for the jsonrpc2 envelope of a message.
	frameBytes = 60
	// controlBytes is the design's bound for all control traffic of a daemon, in bytes per second.
	controlBytes = 9000
)

// Guards against configuration traffic that alone exceeds the bound of a daemon's control traffic. Nine daemons and 110 teams take
// the daily rate of 27,000 key changes in bursts of five a second; both directions count, with peers and with the store.
func TestControlTraffic(t *testing.T) {
	names := []ident.MemberID{
		"a-entry-1", "a-entry-2", "a-entry-3", "a-entry-4", "a-entry-5", "a-entry-6", "b-entry-1", "b-entry-2", "b-entry-3",
	}
	c := newCell(t, names...)
	var mutex sync.Mutex
	sent := map[ident.MemberID]int{}
	count := func(from, to ident.MemberID, messages ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, m := range messages {
			encoded, err := json.Marshal(m)
			if err != nil {
				t.Error(err)
			}
			sent[from] += len(encoded) + frameBytes
			sent[to] += len(encoded) + frameBytes
		}
	}
	for _, name := range names {
		r := c.nodes[name]
		pull, version := r.config.Pull, r.config.Version
		r.config.Pull = func(ctx context.Context, to ident.MemberID, request wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
			reply, err := pull(ctx, to, request)
			count(name, to, request, reply)
			return reply, err
		}
		r.config.Version = func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
			reply, err := version(ctx, to, request)
			count(name, to, request, reply)
			return reply, err
		}
	}
	b := sample(110, 5)
	c.publish(names[0], b)
	c.round(8)
	clear(sent)
	clear(c.stored)
	const seconds, period, burst = 128, 16, 5 // 5 changes in 16 s are 27,000 a day
	for second := range seconds {
		if second%period == 0 {
			for i := range burst {
				b.Teams = slices.Clone(b.Teams)
				changes["key"](&b, second+i)
				c.publish(names[i], b)
			}
		}
		c.round(1)
	}
	for _, name := range names {
		peers, store := sent[name]/seconds, c.stored[name]/seconds
		t.Logf("%s: peers %d, store %d bytes/s", name, peers, store)
		if peers+store > controlBytes {
			t.Errorf("%s takes %d bytes/s, at most %d allowed", name, peers+store, controlBytes)
		}
	}
}
