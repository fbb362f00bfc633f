package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
	m := newTerm(c, LeaderRecord{Epoch: 1}, 1, true)
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
		m.update(func(now time.Time, s *sched.Scheduler) { s.ServerReplaced(now, "s1", "s1:1") })
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
