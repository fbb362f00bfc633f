package runhost

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// advisor grants the tickets for the tasks with Traits.NeedsTicket.
type advisor struct {
	timing  sched.Advisor
	allows  func(step sched.TaskID, id sched.ServerID) bool
	expires map[sched.Ticket]time.Time
}

// SetAdvisor gives the fleet an advisor. The function reports whether a host may run a step; its answers must not change.
func (f *Fleet) SetAdvisor(timing sched.Advisor, allows func(step sched.TaskID, id sched.ServerID) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advisor = &advisor{timing: timing, allows: allows, expires: map[sched.Ticket]time.Time{}}
}

// advise returns tickets for the hosts that may run a step. A ticket is bound to the step and to the host's incarnation.
func (f *Fleet) advise(ctx context.Context, _ time.Duration, request sched.AdviceRequest) (map[sched.ServerID]sched.Ticket, error) {
	f.mu.Lock()
	a := f.advisor
	f.mu.Unlock()
	if a == nil {
		return nil, coordinator.ErrNotSent
	}
	select {
	case <-ctx.Done():
		return nil, coordinator.ErrNoResponse
	case <-time.After(a.timing.CallTime(len(request.Servers))):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	step := sched.TaskID{Job: request.Job, Occurrence: request.Occurrence, Step: request.Step}
	granted := map[sched.ServerID]sched.Ticket{}
	for _, id := range request.Servers {
		if h := f.hosts[id]; h != nil && a.allows(step, id) {
			ticket := h.ticket(step)
			a.expires[ticket] = time.Now().Add(a.timing.TicketValidity)
			granted[id] = ticket
		}
	}
	return granted, nil
}

// ticketPrefix returns the part of a ticket that names the step and the host.
func (h *host) ticketPrefix(step sched.TaskID) string {
	return fmt.Sprintf("%s.%d.%d/%s@", step.Job, step.Occurrence, step.Step, h.info.ID)
}

func (h *host) ticket(step sched.TaskID) sched.Ticket {
	return sched.Ticket(fmt.Sprintf("%s%d", h.ticketPrefix(step), h.info.Incarnation))
}

// acceptsTicket reports whether a start has a valid ticket or needs none. A ticket that was never granted for the step and the
// host is a violation; one that has expired or is of a former incarnation is only refused.
func (f *Fleet) acceptsTicket(h *host, command sched.StartCommand, now time.Time) bool {
	if f.advisor == nil || !f.traits(command.Task).NeedsTicket {
		return true
	}
	if !strings.HasPrefix(string(command.Ticket), h.ticketPrefix(command.Task)) {
		f.violations = append(f.violations, fmt.Sprintf("%v got a start on %s with ticket %q", command.Task, h.info.ID, command.Ticket))
		return false
	}
	return command.Ticket == h.ticket(command.Task) && now.Before(f.advisor.expires[command.Ticket])
}
