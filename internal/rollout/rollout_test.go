package rollout

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var six = []ident.MemberID{"a1", "a2", "a3", "a4", "b1", "b2"}

// Guards against a change that doesn't reach every daemon, or that crosses the region link more than once.
func TestPublishReachesEveryDaemon(t *testing.T) {
	c := newCell(t, six...)
	receipt := c.publish("a3", sample(6, 2))
	if receipt.Version != 1 || receipt.Outcome != Pending {
		t.Fatalf("receipt %+v", receipt)
	}
	c.round(4)
	if got := c.versions(); slices.Min(got) != 1 {
		t.Fatalf("versions %v after four rounds", got)
	}
	if got := c.fresh(); len(got) != len(six) {
		t.Errorf("fresh are %v", got)
	}
	if accepted, statuses, err := c.nodes["a2"].Accepted(context.Background(), 1); err != nil || !accepted {
		t.Errorf("not accepted: %+v, %v", statuses, err)
	}
	c.crossed = 0
	changed := sample(6, 2)
	changed.Teams[0].Limit = 7
	c.publish("b2", changed)
	c.round(4)
	if got := c.versions(); slices.Min(got) != 2 {
		t.Fatalf("versions %v after four rounds", got)
	}
	if c.crossed > 1 {
		t.Errorf("%d copies crossed the region link", c.crossed)
	}
	if got := c.nodes["b1"].Current().Limit("team-000"); got != 7 {
		t.Errorf("limit is %d on b1", got)
	}
}

// Guards against a lost reply that is reported as the opposite of what the store did.
func TestLostReplyIsSettled(t *testing.T) {
	c := newCell(t, six...)
	c.publish("a1", sample(2, 1))
	lost := 0
	c.store.swap = func(key string) (error, error) {
		if key == indexKey && lost < 1 {
			lost++
			return nil, platform.ErrUnknownOutcome
		}
		return nil, nil
	}
	changed := sample(2, 1)
	changed.Teams[1].Limit = 3
	if receipt := c.publish("a2", changed); receipt.Version != 2 || lost != 1 {
		t.Errorf("receipt %+v", receipt)
	}
}

// Guards against two operators both believing that their change is in force.
func TestLoserOfARaceIsToldTheWinner(t *testing.T) {
	c := newCell(t, six...)
	c.publish("a1", sample(2, 1))
	c.round(3)
	first, second := sample(3, 1), sample(4, 1)
	signed := c.sign(c.nodes["a2"], second, 1, 2)
	c.publish("a3", first)
	_, err := c.nodes["a2"].Publish(context.Background(), second, 1, signed)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Version != 2 || conflict.Writer != "a3" {
		t.Errorf("loser got %v", err)
	}
}

// Guards against unsigned configurations.
func TestTooFewSignOffs(t *testing.T) {
	c := newCell(t, six...)
	b := sample(2, 1)
	_, err := c.nodes["a1"].Publish(context.Background(), b, 0, c.sign(c.nodes["a1"], b, 0, 1))
	if !errors.Is(err, bundle.ErrUnsigned) {
		t.Errorf("got %v", err)
	}
}
