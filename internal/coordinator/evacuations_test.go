package coordinator

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against an old reply that ends an evacuation or revives one, and against one that never ends: replies to a watch and reads
// through peers may arrive in any order.
func TestOrderOfEvacuationChanges(t *testing.T) {
	for name, c := range map[string]struct {
		apply func(*evacuations)
		want  bool
	}{
		"requested":              {func(e *evacuations) { e.set("d", true, 5) }, true},
		"withdrawn":              {func(e *evacuations) { e.set("d", true, 5); e.set("d", false, 6) }, false},
		"requested again":        {func(e *evacuations) { e.set("d", true, 5); e.set("d", false, 6); e.set("d", true, 7) }, true},
		"old withdrawal":         {func(e *evacuations) { e.set("d", true, 7); e.set("d", false, 6) }, true},
		"old request":            {func(e *evacuations) { e.set("d", false, 7); e.set("d", true, 5) }, false},
		"peer without the key":   {func(e *evacuations) { e.set("d", true, 5); e.set("d", false, 0) }, false},
		"request after that":     {func(e *evacuations) { e.set("d", true, 5); e.set("d", false, 0); e.set("d", true, 6) }, true},
		"read with the key":      {func(e *evacuations) { e.replace(map[ident.DataCentre]platform.Revision{"d": 5}, 9) }, true},
		"read without the key":   {func(e *evacuations) { e.set("d", true, 5); e.replace(nil, 9) }, false},
		"old read without it":    {func(e *evacuations) { e.set("d", true, 10); e.replace(nil, 9) }, true},
		"prefix itself":          {func(e *evacuations) { e.set("", true, 5) }, false},
		"read of other requests": {func(e *evacuations) { e.replace(map[ident.DataCentre]platform.Revision{"x": 5}, 9) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e evacuations
			c.apply(&e)
			e.publish()
			if got := e.includes("d") || e.includes(""); got != c.want {
				t.Errorf("evacuated: %t", got)
			}
		})
	}
}

// Guards against reads through peers while the store answers, and against a leader that waits for a store which answers with errors or
// not at all.
func TestOverdueEvacuationWatch(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	w := &evacuationWatch{}
	w.answered(at(0))
	check := func(now, want time.Duration) {
		t.Helper()
		if got := w.overdue(at(now)); got != want {
			t.Errorf("overdue by %s at %s, want %s", got, now, want)
		}
	}
	check(evacuationWatchTimeout, 0)
	check(evacuationWatchTimeout+time.Second, time.Second)
	w.failed(at(200 * time.Millisecond))
	w.failed(at(900 * time.Millisecond))
	check(1200*time.Millisecond, time.Second)
	w.answered(at(1300 * time.Millisecond))
	check(1300*time.Millisecond+evacuationWatchTimeout, 0)
}

// newEvacuatedTerm returns a term with a server of data centre d1 that counts starts, and its log.
func newEvacuatedTerm(t *testing.T) (*term, *logLines, *atomic.Int32) {
	m, lines := newLoggedTerm(t)
	m.cancel = func(error) {}
	m.config.EvacuationPrefix = "requests/evacuate/"
	m.coordinator.view = newView(nil, m.config.Log)
	m.coordinator.presence = newPresence(Config{}, "i1")
	m.coordinator.config.Metrics = metrics.NewSet()
	starts := &atomic.Int32{}
	m.config.ServerClient.Start = func(ctx context.Context, _ sched.FencingToken, _ sched.StartCommand) (time.Duration, error) {
		time.Sleep(50 * time.Millisecond) // for a connection
		if !MaySend(ctx) {
			return 0, ErrNotSent
		}
		starts.Add(1)
		return 0, ErrNoResponse
	}
	m.serverCtx = WithSendCheck(m.ctx, m.mayCommand)
	m.update(func(now time.Time, s *sched.Scheduler) {
		s.Register(now, sched.Server{
			ID: "s1", Incarnation: 1, Address: "s1:1", Service: "pool", DataCentre: "d1", Capacity: resource.Vector{CPU: resource.Cores(1)},
		})
	})
	return m, lines, starts
}

