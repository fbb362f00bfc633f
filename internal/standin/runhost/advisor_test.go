package runhost

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Guards against a stand-in that accepts a start without a valid ticket, or doesn't report one that was never granted.
func TestTickets(t *testing.T) {
	const validity = 2 * time.Second
	timing := sched.Advisor{BaseTime: 10 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: validity}
	for name, c := range map[string]struct {
		play       func(w *testFleet, ticket sched.Ticket) error // returns the result of the last start
		refused    bool
		violations int
	}{
		"valid":                              {play: func(w *testFleet, ticket sched.Ticket) error { return w.start("s0", 0, 1, ticket) }},
		"valid for another task of the step": {play: func(w *testFleet, ticket sched.Ticket) error { return w.start("s0", 1, 1, ticket) }},
		"repeated start after the ticket has expired": {play: func(w *testFleet, ticket sched.Ticket) error {
			err := w.start("s0", 0, 1, ticket)
			w.f.hosts["s0"].runs[sched.TaskID{Job: "j"}].end = time.Now().Add(time.Hour)
			time.Sleep(validity)
			return errors.Join(err, w.start("s0", 0, 1, ticket))
		}},
		"expired": {play: func(w *testFleet, ticket sched.Ticket) error {
			time.Sleep(validity)
			return w.start("s0", 0, 1, ticket)
		}, refused: true},
		"of a former incarnation": {play: func(w *testFleet, ticket sched.Ticket) error {
			w.f.Crash("s0")
			return w.start("s0", 0, 1, ticket)
		}, refused: true},
		"none": {
			play:    func(w *testFleet, _ sched.Ticket) error { return w.start("s0", 0, 1, "") },
			refused: true, violations: 1,
		},
		"of another server": {
			play:    func(w *testFleet, ticket sched.Ticket) error { return w.start("s1", 0, 1, ticket) },
			refused: true, violations: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestFleet(t, Traits{NeedsTicket: true})
				w.f.SetAdvisor(timing, func(_ sched.TaskID, id sched.ServerID) bool { return id != "s2" })
				asked := time.Now()
				granted, err := w.f.Client().Advise(t.Context(), 0, sched.AdviceRequest{Job: "j", Servers: []sched.ServerID{"s0", "s2", "unknown"}})
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(asked); took != timing.CallTime(3) || len(granted) != 1 {
					t.Errorf("the call took %s and granted %v", took, granted)
				}
				err = c.play(w, granted["s0"])
				var refused *coordinator.RefusedError
				if errors.As(err, &refused) != c.refused || refused != nil && refused.Reason != sched.RefusedTicket {
					t.Errorf("result of the start: %v", err)
				}
				if v := w.f.Violations(); len(v) != c.violations {
					t.Errorf("violations %q, want %d", v, c.violations)
				}
			})
		})
	}
}
