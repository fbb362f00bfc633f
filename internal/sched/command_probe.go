package sched

import (
	"cmp"
	"slices"
	"time"
)

// commandProbePause is the shortest pause between two probes of a server.
const commandProbePause = time.Second

// noteCommandAnswer notes that a server has answered a command that was sent at a time.
func (s *Scheduler) noteCommandAnswer(id ServerID, sent time.Time) {
	if v := s.servers[id]; v != nil {
		v.commandAnsweredAt = latest(v.commandAnsweredAt, sent)
	}
}

// answersCommands reports whether a server has answered a command since the latest start of a task had no answer. That it answers polls
// doesn't show this.
func (v *server) answersCommands(t *task) bool {
	return !t.unansweredAt.IsZero() && !v.commandAnsweredAt.Before(latest(t.unansweredAt, t.lostAt))
}

// awaitsCommandAnswer reports whether a task whose latest start had no answer should wait instead of starting on the server that was just
// picked for it: that one has answered no command since, but another one may, or may get a ticket. It looks for such a server.
func (p *pass) awaitsCommandAnswer(r *rankedGroup, t *task, picked *server) bool {
	if t.unansweredAt.IsZero() || picked.answersCommands(t) {
		return false
	}
	unproven := p.unproven
	if r.queue.Advisor != nil {
		if len(p.answeringServers(r.group, r.queue, t)) > 0 {
			p.adviceQueue = append(p.adviceQueue, *r)
			return true
		}
		unproven = p.advisableServers(r.group, r.queue)
	}
	return p.probeCommands(t, unproven)
}

// probeCommands sends a command to servers once after each start of a task without an answer: it stops the latest run of the task, which
// has ended, on those that it hasn't probed for longest. It reports whether answers may still come.
func (p *pass) probeCommands(t *task, servers []*server) bool {
	if t.probedAt.Before(t.unansweredAt) {
		t.probedAt = p.now
		slices.SortFunc(servers, func(a, b *server) int {
			return cmp.Or(a.commandProbedAt.Compare(b.commandProbedAt), cmp.Compare(a.info.ID, b.info.ID))
		})
		for _, v := range servers[:min(len(servers), maxPolledAtOnce)] {
			if p.now.Sub(v.commandProbedAt) < commandProbePause {
				break
			}
			v.commandProbedAt = p.now
			p.counts.Stops++
			p.emit(StopCommand{Server: v.info, Task: t.id(), Run: t.lastRun, Reason: "probe", CommonDelay: p.delay.median})
		}
	}
	return p.now.Sub(t.probedAt) < promptReply+replyTimeoutFactor*p.delay.median
}

// advisableServers returns the servers of a service that could run a task of a group now and that its advisor hasn't ruled out.
func (s *Scheduler) advisableServers(g *group, q *Queue) []*server {
	var out []*server
	for _, v := range s.services[q.Service] {
		s.counts.ServersRead++
		if allowed, known := g.advice.allowed[v.incarnationID()]; known && !allowed {
			continue
		}
		if v.usable(s.now) && eligible(g.step, v) && g.allowsAnother(v, 0) && v.fits(g.step.Charge()) {
			out = append(out, v)
		}
	}
	return out
}

// answeringServers returns the advisable servers without a ticket that have answered a command since the latest start of a task had no
// answer.
func (s *Scheduler) answeringServers(g *group, q *Queue, t *task) []*server {
	return slices.DeleteFunc(s.advisableServers(g, q), func(v *server) bool {
		return !v.answersCommands(t) || g.advice.ticket(v, s.now) != ""
	})
}

// answeringServersToAsk selects servers for the advisor call of a group with a task whose latest start had no answer.
func (s *Scheduler) answeringServersToAsk(g *group, q *Queue) []ServerID {
	if !g.step.LongRunning {
		return nil
	}
	for t := range g.tasks.used() {
		if t.waiting() && !t.unansweredAt.IsZero() {
			return mostFree(s.answeringServers(g, q, t), maxServersPerCall)
		}
	}
	return nil
}
