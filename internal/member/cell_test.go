package member

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	testInterval = 10 * time.Millisecond
	testTTL      = 6 * testInterval
	// ttlSteps is the number of steps in one lease period.
	ttlSteps = int(testTTL / testInterval)
	// manySteps are enough for every delay of the evaluation together.
	manySteps = 12 * ttlSteps
)

// cell is a set of members around one store. In stepped cells the clock stands still between steps; each step
// advances it by one interval and lets every member that isn't paused or dead do one round in id order.
type cell struct {
	t      *testing.T
	server *kv.Server

	mu    sync.Mutex
	clock time.Time
	cut   bool // the regions can't reach each other
	nodes map[ident.MemberID]*node
	store func(ident.Region) platform.Store
	pace  time.Duration // interval of the members
	via   bool          // members probe through others too
	hook  func() error  // called instead of the next probe
	lose  string        // key of which the next write loses its reply
}

// node is one process. A paused process makes no calls and answers no probes.
type node struct {
	*Group
	cell         *cell
	evaluation   *evaluation
	last         ident.Epoch
	record       platform.Revision // from which the record is polled; 0 loads it
	alive        platform.Revision // the same for the presence keys
	paused, dead bool
	removed      int // calls of OnRemoved
	err          error
}

func newCell(t *testing.T) *cell {
	c := &cell{t: t, clock: time.Unix(1_000_000, 0), nodes: map[ident.MemberID]*node{}}
	c.server = kv.New(kv.Config{Seed: 11, Now: c.now})
	c.store, c.pace = c.server.StoreFrom, testInterval
	return c
}

func (c *cell) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}

// add starts processes with ids of the form <region>-<number>; a process with the same id dies.
func (c *cell) add(now func() time.Time, ids ...ident.MemberID) {
	c.t.Helper()
	for _, id := range ids {
		name, _, _ := strings.Cut(string(id), "-")
		region := ident.Region(name)
		n := &node{cell: c, evaluation: newEvaluation(now())}
		config := Config{
			Store:    checkedStore{Store: c.store(region), cell: c},
			Self:     Member{ID: id, Address: "127.0.0.1:1", DataCentre: ident.DataCentre(region + "-a"), Region: region},
			LeaseTTL: time.Duration(ttlSteps) * c.pace, Interval: c.pace, ProbeTimeout: c.pace, Now: now,
			Probe: func(_ context.Context, m Member) error { return c.probe(region, m) },
		}
		if c.via {
			config.ProbeVia = func(_ context.Context, via, m Member) error {
				return errors.Join(c.probe(region, via), c.probe(via.Region, m))
			}
		}
		g, err := New(config)
		if err != nil {
			c.t.Fatal(err)
		}
		n.Group = g
		g.OnRemoved(func() {
			if g.Joined() {
				c.t.Errorf("%s: rejoined before OnRemoved", id)
			}
			n.removed++
		})
		c.mu.Lock()
		c.nodes[id] = n
		c.mu.Unlock()
	}
}

// start adds processes to a stepped cell and lets them join.
func (c *cell) start(ids ...ident.MemberID) {
	c.t.Helper()
	c.add(c.now, ids...)
	c.steps(2 * ttlSteps)
}

