package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// adoptionCheckInterval is the interval at which members are polled while limit allocations of removed members are reserved.
const adoptionCheckInterval = 2 * time.Second

type incarnation struct {
	member ident.MemberID
	number ident.Incarnation
}

// adoptionTracker records for which removed incarnations all remaining tasks are counted by the members that adopted
// them. Until then the removed member's allocations of the teams' limits stay reserved.
type adoptionTracker struct {
	mu      sync.Mutex
	pending map[incarnation]time.Time
	adopted map[incarnation]bool
}

func newAdoptionTracker() *adoptionTracker {
	return &adoptionTracker{pending: map[incarnation]time.Time{}, adopted: map[incarnation]bool{}}
}

// tasksEnded implements limit.Config.TasksEnded. The first call for an incarnation adds it to those that
// runAdoptionChecks polls for.
func (c *adoptionTracker) tasksEnded(id ident.MemberID, number ident.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := incarnation{id, number}
	if _, ok := c.pending[key]; !ok {
		c.pending[key] = time.Now()
	}
	return c.adopted[key]
}

func (c *adoptionTracker) unadopted() []incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []incarnation
	for key := range c.pending {
		if !c.adopted[key] {
			open = append(open, key)
		}
	}
	return open
}

func (c *adoptionTracker) markAdopted(keys []incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		c.adopted[k] = true
	}
}

// runAdoptionChecks polls all members periodically while there are unadopted incarnations, and marks those as adopted
// once every member has attached all of its backend servers and counts their tasks.
func (d *Daemon) runAdoptionChecks(ctx context.Context) error {
	tick := time.NewTicker(adoptionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		// The list is read before polling, so that every incarnation on it was already removed when the members replied.
		open := d.adoptions.unadopted()
		if len(open) > 0 && d.allTasksAdopted(ctx) {
			d.adoptions.markAdopted(open)
		}
	}
}

// allTasksAdopted reports whether every member has attached all of its backend servers in the current view and has moved
// the limit allocations of the adopted tasks.
func (d *Daemon) allTasksAdopted(ctx context.Context) bool {
	view, self := d.members.View(), d.members.Self().ID
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		q := wire.Query{Sender: d.sender()}
		var reply wire.QueryReply
		var err error
		if m.ID == self {
			reply, err = d.handleQuery(ctx, q)
		} else {
			reply, err = call[wire.Query, wire.QueryReply](d, wire.MethodQuery)(ctx, m.ID, q)
		}
		if err != nil || !reply.Complete || reply.Epoch < view.Epoch || reply.Adopting > 0 {
			return false
		}
	}
	return true
}

// handleQuery adds the number of pending limit adoptions to the dispatcher's reply.
func (d *Daemon) handleQuery(ctx context.Context, q wire.Query) (wire.QueryReply, error) {
	reply, err := d.dispatcher.HandleQuery(ctx, q)
	reply.Adopting = d.limits.PendingAdoptions()
	return reply, err
}
