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
	// envelopeBytes is an allowance for the JSON-RPC envelope of a message.
	envelopeBytes = 60
	// maxControlBytesPerSecond is the design's bound for all control traffic of a daemon.
	maxControlBytesPerSecond = 9000
)

// Guards against configuration traffic that alone exceeds the bound of a daemon's control traffic. Nine daemons and 110 teams
// get 27,000 key changes a day, in bursts of five within a second. Both directions count, with peers and with the store.
func TestControlTraffic(t *testing.T) {
	names := []ident.MemberID{
		"a-entry-1", "a-entry-2", "a-entry-3", "a-entry-4", "a-entry-5", "a-entry-6", "b-entry-1", "b-entry-2", "b-entry-3",
	}
	c := newCluster(t, names...)
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
			sent[from] += len(encoded) + envelopeBytes
			sent[to] += len(encoded) + envelopeBytes
		}
	}
	for _, name := range names {
		r := c.daemons[name]
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
	b := testBundle(110, 5)
	c.publish(names[0], b)
	c.runRounds(8)
	clear(sent)
	clear(c.storeBytes)
	const seconds, period, burst = 128, 16, 5 // 5 changes every 16 s are 27,000 a day
	for second := range seconds {
		if second%period == 0 {
			for i := range burst {
				b.Teams = slices.Clone(b.Teams)
				changesByKind["key"](&b, second+i)
				c.publish(names[i], b)
			}
		}
		c.runRounds(1)
	}
	for _, name := range names {
		peers, store := sent[name]/seconds, c.storeBytes[name]/seconds
		t.Logf("%s: peers %d, store %d bytes/s", name, peers, store)
		if peers+store > maxControlBytesPerSecond {
			t.Errorf("%s: control traffic of %d bytes/s, at most %d allowed", name, peers+store, maxControlBytesPerSecond)
		}
	}
}
