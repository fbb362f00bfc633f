package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a reset that only the leader's operator listener takes, and against an answer of success without a leader.
func TestResetPastUseThroughAnyDaemon(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, time.Minute)
	c.pastUseHalfLife = time.Hour
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	b := c.start("b", time.Minute)
	c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" && b.configured() })
	c.mustSubmit(a, 1, 4)
	used := func() sched.TeamUse { return a.coordinator.Dump("").Scheduler.PastUse["blue"] }
	c.await("use of the team", 5*time.Second, func() bool { return used().Total > 0 })
	reset := func(team ident.TeamID) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		former, err := b.coordinator.ResetPastUse(ctx, team)
		if err == nil && former.Total <= 0 {
			t.Errorf("former use %+v", former)
		}
		return err
	}
	before := used().Total
	if err := reset("blue"); err != nil {
		t.Fatal(err)
	}
	if now := used().Total; now >= before {
		t.Errorf("use after the reset %v, before %v", now, before)
	}
	if err := reset("nobody"); !errors.Is(err, coordinator.ErrUnknownTeam) {
		t.Errorf("unknown team: %v", err)
	}
	a.stop()
	if err := reset("blue"); !errors.Is(err, coordinator.ErrNoLeader) {
		t.Errorf("without a leader: %v", err)
	}
}

// Guards against a reset that seems to work where past use is off, and against store calls there.
func TestResetPastUseWhenOff(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, taskTime)
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	c.await("the load", 3*time.Second, func() bool { return a.coordinator.Dump("").Leading })
	if _, err := a.coordinator.ResetPastUse(t.Context(), "blue"); !errors.Is(err, coordinator.ErrPastUseOff) {
		t.Errorf("got %v", err)
	}
}
