package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// cluster simulates a few members whose tables share backend servers, on the fake clock of a synctest bubble.
type cluster struct {
	*testing.T
	mu            sync.Mutex
	view          member.View
	hosts         []platform.Host
	storeIsDown   bool
	dead          map[ident.MemberID]bool
	ledger        *worker.Ledger
	workers       map[ident.HostID]*worker.Worker
	members       map[ident.MemberID]*node
	hostsInterval time.Duration // Config.HostsInterval of all members; 0 for the default
}

// node is one member of a cluster.
type node struct {
	*Table
	cluster *cluster
	id      ident.MemberID
	cancel  context.CancelFunc
	ended   chan struct{}

	mu           sync.Mutex
	events       []string
	frozenView   *member.View // shown to the member instead of the cluster's view
	disconnected bool         // calls don't reach any backend server
	hangPolls    bool         // polls get no reply
	attachCalls  int          // number of attach calls
	onPoll       func(*backend.PollRequest)
	onFinished   func()
	slowDetach   bool // Detached takes a second
	unblocked    chan struct{}
}

const (
	minRenewal = 2 * time.Second
	maxRenewal = 4 * time.Second
	// settleTime is long enough for several polls of every backend server.
	settleTime = 3 * maxRenewal
	// lapseTime is long enough for every lease to lapse, including clock drift and view lag.
	lapseTime = 4*maxRenewal + DefaultClockDrift + DefaultMaxViewLag
)

// runInBubble runs a case with a new cluster in a synctest bubble and checks for violations at its end.
func runInBubble(t *testing.T, run func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			T: t, dead: map[ident.MemberID]bool{}, ledger: worker.NewLedger(), workers: map[ident.HostID]*worker.Worker{},
			members: map[ident.MemberID]*node{}, view: member.View{Epoch: 1},
		}
		t.Cleanup(c.close)
		run(c)
		c.expectNoViolations()
	})
}

func (c *cluster) close() {
	for _, n := range c.members {
		n.unblockCalls()
		n.kill()
	}
	for _, w := range c.workers {
		w.Close()
	}
	synctest.Wait()
}

func (c *cluster) expectNoViolations() {
	c.Helper()
	for _, v := range c.ledger.Violations() {
		c.Errorf("violation: %v", v)
	}
}

// addHost adds a host whose backend server has 4 slots.
func (c *cluster) addHost(id ident.HostID) *worker.Worker {
	c.workers[id] = worker.New(worker.Config{Host: id, Capacity: slots(4), Ledger: c.ledger, Seed: 3})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, platform.Host{ID: id, Address: string(id), Region: "r", DataCentre: "d", State: platform.HostLive})
	return c.workers[id]
}

// setHost changes a host's entry in the list.
func (c *cluster) setHost(id ident.HostID, change func(*platform.Host)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		if c.hosts[i].ID == id {
			change(&c.hosts[i])
		}
	}
}

// publishView publishes the next view, which has the given members as active, and returns it.
func (c *cluster) publishView(ids ...ident.MemberID) member.View {
	c.mu.Lock()
	c.view = member.View{Epoch: c.view.Epoch + 1}
	for _, id := range ids {
		c.view.Members = append(c.view.Members, member.Member{
			ID: id, Incarnation: 1, Region: "r", DataCentre: "d", State: member.Active,
		})
	}
	view := c.view
	c.mu.Unlock()
	for _, n := range c.members {
		n.ViewChanged()
	}
	return view
}

// drain publishes the next view, in which the member is draining.
func (c *cluster) drain(id ident.MemberID) {
	c.mu.Lock()
	c.view = member.View{Epoch: c.view.Epoch + 1, Members: slices.Clone(c.view.Members)}
	for i := range c.view.Members {
		if c.view.Members[i].ID == id {
			c.view.Members[i].State = member.Draining
		}
	}
	c.mu.Unlock()
	for _, n := range c.members {
		n.ViewChanged()
	}
}

// setDead sets whether a member answers probes.
func (c *cluster) setDead(id ident.MemberID, dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[id] = dead
}

func (c *cluster) setStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeIsDown = down
}

// startMember starts a member's table without adding the member to the view.
func (c *cluster) startMember(id ident.MemberID) *node {
	n := &node{cluster: c, id: id, ended: make(chan struct{})}
	table, err := New(Config{
		Self: func() member.Member { return member.Member{ID: id, Incarnation: 1} },
		View: func() member.View {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.frozenView != nil {
				return *n.frozenView
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.view
		},
		Refresh: func(context.Context) error {
			c.mu.Lock()
			down := c.storeIsDown
			c.mu.Unlock()
			if down {
				return errors.New("simulated store is down")
			}
			n.freezeView(nil)
			n.ViewChanged()
			return nil
		},
		StoreHealthy: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.storeIsDown
		},
		Hosts: func(context.Context) ([]platform.Host, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return slices.Clone(c.hosts), nil
		},
		Dial: func(h platform.Host) backend.Server { return link{c.workers[h.ID].Server(), n} },
		Probe: func(_ context.Context, id ident.MemberID) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.dead[id] {
				return fmt.Errorf("member %s doesn't answer", id)
			}
			return nil
		},
		Events: Events{
			Attached: func(h platform.Host, i backend.Inventory) {
				n.addEvent("attached %s running=%d finished=%d slots=%d", h.ID, len(i.Running), len(i.Finished), i.Capacity.Slots)
			},
			Updated: func(ident.HostID, backend.PollReply) {},
			Finished: func(h ident.HostID, r backend.Result) {
				n.mu.Lock()
				onFinished := n.onFinished
				n.mu.Unlock()
				if onFinished != nil {
					onFinished()
				}
				n.addEvent("finished %s %s %s", h, r.Attempt, r.Exit)
			},
			Detached: func(h ident.HostID, r DetachReason) {
				n.mu.Lock()
				slow := n.slowDetach
				n.mu.Unlock()
				if slow {
					time.Sleep(time.Second)
				}
				n.addEvent("detached %s %s", h, r)
			},
		},
		MinRenewal: minRenewal, MaxRenewal: maxRenewal, HostsInterval: c.hostsInterval, Jitter: func() float64 { return 0.5 },
	})
	if err != nil {
		c.Fatal(err)
	}
	n.Table = table
	c.members[id] = n
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		_ = table.Run(ctx)
	}()
	return n
}

