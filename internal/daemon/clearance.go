package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// clearanceInterval is the pause between two rounds of questions while a dead member's limit parts are reserved.
const clearanceInterval = 2 * time.Second

type incarnation struct {
	member ident.MemberID
	number ident.Incarnation
}

// clearance knows which dead incarnations have no task left that isn't counted by its adopter. Until then their
// parts of the teams' limits stay reserved.
type clearance struct {
	mu      sync.Mutex
	asked   map[incarnation]time.Time
	granted map[incarnation]bool
}

func newClearance() *clearance {
	return &clearance{asked: map[incarnation]time.Time{}, granted: map[incarnation]bool{}}
}

// cleared answers the limit split. The first question about an incarnation starts the rounds of the background loop.
func (c *clearance) cleared(id ident.MemberID, number ident.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := incarnation{id, number}
	if _, ok := c.asked[key]; !ok {
		c.asked[key] = time.Now()
	}
	return c.granted[key]
}

func (c *clearance) open() []incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []incarnation
	for key := range c.asked {
		if !c.granted[key] {
			open = append(open, key)
		}
	}
	return open
}

func (c *clearance) grant(keys []incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		c.granted[k] = true
	}
}

// runClearance asks every member until all of them own and count everything that the dead members left.
func (d *Daemon) runClearance(ctx context.Context) error {
	tick := time.NewTicker(clearanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		// The open incarnations are taken before the questions, so that each was dead when the answers were given.
		open := d.clearance.open()
		if len(open) > 0 && d.allAdopted(ctx) {
			d.clearance.grant(open)
		}
	}
}

// allAdopted reports whether every member has attached all of its servers at the present view and has moved the
// parts of the limits that belong to adopted tasks.
func (d *Daemon) allAdopted(ctx context.Context) bool {
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

// handleQuery adds the state of the limit split to the dispatcher's answer.
func (d *Daemon) handleQuery(ctx context.Context, q wire.QueryRequest) (wire.QueryReply, error) {
	reply, err := d.dispatcher.HandleQuery(ctx, q)
	reply.PendingAdoptions = d.limits.PendingAdoptions()
	return reply, err
}
