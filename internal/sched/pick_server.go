package sched

import "time"

// maxPolledAtOnce bounds the idle servers that are polled in one pass for a task because another one is silent.
const maxPolledAtOnce = 32

// pickServer returns the server with the highest score for a task, or nil. A long-running task waits briefly for the answer of a
// server that hasn't answered recently; once one doesn't come, it takes a server that has. If its latest start had no answer, a
// server that has answered a command since comes first. If no other server has room, it takes a suspected one, and after
// reservationPatience a reserved one. It sets withheld, latestTask and unproven.
func (p *pass) pickServer(r *rankedGroup, t *task, taken tentative) *server {
	g := r.group
	charge := g.step.Charge()
	var (
		best     choice
		proven   choice // the best one of those that answered recently, and commands if needed; only for long-running tasks
		unproven []*server
		silent   bool   // one didn't answer promptly
		withheld choice // the best one of those that don't admit the task yet
		// lastResort is the best one of those that are suspected or reserved; only for long-running tasks.
		lastResort choice
	)
	rack := g.rackInUse(taken)
	for _, v := range p.candidates(g, r.queue) {
		p.counts.ServersRead++
		if !v.usableFor(g.step, p.now) {
			continue
		}
		reserved := p.reserved[v.info.ID]
		if reserved && !p.waitsLong(t) || !eligible(g.step, v) || !p.speeds.contains(v) {
			continue
		}
		if !v.admits(g, charge.Times(int64(taken[v]+1))) {
			continue
		}
		if !g.allowsAnother(v, taken[v]) {
			continue
		}
		x := p.score(g, t, v, rack) + g.speedScore(v)
		switch {
		case !g.step.LongRunning:
		case !v.admitsLongRunning(t.id()):
			withheld.add(v, x)
			continue
		case reserved || v.quarantined(p.now):
			lastResort.add(v, x)
			continue
		case t.unansweredAt.IsZero() && p.answeredSince(v, t.lostAt), v.answersCommands(t):
			proven.add(v, x)
		case p.overdue(v):
			silent = true
			continue
		default:
			unproven = append(unproven, v)
		}
		best.add(v, x)
	}
	p.withheld, p.latestTask, p.unproven = withheld.server, t, unproven
	if !t.unansweredAt.IsZero() && proven.server != nil {
		return proven.server
	}
	if silent {
		// Servers are often lost together, so idle ones are polled at once and not one after the other.
		if proven.server != nil {
			return proven.server
		}
		p.allRespond(unproven[:min(len(unproven), maxPolledAtOnce)], t.lostAt)
	}
	if best.server == nil {
		return lastResort.server
	}
	return best.server
}

// reservationPatience is how long a long-running task leaves servers to large tasks that wait for room there. Callers count it as lost once it
// has had no run for 9 s.
const reservationPatience = 2 * time.Second

// waitsLong reports whether a long-running task has waited for reservationPatience.
func (s *Scheduler) waitsLong(t *task) bool {
	return t.group.step.LongRunning && t.waiting() && s.now.Sub(latest(t.waitingSince, t.group.readySince)) >= reservationPatience
}

// choice is the server with the highest score so far.
type choice struct {
	server *server
	score  float64
}

func (c *choice) add(v *server, score float64) {
	if c.server == nil || score > c.score || score == c.score && v.info.ID < c.server.info.ID {
		c.server, c.score = v, score
	}
}

// candidates returns the servers that may run a group now: all of the service, or those with a valid ticket if the queue has
// an advisor.
func (p *pass) candidates(g *group, q *Queue) []*server {
	if q.Advisor == nil {
		return p.services[q.Service]
	}
	if !p.now.Before(g.advice.expiresAt) {
		return nil
	}
	out := p.scratch[:0]
	for i := range g.advice.grants {
		t := &g.advice.grants[i]
		if v := p.serverOf(t); v != nil && v.info.Service == q.Service && p.now.Before(t.expiresAt) {
			out = append(out, v)
		}
	}
	p.scratch = out
	return out
}
