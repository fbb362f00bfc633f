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

// maxUnconfirmedResults bounds the unconfirmed results that one daemon keeps. The backend servers keep the others.
const maxUnconfirmedResults = 65536

// unconfirmedResults holds results that no origin has confirmed yet. Until then the backend server keeps them too.
type unconfirmedResults struct {
	mu      sync.Mutex
	results map[ident.AttemptID]unconfirmedResult
}

type unconfirmedResult struct {
	host   ident.HostID
	result backend.Result
	added  time.Time
	// pushing is set while the result is being pushed to its current origin.
	pushing bool
}

func newUnconfirmedResults() *unconfirmedResults {
	return &unconfirmedResults{results: map[ident.AttemptID]unconfirmedResult{}}
}

// add keeps a result if there is room, and reports false if it is kept already.
func (p *unconfirmedResults) add(host ident.HostID, r backend.Result, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.results[r.Attempt]; ok {
		return false
	}
	if len(p.results) < maxUnconfirmedResults {
		p.results[r.Attempt] = unconfirmedResult{host: host, result: r, added: now}
	}
	return true
}

// UnconfirmedResults returns the number of results that no origin has confirmed yet.
func (d *Dispatcher) UnconfirmedResults() int {
	d.unconfirmed.mu.Lock()
	defer d.unconfirmed.mu.Unlock()
	return len(d.unconfirmed.results)
}

func (p *unconfirmedResults) setPushing(a ident.AttemptID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.results[a]; ok {
		r.pushing = on
		p.results[a] = r
	}
}

// redirect makes another daemon the origin of a result, which is about to be pushed to it.
func (p *unconfirmedResults) redirect(a ident.AttemptID, origin ident.MemberID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.results[a]; ok {
		r.result.Origin, r.pushing, r.added = origin, true, now
		p.results[a] = r
	}
}

func (p *unconfirmedResults) remove(a ident.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.results, a)
}

func (p *unconfirmedResults) get(a ident.AttemptID) (unconfirmedResult, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.results[a]
	return r, ok
}

// dropHost removes the results of a backend server that another daemon owns now.
func (p *unconfirmedResults) dropHost(host ident.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, r := range p.results {
		if r.host == host {
			delete(p.results, a)
		}
	}
}

// findRequest returns the result of a caller's request.
func (p *unconfirmedResults) findRequest(k wire.ClaimKey) (unconfirmedResult, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.results {
		if r.result.Team == k.Team && r.result.Request == k.Request {
			return r, true
		}
	}
	return unconfirmedResult{}, false
}

// byOrigin returns the results of the given jobs of an origin.
func (p *unconfirmedResults) byOrigin(origin ident.MemberID, jobs map[ident.JobID]bool) []unconfirmedResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []unconfirmedResult
	for _, r := range p.results {
		if r.result.Origin == origin && jobs[r.result.Job] {
			found = append(found, r)
		}
	}
	return found
}

// expire acknowledges and removes results that nobody has asked for within the retention.
func (p *unconfirmedResults) expire(now time.Time, retention time.Duration, acknowledge func(ident.HostID, ident.AttemptID)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, r := range p.results {
		if now.Sub(r.added) > retention {
			delete(p.results, a)
			acknowledge(r.host, a)
		}
	}
}

// HandleFind looks for the attempt of a caller's request among running attempts and unconfirmed results.
func (d *Dispatcher) HandleFind(_ context.Context, f wire.FindRequest) (wire.FindReply, error) {
	epoch, complete := d.config.Servers.InventoryComplete()
	reply := wire.FindReply{Epoch: epoch, Complete: complete}
	if p, ok := d.config.Pool.FindRequest(f.Team, f.Request); ok {
		reply.Known, reply.Host = true, p.Host
	}
	// An attempt that ends becomes a result before it leaves the pool, so the results are read last.
	if pending, ok := d.unconfirmed.findRequest(f.ClaimKey); ok {
		reply.Known, reply.Host, reply.Result = true, pending.host, &pending.result
	}
	return reply, nil
}