func (c *cell) node(id ident.MemberID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// probe asks the process that runs under the member's id.
func (c *cell) probe(from ident.Region, m Member) error {
	target := c.node(m.ID)
	c.mu.Lock()
	hook := c.hook
	c.hook = nil
	c.mu.Unlock()
	if hook != nil {
		return hook()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == nil || target.dead || target.paused || c.cut && from != m.Region {
		return errors.New("no answer")
	}
	return nil
}

// set changes the state of processes.
func (c *cell) set(change func(n *node), ids ...ident.MemberID) {
	for _, id := range ids {
		n := c.node(id)
		c.mu.Lock()
		change(n)
		c.mu.Unlock()
	}
}

func kill(n *node)   { n.dead = true }
func pause(n *node)  { n.paused = true }
func resume(n *node) { n.paused = false }

// cutOff separates the regions; the store stays in region sfax.
func (c *cell) cutOff(cut bool) {
	c.mu.Lock()
	c.cut = cut
	c.mu.Unlock()
	c.server.CutOff()
	if cut {
		c.server.CutOff("tunis")
	}
}

func (c *cell) steps(count int) {
	c.t.Helper()
	for range count {
		c.mu.Lock()
		c.clock = c.clock.Add(testInterval)
		c.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
			if n := c.nodes[id]; !n.dead && !n.paused {
				n.round(c.t)
			}
		}
	}
}

// round does what the loops of Run do in one interval.
func (n *node) round(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	before := n.View().Epoch
	n.poll(ctx, &n.record, KeyMembers, n.load, n.applyRecord)
	n.err = n.maintain(ctx)
	n.last = n.deliver(n.last) // after maintain, which must not rejoin before the callbacks
	if errors.Is(n.err, ErrReplaced) {
		n.dead = true
		return
	}
	if !n.poll(ctx, &n.alive, PrefixAlive, n.loadPresence, n.applyPresence) {
		n.watch.unsynced()
	}
	if err := n.evaluate(ctx, n.evaluation); err != nil {
		n.err = err
	}
	if after := n.View().Epoch; after < before {
		t.Errorf("%s: view went from epoch %d to %d", n.Self().ID, before, after)
	}
}

// poll does one turn of follow with a poll that doesn't wait, and reports whether the store answered.
func (n *node) poll(
	ctx context.Context, after *platform.Revision, prefix string,
	load func(context.Context) (platform.Revision, error), apply func([]platform.Event) error,
) bool {
	var events []platform.Event
	next, err := *after, error(nil)
	if next == 0 {
		next, err = load(ctx)
	} else if events, next, err = n.store.watch(ctx, prefix, next, 0); err == nil {
		err = apply(events)
	}
	if err != nil {
		next = 0
	}
	*after = next
	return err == nil
}

// checkedStore fails the test when a change of the record doesn't raise the epoch by exactly one.
type checkedStore struct {
	platform.Store
	cell *cell
}

func (s checkedStore) CompareAndSwap(
	ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	if key == KeyMembers {
		s.check(ctx, expect, value)
	}
	if key == s.cell.lose {
		s.cell.lose = ""
		s.cell.server.LoseReplies(1)
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s checkedStore) check(ctx context.Context, expect platform.Revision, value []byte) {
	if item, err := s.Get(ctx, KeyMembers); err == nil && item.Revision == expect {
		var old, next record
		if err := errors.Join(json.Unmarshal(item.Value, &old), json.Unmarshal(value, &next)); err != nil {
			s.cell.t.Error(err)
		}
		if next.Epoch != old.Epoch+1 {
			s.cell.t.Errorf("epoch %d after %d", next.Epoch, old.Epoch)
		}
	}
}

// states returns the members of a view with their states.
func states(v View) map[ident.MemberID]State {
	all := map[ident.MemberID]State{}
	for _, m := range v.Members {
		all[m.ID] = m.State
	}
	return all
}

func active(ids ...ident.MemberID) map[ident.MemberID]State {
	all := map[ident.MemberID]State{}
	for _, id := range ids {
		all[id] = Active
	}
	return all
}

// want fails the test unless every running process that the store can be reached from holds these members.
func (c *cell) want(what string, want map[ident.MemberID]State) {
	c.t.Helper()
	for id, n := range c.nodes {
		if n.dead || n.paused || c.cut && n.config.Self.Region != "sfax" {
			continue
		}
		if got := states(n.View()); !maps.Equal(got, want) {
			c.t.Fatalf("%s: %s holds %v, want %v", what, id, got, want)
		}
	}
}

// wantRemoved fails the test unless the process was told of its removal this many times.
func (c *cell) wantRemoved(id ident.MemberID, times int) {
	c.t.Helper()
	if n := c.node(id); n.removed != times {
		c.t.Fatalf("%s: %d calls of OnRemoved, want %d", id, n.removed, times)
	}
}

// realTimeServer returns a store on the real clock that ends lapsed leases by itself.
func realTimeServer(t *testing.T) *kv.Server {
	server := kv.New(kv.Config{Seed: 11, Tick: testInterval / 2})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return server
}
