package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// logLines collects the lines of a log at the usual level.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// count returns the number of lines that contain a text.
func (l *logLines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(l.lines), func(line string) bool { return !strings.Contains(line, text) }))
}

// newLoggedTerm returns a term whose calls to servers get no reply, and its log.
func newLoggedTerm(t *testing.T) (*term, *logLines) {
	lines := &logLines{}
	log := funcr.New(func(_, line string) {
		lines.mu.Lock()
		defer lines.mu.Unlock()
		lines.lines = append(lines.lines, line)
	}, funcr.Options{})
	c := &Coordinator{now: time.Now, config: Config{Log: log, ServerClient: ServerClient{
		Poll: func(ctx context.Context, _ sched.FencingToken, _ sched.PollCommand) (sched.Inventory, error) {
			<-ctx.Done()
			return sched.Inventory{}, ErrNoResponse
		},
	}}}
	m := newTerm(c, LeaderRecord{Epoch: 1}, 1, c.now(), formerStopped)
	m.ctx = t.Context()
	return m, lines
}

// Guards against changes of the set of servers that the log doesn't tell, so that tasks which wait for a removed server can't be
// explained (issue 23).
func TestServerDecisionsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, lines := newLoggedTerm(t)
		v := sched.Server{ID: "s1", Incarnation: 7, Address: "s1:1", Service: "pool", Capacity: resource.Vector{CPU: resource.Cores(1)}}
		m.update(func(now time.Time, s *sched.Scheduler) { s.Register(now, v) })
		m.update(func(now time.Time, s *sched.Scheduler) { s.ServerReplaced(now, v) })
		m.update(func(now time.Time, s *sched.Scheduler) { s.Register(now, v) })
		for _, want := range []string{
			`"server added" "server"="s1" "cause"="registered" "incarnation"=7 "address"="s1:1"`,
			`"server removed" "server"="s1" "cause"="address-replaced"`,
			`"server returned" "server"="s1" "cause"="added-again"`,
		} {
			if n := lines.count(want); n != 1 {
				t.Errorf("%d lines with %s in %q", n, want, lines.lines)
			}
		}
	})
}

// Guards against a stuck run that neither the log nor the metrics show, or that floods the log: each is logged once, and counted
// while it is stuck (issue 23).
func TestStuckRunsAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gauge = `rosemaryspoke_stuck_runs{kind="start-unanswered"}`
		m, lines := newLoggedTerm(t)
		m.loaded = true
		m.coordinator.term = m
		m.coordinator.config.Metrics = metrics.NewSet()
		m.coordinator.view = newView(nil, m.config.Log)
		m.coordinator.presence = newPresence(Config{}, "i1")
		m.coordinator.registerGauges()
		m.config.ServerClient.Start = func(ctx context.Context, _ sched.FencingToken, _ sched.StartCommand) (time.Duration, error) {
			<-ctx.Done()
			return 0, ErrNoResponse
		}
		m.config.ServerClient.Poll = func(context.Context, sched.FencingToken, sched.PollCommand) (sched.Inventory, error) {
			time.Sleep(100 * time.Millisecond)
			return sched.Inventory{Incarnation: 1, Clock: time.Duration(time.Now().UnixNano())}, nil
		}
		value := func() string {
			var text strings.Builder
			m.coordinator.config.Metrics.WritePrometheus(&text)
			_, after, _ := strings.Cut(text.String(), gauge+" ")
			number, _, _ := strings.Cut(after, "\n")
			return number
		}
		v := sched.Server{ID: "s1", Incarnation: 1, Address: "s1:1", Service: "pool", Capacity: resource.Vector{CPU: resource.Cores(4)}}
		job := &sched.Job{
			ID: "j", Queue: sched.Queue{ID: "q", Service: "pool", MaxAttempts: 3}, Accepted: time.Now(),
			Steps: []sched.Step{{Count: 1, Demand: resource.Vector{CPU: resource.Cores(1)}}},
		}
		m.update(func(now time.Time, s *sched.Scheduler) {
			s.Register(now, v)
			s.RosterWritten(now, s.TakeRosterChanges(1))
		})
		time.Sleep(time.Second)
		m.update(func(now time.Time, s *sched.Scheduler) {
			s.AddJob(now, job, sched.Progress{}, false)
			s.Schedule(now)
		})
		go func() { _ = m.logLoad(t.Context()) }()
		time.Sleep(5 * time.Second)
		if n, g := lines.count("run is stuck"), value(); n != 0 || g != "0" {
			t.Errorf("after 5 s: %d lines, gauge %s", n, g)
		}
		time.Sleep(15 * time.Second)
		const want = `"run is stuck" "job"="j" "occurrence"=0 "step"=0 "index"=0 "run"=1 "server"="s1" "kind"="start-unanswered" "phase"="starting"`
		if n, g := lines.count(want), value(); n != 1 || g != "1" {
			t.Errorf("after 20 s: %d lines, gauge %s, log %q", n, g, lines.lines)
		}
	})
}

// Guards against a waiting task that neither the log nor the metrics show (issue 40).
func TestLongWaitingTasksAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, lines := newLoggedTerm(t)
		m.loaded = true
		m.coordinator.term = m
		m.coordinator.config.Metrics = metrics.NewSet()
		m.coordinator.view = newView(nil, m.config.Log)
		m.coordinator.presence = newPresence(Config{}, "i1")
		m.coordinator.registerGauges()
		job := &sched.Job{
			ID: "j", Queue: sched.Queue{ID: "q", Service: "pool", MaxAttempts: 3}, Accepted: time.Now(),
			Steps: []sched.Step{{Count: 7, Demand: resource.Vector{CPU: resource.Cores(1)}}},
		}
		m.update(func(now time.Time, s *sched.Scheduler) { s.AddJob(now, job, sched.Progress{}, false) })
		go func() { _ = m.logLoad(t.Context()) }()
		time.Sleep(9 * time.Second)
		if n := lines.count("task waits long"); n != 0 {
			t.Errorf("%d lines after 9 s", n)
		}
		time.Sleep(5 * time.Second)
		const want = `"task waits long" "job"="j" "occurrence"=0 "step"=0 "index"=0 "age"="11s" "reason"="no-room"`
		if n := lines.count(want); n != 1 {
			t.Errorf("%d lines with %s after 14 s, log %q", n, want, lines.lines)
		}
		var text strings.Builder
		m.coordinator.config.Metrics.WritePrometheus(&text)
		if want := "rosemaryspoke_long_waiting_tasks 7\n"; !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, text.String())
		}
	})
}
