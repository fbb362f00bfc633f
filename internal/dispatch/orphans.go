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

// maxOrphans bounds the results that wait for their origin in one daemon. The backend servers keep the rest.
const maxOrphans = 65536

// orphans holds results that no origin has confirmed yet. The backend server keeps them too until then.
type orphans struct {
	mu      sync.Mutex
	results map[ident.AttemptID]orphan
}

type orphan struct {
	host   ident.HostID
	result backend.Result
	since  time.Time
	// pushing is set while a push to the present origin is repeated.
	pushing bool
}

func newOrphans() *orphans { return &orphans{results: map[ident.AttemptID]orphan{}} }

func (o *orphans) add(host ident.HostID, r backend.Result, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.results) < maxOrphans {
		o.results[r.Attempt] = orphan{host: host, result: r, since: now}
	}
}

// Unconfirmed returns the number of results that no origin has confirmed yet.
func (d *Dispatcher) Unconfirmed() int {
	d.orphans.mu.Lock()
	defer d.orphans.mu.Unlock()
	return len(d.orphans.results)
}

func (o *orphans) setPushing(a ident.AttemptID, on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := o.results[a]; ok {
		r.pushing = on
		o.results[a] = r
	}
}

func (o *orphans) remove(a ident.AttemptID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.results, a)
}

func (o *orphans) seen(a ident.AttemptID) bool {
	_, ok := o.get(a)
	return ok
}

func (o *orphans) get(a ident.AttemptID) (orphan, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.results[a]
	return r, ok
}

// dropHost forgets the results of a backend server that another daemon owns now.
func (o *orphans) dropHost(host ident.HostID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a, r := range o.results {
		if r.host == host {
			delete(o.results, a)
		}
	}
}

// find returns the result of a request.
func (o *orphans) find(k wire.ClaimKey) (orphan, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.results {
		if r.result.Team == k.Team && r.result.Request == k.Request {
			return r, true
		}
	}
	return orphan{}, false
}

// of returns the results of an origin's jobs.
func (o *orphans) of(origin ident.MemberID, jobs map[ident.JobID]bool) []orphan {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []orphan
	for _, r := range o.results {
		if r.result.Origin == origin && jobs[r.result.Job] {
			found = append(found, r)
		}
	}
	return found
}

// expire acknowledges results that nobody has asked for within the retention.
func (o *orphans) expire(now time.Time, retention time.Duration, acknowledge func(ident.HostID, ident.AttemptID)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a, r := range o.results {
		if now.Sub(r.since) > retention {
			delete(o.results, a)
			acknowledge(r.host, a)
		}
	}
}

// HandleFind looks for the attempt of a request among running work and unconfirmed results.
func (d *Dispatcher) HandleFind(_ context.Context, f wire.Find) (wire.FindReply, error) {
	epoch, complete := d.config.Servers.Complete()
	reply := wire.FindReply{Epoch: epoch, Complete: complete}
	if o, ok := d.orphans.find(f.ClaimKey); ok {
		reply.Known, reply.Host, reply.Result = true, o.host, &o.result
		return reply, nil
	}
	if p, ok := d.config.Pool.FindRequest(f.Team, f.Request); ok {
		reply.Known, reply.Host = true, p.Host
	}
	return reply, nil
}

// Find asks every daemon for the attempt of a request. complete means that all of them answered for all servers.
func (d *Dispatcher) Find(ctx context.Context, k wire.ClaimKey) (result *backend.Result, known, complete bool) {
	view, self := d.config.View(), d.config.Self().ID
	complete = true
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		f := wire.Find{Sender: d.sender(), ClaimKey: k}
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
func (d *Dispatcher) HandleAdoptOrigin(_ context.Context, a wire.AdoptOrigin) (wire.AdoptOriginReply, error) {
	epoch, complete := d.config.Servers.Complete()
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
	for _, o := range d.orphans.of(a.Origin, jobs) {
		r := o.result
		reply.Attempts = append(reply.Attempts, wire.AdoptedAttempt{Attempt: r.Attempt, Job: r.Job, Index: r.Index, Host: o.host})
		d.redeliver(o, a.Member)
	}
	return reply, nil
}

// redeliver sends a waiting result to another origin, after a pause in which the origin reads the present reply.
func (d *Dispatcher) redeliver(o orphan, origin ident.MemberID) {
	o.result.Origin = origin
	d.orphans.remove(o.result.Attempt)
	time.AfterFunc(answerRetryPause, func() {
		if d.base.Err() == nil {
			d.deliver(o.host, o.result)
		}
	})
}

// AdoptOrigin asks every daemon for the attempts of a dead origin's jobs.
func (d *Dispatcher) AdoptOrigin(ctx context.Context, origin ident.MemberID, jobs []ident.JobID) ([]Adopted, bool) {
	view, self := d.config.View(), d.config.Self().ID
	complete := true
	var found []Adopted
	for _, m := range view.Filter(member.Active, member.Draining, member.Unreachable) {
		a := wire.AdoptOrigin{Sender: d.sender(), Origin: origin, Jobs: jobs}
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
			found = append(found, Adopted{AdoptedAttempt: r, Owner: m.ID})
		}
	}
	return found, complete
}

// Adopted is an attempt of a dead origin and the daemon that owns its backend server.
type Adopted struct {
	wire.AdoptedAttempt
	Owner ident.MemberID
}

// Resume takes over a task whose attempt already runs; its result is expected from the owner of its server.
func (d *Dispatcher) Resume(w Work, a Adopted) error {
	e := &entry{
		key: w.key(), work: w, phase: running, attempt: a.Attempt, host: a.Host, member: a.Owner,
		attempts: 1, submitted: d.config.Now(), started: d.config.Now(), mayHave: true, suspect: true,
	}
	return d.insert(e)
}