// Find asks all daemons in turn for the attempt of a caller's request. complete means that all of them answered for
// all of their backend servers.
func (d *Dispatcher) Find(ctx context.Context, k wire.ClaimKey) (result *backend.Result, known, complete bool) {
	view, self := d.config.View(), d.config.Self().ID
	complete = true
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		f := wire.FindRequest{Sender: d.sender(), ClaimKey: k}
		var reply wire.FindReply
		var err error
		if m.ID == self {
			reply, err = d.HandleFind(ctx, f)
		} else {
			call, cancel := context.WithTimeout(ctx, queryTimeout)
			reply, err = d.config.Peers.Find(call, m.ID, f)
			cancel()
		}
		if err == nil && reply.Known {
			return reply.Result, true, true
		}
		complete = complete && err == nil && reply.Complete && reply.Epoch >= view.Epoch
	}
	return nil, false, complete
}

// HandleAdoptOrigin lists the attempts of a dead origin's jobs and redirects their results to the sender.
func (d *Dispatcher) HandleAdoptOrigin(_ context.Context, a wire.AdoptOriginRequest) (wire.AdoptOriginReply, error) {
	epoch, complete := d.config.Servers.InventoryComplete()
	reply := wire.AdoptOriginReply{Epoch: epoch, Complete: complete}
	jobs := make(map[ident.JobID]bool, len(a.Jobs))
	for _, j := range a.Jobs {
		jobs[j] = true
	}
	for _, p := range d.config.Pool.ReassignOrigin(a.Origin, jobs, a.Member) {
		reply.Attempts = append(reply.Attempts, wire.AdoptedAttempt{
			Attempt: p.Task.Attempt, Job: p.Task.Job, Index: p.Task.Index, Host: p.Host,
		})
	}
	for _, pending := range d.unconfirmed.byOrigin(a.Origin, jobs) {
		r := pending.result
		reply.Attempts = append(reply.Attempts, wire.AdoptedAttempt{Attempt: r.Attempt, Job: r.Job, Index: r.Index, Host: pending.host})
		d.redeliver(pending, a.Member)
	}
	return reply, nil
}

// redeliver sends an unconfirmed result to another origin, after a pause in which that origin can process the current
// reply.
func (d *Dispatcher) redeliver(pending unconfirmedResult, origin ident.MemberID) {
	attempt := pending.result.Attempt
	d.unconfirmed.redirect(attempt, origin, d.config.Now())
	time.AfterFunc(pushRetryPause, func() {
		d.unconfirmed.setPushing(attempt, false) // from now on only pushResult sets it
		if current, ok := d.unconfirmed.get(attempt); ok && d.baseCtx.Err() == nil {
			d.handOver(current.host, current.result)
		}
	})
}

// AdoptOrigin asks every daemon for the attempts of a dead origin's jobs. The second result reports whether all of
// them answered for all of their backend servers.
func (d *Dispatcher) AdoptOrigin(ctx context.Context, origin ident.MemberID, jobs []ident.JobID) ([]AdoptedAttempt, bool) {
	view, self := d.config.View(), d.config.Self().ID
	complete := true
	var found []AdoptedAttempt
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		a := wire.AdoptOriginRequest{Sender: d.sender(), Origin: origin, Jobs: jobs}
		var reply wire.AdoptOriginReply
		var err error
		if m.ID == self {
			reply, err = d.HandleAdoptOrigin(ctx, a)
		} else {
			call, cancel := context.WithTimeout(ctx, queryTimeout)
			reply, err = d.config.Peers.AdoptOrigin(call, m.ID, a)
			cancel()
		}
		complete = complete && err == nil && reply.Complete && reply.Epoch >= view.Epoch
		for _, r := range reply.Attempts {
			found = append(found, AdoptedAttempt{AdoptedAttempt: r, Owner: m.ID})
		}
	}
	return found, complete
}

// AdoptedAttempt is an attempt of a dead origin, with the daemon that owns its backend server.
type AdoptedAttempt struct {
	wire.AdoptedAttempt
	Owner    ident.MemberID
	Attempts int // attempts of the task so far, including this one; 0 means that this is the first known one
}

// Resume takes over a task whose attempt already runs. The owner of its backend server delivers the result.
func (d *Dispatcher) Resume(w Work, a AdoptedAttempt) error {
	e := &entry{
		key: w.key(), work: w, phase: running, attempt: a.Attempt, host: a.Host, member: a.Owner,
		attempts: max(a.Attempts, 1), submitted: d.config.Now(), started: d.config.Now(), mayHaveRun: true, locationStale: true,
	}
	return d.insert(e)
}
