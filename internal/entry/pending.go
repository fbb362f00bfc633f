package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// pendingCache keeps the latest counts of pending jobs, to be returned during a change of the leader.
type pendingCache struct {
	mu     *sync.Mutex
	counts map[ident.QueueID]pendingCount
}

type pendingCount struct {
	count int
	asOf  time.Time
}

func newPendingCache() pendingCache {
	return pendingCache{mu: &sync.Mutex{}, counts: map[ident.QueueID]pendingCount{}}
}

func (c pendingCache) set(q ident.QueueID, n pendingCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[q] = n
}

func (c pendingCache) get(q ident.QueueID) (pendingCount, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.counts[q]
	return n, ok
}

// countPending returns the number of pending jobs of a queue.
func (g *Gateway) countPending(ctx context.Context, q ident.QueueID) Response {
	for {
		sentAt := g.now()
		n, err := g.config.Coordinator.PendingJobs(ctx, q)
		if err == nil {
			g.pending.set(q, pendingCount{n, sentAt})
			return Response{Kind: Counted, Count: n}
		}
		if c, ok := g.pending.get(q); ok && sentAt.Sub(c.asOf) < maxPendingCountAge {
			return Response{Kind: Counted, Count: c.count, Reason: "as of " + sentAt.Sub(c.asOf).String() + " ago"}
		}
		if !g.waitRetry(ctx) {
			return Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: err.Error()}
		}
	}
}
