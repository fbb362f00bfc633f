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
	// convergenceSteps cover all delays of the evaluation added up.
	convergenceSteps = 12 * ttlSteps
)

// cluster simulates the members of a cell around one store. In a stepped cluster the clock stands still between steps. Each
// step advances it by one interval, and then every member that isn't paused or dead runs one round, in id order.
type cluster struct {
	t      *testing.T
	server *kv.Server

	mu             sync.Mutex
	clock          time.Time
	linkLost       bool // the link between the regions is lost
	nodes          map[ident.MemberID]*node
	storeFor       func(ident.Region) platform.Store
	interval       time.Duration // interval of the members
	indirectProbes bool          // members also probe through intermediaries
	onNextProbe    func() error  // called instead of the next probe
	loseReplyOf    string        // key whose next write loses its reply
}

// node is one simulated process. A paused process makes no calls and answers no probes.
type node struct {
	*Group
	cluster          *cluster
	evaluator        *evaluatorState
	deliveredEpoch   ident.Epoch
	recordPosition   platform.Revision // revision after which the record is polled; 0 loads the record
	presencePosition platform.Revision // the same for the presence keys
	paused, dead     bool
	removals         int // calls of OnRemoved
	err              error
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, clock: time.Unix(1_000_000, 0), nodes: map[ident.MemberID]*node{}}
	c.server = kv.New(kv.Config{Seed: 11, Now: c.now})
	c.storeFor, c.interval = c.server.StoreFrom, testInterval
	return c
}

func (c *cluster) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}

// startProcesses starts processes with ids of the form <region>-<number>; each replaces an earlier process with the same id.
func (c *cluster) startProcesses(now func() time.Time, ids ...ident.MemberID) {
	c.t.Helper()
	for _, id := range ids {
		name, _, _ := strings.Cut(string(id), "-")
		region := ident.Region(name)
		n := &node{cluster: c, evaluator: newEvaluatorState(now())}
		config := Config{
			Store:    epochCheckingStore{Store: c.storeFor(region), cluster: c},
			Self:     Member{ID: id, Address: "127.0.0.1:1", DataCentre: ident.DataCentre(region + "-a"), Region: region},
			LeaseTTL: time.Duration(ttlSteps) * c.interval, Interval: c.interval, ProbeTimeout: c.interval, Now: now,
			Probe: func(_ context.Context, m Member) error { return c.probe(region, m) },
		}
		if c.indirectProbes {
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
				c.t.Errorf("%s: rejoined before OnRemoved returned", id)
			}
			n.removals++
		})
		c.mu.Lock()
		c.nodes[id] = n
		c.mu.Unlock()
	}
}

// joinMembers starts processes in a stepped cluster and runs it until they have joined.
func (c *cluster) joinMembers(ids ...ident.MemberID) {
	c.t.Helper()
	c.startProcesses(c.now, ids...)
	c.runSteps(2 * ttlSteps)
}

func (c *cluster) node(id ident.MemberID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// probe fails unless the process with the member's id runs and the link to it works.
func (c *cluster) probe(from ident.Region, m Member) error {
	target := c.node(m.ID)
	c.mu.Lock()
	hook := c.onNextProbe
	c.onNextProbe = nil
	c.mu.Unlock()
	if hook != nil {
		return hook()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == nil || target.dead || target.paused || c.linkLost && from != m.Region {
		return errors.New("no answer")
	}
	return nil
}

// update changes processes under the lock.
func (c *cluster) update(change func(n *node), ids ...ident.MemberID) {
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

// setLinkLost loses or restores the link between the regions; the store is in region sfax.
func (c *cluster) setLinkLost(cut bool) {
	c.mu.Lock()
	c.linkLost = cut
	c.mu.Unlock()
	c.server.CutOffRegions()
	if cut {
		c.server.CutOffRegions("tunis")
	}
}

func (c *cluster) runSteps(count int) {
	c.t.Helper()
	for range count {
		c.mu.Lock()
		c.clock = c.clock.Add(testInterval)
		c.mu.Unlock()
		for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
			if n := c.nodes[id]; !n.dead && !n.paused {
				n.runRound(c.t)
			}
		}
	}
}

// runRound does what the loops of Run do in one interval.
func (n *node) runRound(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	before := n.View().Epoch
	n.poll(ctx, &n.recordPosition, KeyMembers, n.loadRecord, n.applyRecord)
	n.err = n.maintain(ctx)
	n.deliveredEpoch = n.runCallbacks(n.deliveredEpoch) // after maintain, which must not rejoin before the callbacks
	if errors.Is(n.err, ErrReplaced) {
		n.dead = true
		return
	}
	if !n.poll(ctx, &n.presencePosition, PrefixPresence, n.loadPresence, n.applyPresence) {
		n.presenceCache.invalidate()
	}
	if err := n.evaluate(ctx, n.evaluator); err != nil {
		n.err = err
	}
	if after := n.View().Epoch; after < before {
		t.Errorf("%s: view epoch decreased from %d to %d", n.Self().ID, before, after)
	}
}

// poll runs one iteration of watchPrefix with a poll that returns at once, and reports whether the store answered.
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

// epochCheckingStore fails the test when a change of the record doesn't raise the epoch by exactly one.
type epochCheckingStore struct {
	platform.Store
	cluster *cluster
}

func (s epochCheckingStore) CompareAndSwap(
	ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	if key == KeyMembers {
		s.checkEpoch(ctx, expect, value)
	}
	if key == s.cluster.loseReplyOf {
		s.cluster.loseReplyOf = ""
		s.cluster.server.LoseNextReplies(1)
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s epochCheckingStore) checkEpoch(ctx context.Context, expect platform.Revision, value []byte) {
	if item, err := s.Get(ctx, KeyMembers); err == nil && item.Revision == expect {
		var old, next record
		if err := errors.Join(json.Unmarshal(item.Value, &old), json.Unmarshal(value, &next)); err != nil {
			s.cluster.t.Error(err)
		}
		if next.Epoch != old.Epoch+1 {
			s.cluster.t.Errorf("record written with epoch %d after epoch %d", next.Epoch, old.Epoch)
		}
	}
}

// memberStates returns the state of each member of a view.
func memberStates(v View) map[ident.MemberID]State {
	all := map[ident.MemberID]State{}
	for _, m := range v.Members {
		all[m.ID] = m.State
	}
	return all
}

func allActive(ids ...ident.MemberID) map[ident.MemberID]State {
	all := map[ident.MemberID]State{}
	for _, id := range ids {
		all[id] = Active
	}
	return all
}

// expectMembers fails the test unless each running process that can reach the store sees exactly these members and states.
func (c *cluster) expectMembers(what string, want map[ident.MemberID]State) {
	c.t.Helper()
	for id, n := range c.nodes {
		if n.dead || n.paused || c.linkLost && n.config.Self.Region != "sfax" {
			continue
		}
		if got := memberStates(n.View()); !maps.Equal(got, want) {
			c.t.Fatalf("%s: %s sees members %v, want %v", what, id, got, want)
		}
	}
}

// expectRemovals fails the test unless the process called OnRemoved this many times.
func (c *cluster) expectRemovals(id ident.MemberID, times int) {
	c.t.Helper()
	if n := c.node(id); n.removals != times {
		c.t.Fatalf("%s: %d calls of OnRemoved, want %d", id, n.removals, times)
	}
}

// realTimeServer runs a store on the real clock that ends lapsed leases by itself.
func realTimeServer(t *testing.T) *kv.Server {
	server := kv.New(kv.Config{Seed: 11, Tick: testInterval / 2})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return server
}