// Guards against starts that have waited, for the confirmation of the leader, for a connection or for a proxy, and are sent after the
// request to evacuate their data centre.
func TestWaitingStartsAreWithheld(t *testing.T) {
	cmd := sched.StartCommand{Server: sched.Server{ID: "s1", DataCentre: "d1"}, Task: sched.TaskID{Job: "j"}, Run: 1}
	for name, wait := range map[string]func(*term){
		"confirmation": func(m *term) {
			time.Sleep(isolationTimeout + time.Millisecond)
			go m.startRun(cmd)
			time.Sleep(100 * time.Millisecond)
		},
		"connection": func(m *term) {
			go m.startRun(cmd)
			time.Sleep(10 * time.Millisecond)
		},
		"none": func(*term) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, _, starts := newEvacuatedTerm(t)
				m.confirm(time.Now())
				wait(m)
				m.changeEvacuations(sourceWatch, func(e *evacuations) { e.set("d1", true, 5) })
				m.confirm(time.Now())
				if name == "none" {
					m.startRun(cmd)
				}
				time.Sleep(time.Second)
				if starts.Load() != 0 {
					t.Errorf("%d starts in the evacuated data centre", starts.Load())
				}
				m.changeEvacuations(sourceWatch, func(e *evacuations) { e.set("d1", false, 6) })
				m.startRun(cmd)
				if starts.Load() != 1 {
					t.Errorf("%d starts after the withdrawal", starts.Load())
				}
				calls := []*proxiedCall{{command: cmd}, {command: sched.StopCommand{Server: cmd.Server}}}
				if kept := m.dropOutdated(slices.Clone(calls)); len(kept) != 2 {
					t.Errorf("%d commands for a proxy", len(kept))
				}
				m.changeEvacuations(sourceWatch, func(e *evacuations) { e.set("d1", true, 7) })
				kept := m.dropOutdated(calls)
				if len(kept) != 1 {
					t.Fatalf("%d commands for a proxy in the evacuated data centre", len(kept))
				}
				if _, ok := kept[0].command.(sched.StopCommand); !ok {
					t.Errorf("the proxy gets %+v", kept[0].command)
				}
			})
		})
	}
}

// Guards against an evacuation that the log doesn't tell, or tells again with each reply, and against one that the metrics don't show.
func TestEvacuationsAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, lines, _ := newEvacuatedTerm(t)
		m.loaded = true
		m.coordinator.term = m
		m.coordinator.registerGauges()
		gauge := func(name string, want float64) {
			t.Helper()
			if got := m.coordinator.config.Metrics.GetOrCreateGauge(name, nil).Get(); got != want {
				t.Errorf("%s is %g, want %g", name, got, want)
			}
		}
		gauge("rosemaryspoke_evacuated_data_centres", 0)
		for range 3 {
			m.changeEvacuations(sourcePeer, func(e *evacuations) { e.set("d1", true, 5) })
		}
		gauge("rosemaryspoke_evacuated_data_centres", 1)
		gauge(`rosemaryspoke_evacuation{kind="servers"}`, 1)
		gauge(`rosemaryspoke_evacuation{kind="moving"}`, 0)
		for range 3 {
			m.changeEvacuations(sourceWatch, func(e *evacuations) { e.set("d1", false, 6) })
		}
		for _, want := range []string{
			`"data centre evacuated" "data-centre"="d1" "source"="peer" "revision"=5 "servers"=1`,
			`"evacuation of the data centre ended" "data-centre"="d1" "source"="watch" "revision"=6`,
		} {
			if n := lines.count(want); n != 1 {
				t.Errorf("%d lines with %s in %q", n, want, lines.lines)
			}
		}
		m.logMoves([]sched.MoveDecision{
			{Task: sched.TaskID{Job: "j", Index: 2}, Run: 7, Server: "s1", DataCentre: "d1"}, {Task: sched.TaskID{Job: "j"}, Withheld: "no-room"},
		}, 3)
		for _, want := range []string{
			`"long-running task moved out of an evacuated data centre" "job"="j"`, `"long-running tasks stay in an evacuated data centre" "job"="j"`,
			`"reason"="no-room"`, `"decisions not logged" "count"=3`,
		} {
			if n := lines.count(want); n != 1 {
				t.Errorf("%d lines with %s in %q", n, want, lines.lines)
			}
		}
	})
}
