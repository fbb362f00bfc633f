package coordinator_test

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
)

// Guards against a statement of the leader that doesn't reach the other daemons, and against a refused job that runs.
func TestDaemonRefusesByTheLeadersStatement(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, taskTime)
	c.admission, c.teamWeight = true, 0.5
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	b := c.start("b", time.Minute)
	c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" && b.configured() })
	const backlog = 400 // 60 s of work, of which the leader has to see 10 s
	c.mustSubmit(a, backlog, 4)
	n := backlog
	var refused entry.Response
	c.await("a refusal", 40*time.Second, func() bool {
		time.Sleep(100 * time.Millisecond)
		n++
		refused = b.submit(jobID(n), 4)
		return refused.Kind == entry.Refused
	})
	if refused.RetryAfter < time.Second || refused.RetryAfter > 30*time.Second {
		t.Errorf("refused with %+v", refused)
	}
	if _, ok := c.store.Peek(coordinator.JobKey(jobID(n))); ok {
		t.Error("the refused job is recorded")
	}
	if r := b.submit(jobID(0), 4); r.Kind != entry.Accepted {
		t.Errorf("repeated submission of a recorded job: %+v", r)
	}
}
