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
	mu          sync.Mutex
	requestedAt map[incarnation]time.Time
	adopted     map[incarnation]bool
}

func newAdoptionTracker() *adoptionTracker {
	return &adoptionTracker{requestedAt: map[incarnation]time.Time{}, adopted: map[incarnation]bool{}}
}

// tasksEnded implements limit.Config.TasksEnded. The first call for an incarnation adds it to those that
// runAdoptionChecks polls for.
func (t *adoptionTracker) tasksEnded(id ident.MemberID, number ident.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnation{id, number}
	if _, ok := t.requestedAt[key]; !ok {
		t.requestedAt[key] = time.Now()
	}
	return t.adopted[key]
}

func (t *adoptionTracker) unadopted() []incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unadopted []incarnation
	for key := range t.requestedAt {
		if !t.adopted[key] {
			unadopted = append(unadopted, key)
		}
	}
	return unadopted
}

func (t *adoptionTracker) markAdopted(keys []incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		t.adopted[k] = true
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
		unadopted := d.adoptions.unadopted()
		if len(unadopted) > 0 && d.allTasksAdopted(ctx) {
			d.adoptions.markAdopted(unadopted)
		}
	}
}

// allTasksAdopted reports whether every member has attached all of its backend servers in the current view and has moved
// the limit allocations of the adopted tasks.
func (d *Daemon) allTasksAdopted(ctx context.Context) bool {
	view, self := d.members.View(), d.members.Self().ID
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		q := wire.QueryRequest{Sender: d.sender()}
		var reply wire.QueryReply
		var err error
		if m.ID == self {
			reply, err = d.handleQuery(ctx, q)
		} else {
			reply, err = call[wire.QueryRequest, wire.QueryReply](d, wire.MethodQuery)(ctx, m.ID, q)
		}
		if err != nil || !reply.Complete || reply.Epoch < view.Epoch || reply.PendingAdoptions > 0 {
			return false
		}
	}
	return true
}

// handleQuery adds the number of pending limit adoptions to the dispatcher's reply.
func (d *Daemon) handleQuery(ctx context.Context, q wire.QueryRequest) (wire.QueryReply, error) {
	reply, err := d.dispatcher.HandleQuery(ctx, q)
	reply.PendingAdoptions = d.limits.PendingAdoptions()
	return reply, err
}
