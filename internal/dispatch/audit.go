package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxMissedAudits is how many consecutive complete audits must miss an attempt before it counts as ended. A
	// single audit could miss an attempt whose backend server changes owners between two replies.
	maxMissedAudits = 2
	// queryTimeout bounds one query to a peer.
	queryTimeout = 2 * time.Second
)

// audit looks for attempts whose location is no longer known, because their backend server has another owner or their
// start had an unknown outcome.
func (d *Dispatcher) audit() {
	view := d.config.View()
	self := d.config.Self().ID
	for i := range d.shards {
		for _, e := range d.attemptsToAudit(&d.shards[i], view, self) {
			d.spawn(func(ctx context.Context) { d.auditAttempt(ctx, e) })
		}
	}
}

func (d *Dispatcher) attemptsToAudit(s *shard, view member.View, self ident.MemberID) []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*entry
	for _, e := range s.entries {
		if e.auditing {
			continue
		}
		switch e.phase {
		case uncertain:
		case running:
			if e.member == self {
				if _, ok := d.config.Pool.Find(e.attempt); ok {
					continue
				}
			} else if _, ok := view.Find(e.member); ok && !e.locationStale {
				continue
			}
		default:
			continue
		}
		e.auditing = true
		found = append(found, e)
	}
	return found
}

// RecheckPeerAttempts makes the next audit check the attempts that are believed to run at peers, after backend
// servers changed owners.
func (d *Dispatcher) RecheckPeerAttempts() {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			e.locationStale = true
		}
		s.mu.Unlock()
	}
}

// auditAttempt queries every daemon for one attempt. The attempt counts as ended without a result when
// maxMissedAudits complete audits in a row didn't find it.
func (d *Dispatcher) auditAttempt(ctx context.Context, e *entry) {
	var attempt ident.AttemptID
	d.withEntry(e.key, func(e *entry) { attempt = e.attempt })
	host, owner, complete := d.locate(ctx, attempt)
	gone := false
	d.withEntry(e.key, func(e *entry) {
		e.auditing = false
		if e.attempt != attempt || (e.phase != uncertain && e.phase != running) {
			return
		}
		switch {
		case owner != "":
			e.phase, e.host, e.member, e.locationStale, e.missedAudits = running, host, owner, false, 0
		case complete:
			e.missedAudits++
			gone = e.missedAudits >= maxMissedAudits
		default:
			e.missedAudits = 0
		}
	})
	if gone {
		d.endVanished(e, attempt)
	}
}

// endVanished treats an attempt that no backend server knows like one whose lease has lapsed.
func (d *Dispatcher) endVanished(e *entry, attempt ident.AttemptID) {
	t := e.work.Task
	d.acceptResult("", backend.Result{
		Attempt: attempt, Job: t.Job, Index: t.Index, Team: t.Team, Exit: backend.ExitLeaseLapsed,
		Message: "no backend server knows the attempt any more",
	}, func() {})
}

// locate asks all members for an attempt. complete means that every owner answered for all of its backend servers at
// this view's epoch or a later one, so that commands of earlier owners are refused everywhere.
func (d *Dispatcher) locate(ctx context.Context, attempt ident.AttemptID) (ident.HostID, ident.MemberID, bool) {
	view, self := d.config.View(), d.config.Self().ID
	members := view.Filter(member.Active, member.Draining, member.Unreachable)
	replies := make([]wire.QueryReply, len(members))
	answered := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			q := wire.QueryRequest{Sender: d.sender(), Attempt: attempt}
			var err error
			if m.ID == self {
				replies[i], err = d.HandleQuery(ctx, q)
			} else {
				call, cancel := context.WithTimeout(ctx, queryTimeout)
				defer cancel()
				replies[i], err = d.config.Peers.Query(call, m.ID, q)
			}
			answered[i] = err == nil
		})
	}
	wg.Wait()
	complete := true
	for i, m := range members {
		if answered[i] && replies[i].Known {
			return replies[i].Host, m.ID, true
		}
		complete = complete && answered[i] && replies[i].Complete && replies[i].Epoch >= view.Epoch
	}
	return "", "", complete
}