// kill crashes the member: its table ends and it no longer answers probes.
func (n *node) kill() {
	n.cluster.setDead(n.id, true)
	n.cancel()
	<-n.ended
}

// freezeView makes the member see a fixed view; nil makes it follow the cluster's view again.
func (n *node) freezeView(v *member.View) { n.update(func(n *node) { n.frozenView = v }) }

// blockCalls holds back the member's calls to backend servers until unblockCalls, like a pause of the process after its
// last check of the lease.
func (n *node) blockCalls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unblocked = make(chan struct{})
}

func (n *node) unblockCalls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unblocked != nil {
		close(n.unblocked)
		n.unblocked = nil
	}
}

// update changes the node's fields under its lock.
func (n *node) update(change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *node) addEvent(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, fmt.Sprintf(format, args...))
}

// expectEvents checks that exactly these events were reported since the last call.
func (n *node) expectEvents(want ...string) {
	n.cluster.Helper()
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.events, want) {
		n.cluster.Errorf("events of %s:\ngot  %q\nwant %q", n.id, n.events, want)
	}
	n.events = nil
}

// expectStart checks the error of a start; nil means success.
func (n *node) expectStart(host ident.HostID, t backend.Task, want error) {
	n.cluster.Helper()
	if err := n.Start(context.Background(), host, t); !errors.Is(err, want) {
		n.cluster.Errorf("start of %s by %s: got %v, want %v", t.Attempt, n.id, err, want)
	}
}

// expectComplete checks the results of InventoryComplete and AllAttached.
func (n *node) expectComplete(want bool) {
	n.cluster.Helper()
	synctest.Wait()
	epoch, got := n.InventoryComplete()
	if got != want || n.AllAttached(epoch) != want {
		n.cluster.Errorf("%s at epoch %d: inventory complete %v, all attached %v, want %v; dump %+v",
			n.id, epoch, got, n.AllAttached(epoch), want, n.Dump())
	}
}

// link is a member's connection to a backend server, with the faults set at the node.
type link struct {
	backend.Server
	n *node
}

func (l link) checkLink() error {
	l.n.mu.Lock()
	unblocked, cut := l.n.unblocked, l.n.disconnected
	l.n.mu.Unlock()
	if unblocked != nil {
		<-unblocked
	}
	if cut {
		return backend.ErrUnreachable
	}
	return nil
}

// Attach implements backend.Server.
func (l link) Attach(ctx context.Context, f backend.Fence, lease backend.Millis) (backend.Inventory, error) {
	l.n.update(func(n *node) { n.attachCalls++ })
	if err := l.checkLink(); err != nil {
		return backend.Inventory{}, err
	}
	return l.Server.Attach(ctx, f, lease)
}

// Poll implements backend.Server.
func (l link) Poll(ctx context.Context, r backend.PollRequest) (backend.PollReply, error) {
	if err := l.checkLink(); err != nil {
		return backend.PollReply{}, err
	}
	l.n.mu.Lock()
	hang := l.n.hangPolls
	if l.n.onPoll != nil {
		l.n.onPoll(&r)
	}
	l.n.mu.Unlock()
	if hang {
		<-ctx.Done()
		return backend.PollReply{}, backend.ErrUnknownOutcome
	}
	return l.Server.Poll(ctx, r)
}

// Start implements backend.Server.
func (l link) Start(ctx context.Context, f backend.Fence, t backend.Task) error {
	if err := l.checkLink(); err != nil {
		return err
	}
	return l.Server.Start(ctx, f, t)
}

func slots(n int64) resource.Vector {
	return resource.Vector{CPU: resource.Cores(n), Slots: resource.Count(n)}
}

// serviceTask returns a task that runs until it is stopped.
func serviceTask(attempt ident.AttemptID, job ident.JobID) backend.Task {
	return backend.Task{Attempt: attempt, Job: job, Team: "team", Demand: slots(1), Origin: "a"}
}

// batchTask returns a task that runs for a second.
func batchTask(attempt ident.AttemptID) backend.Task {
	t := serviceTask(attempt, ident.JobID("job-"+attempt))
	t.RunTime = 1000
	return t
}
