package placement

import "github.com/rosemaryspoke/rosemaryspoke/pkg/ident"

// SetOrigin sets the origin of an attempt, the daemon that waits for its result.
func (p *Pool) SetOrigin(id ident.AttemptID, origin ident.MemberID) {
	placed, ok := p.Find(id)
	if !ok {
		return
	}
	host := placed.Host
	s := p.shardOf(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.hosts[host]; ok && h.attempts[id] != nil {
		h.attempts[id].Task.Origin = origin
	}
}

// ReassignOrigin sets a new origin on the attempts of the given jobs that have the old origin, and returns these
// attempts.
func (p *Pool) ReassignOrigin(from ident.MemberID, jobs map[ident.JobID]bool, to ident.MemberID) []PlacedAttempt {
	var found []PlacedAttempt
	p.forEachAttempt(func(t *PlacedAttempt) {
		if t.Task.Origin == from && jobs[t.Task.Job] {
			t.Task.Origin = to
			found = append(found, *t)
		}
	})
	return found
}

// FindRequest returns the attempt that runs a team's request.
func (p *Pool) FindRequest(team ident.TeamID, request ident.RequestID) (PlacedAttempt, bool) {
	var found PlacedAttempt
	ok := false
	p.forEachAttempt(func(t *PlacedAttempt) {
		if t.Task.Team == team && t.Task.Request == request {
			found, ok = *t, true
		}
	})
	return found, ok
}

// forEachAttempt calls f for every attempt while the lock of its shard is held.
func (p *Pool) forEachAttempt(f func(t *PlacedAttempt)) {
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			for _, t := range h.attempts {
				f(t)
			}
		}
		s.mu.Unlock()
	}
}
