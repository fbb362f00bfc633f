package limit

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// fault is what happens to one write.
type fault int

const (
	noFault      fault = iota
	writeRefused       // refused without effect
	lostReply          // takes effect, but the reply is lost
	delayed            // the reply is lost, and the write takes effect when deliver is called
)

// fakeStore is an in-memory platform.Store. Methods that the package doesn't use panic through the nil interface.
type fakeStore struct {
	platform.Store
	lock     sync.Mutex
	items    map[string]platform.Item
	revision platform.Revision
	reads    int
	writes   int
	fault    func(key string) fault
	down     bool
	delayed  []func()
}

func (f *fakeStore) Get(_ context.Context, key string) (platform.Item, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.reads++
	if f.down {
		return platform.Item{}, platform.ErrUnavailable
	}
	item, ok := f.items[key]
	if !ok {
		return platform.Item{}, platform.ErrNotFound
	}
	return item, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, expect platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.writes++
	kind := noFault
	if f.fault != nil {
		kind = f.fault(key)
	}
	switch {
	case f.down || kind == writeRefused:
		return 0, platform.ErrUnavailable
	case kind == delayed:
		f.delayed = append(f.delayed, func() { _, _ = f.swap(key, expect, value) })
		return 0, platform.ErrUnknownOutcome
	}
	revision, err := f.swap(key, expect, value)
	if kind == lostReply {
		return 0, platform.ErrUnknownOutcome
	}
	return revision, err
}

func (f *fakeStore) swap(key string, expect platform.Revision, value []byte) (platform.Revision, error) {
	if f.items[key].Revision != expect {
		return 0, platform.ErrConflict
	}
	f.revision++
	f.items[key] = platform.Item{Key: key, Value: value, Revision: f.revision}
	return f.revision, nil
}

// deliver applies the delayed writes.
func (f *fakeStore) deliver() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
}

// failNext injects a fault into the next write.
func (f *fakeStore) failNext(kind fault) {
	f.fault = func(string) fault {
		f.fault = nil
		return kind
	}
}

const testTeam ident.TeamID = "grain"

// cluster is a set of members that share one fake store and one fake clock.
type cluster struct {
	t          *testing.T
	store      *fakeStore
	lock       sync.Mutex
	view       member.View
	now        time.Time
	limits     map[ident.TeamID]int
	allocators map[ident.MemberID]*Allocator
	tasksEnded map[ident.MemberID]bool
	requestErr map[ident.MemberID]error
	requests   int
}

func newCluster(t *testing.T, limit, members int) *cluster {
	c := &cluster{
		t: t, store: &fakeStore{items: map[string]platform.Item{}}, now: time.Unix(1_000_000, 0),
		limits: map[ident.TeamID]int{testTeam: limit}, allocators: map[ident.MemberID]*Allocator{},
		tasksEnded: map[ident.MemberID]bool{}, requestErr: map[ident.MemberID]error{}, view: member.View{Epoch: 1},
	}
	for i := range members {
		m := member.Member{ID: ident.MemberID(fmt.Sprintf("m%d", i)), Incarnation: 1, State: member.Active}
		c.view.Members = append(c.view.Members, m)
	}
	for _, m := range c.view.Members {
		c.join(m)
	}
	return c
}

func (c *cluster) join(m member.Member) *Allocator {
	s, err := New(Config{
		Store: c.store, Self: func() member.Member { return m }, View: c.currentView, Limit: c.limit,
		Teams: func() []ident.TeamID { return slices.Sorted(maps.Keys(c.limits)) }, Request: c.request, Now: c.clock, Log: logr.Discard(),
		TasksEnded: func(id ident.MemberID, _ ident.Incarnation) bool { return c.tasksEnded[id] },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.allocators[m.ID] = s
	return s
}

func (c *cluster) currentView() member.View {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.view
}

func (c *cluster) clock() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.now
}

func (c *cluster) limit(id ident.TeamID) (int, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n, ok := c.limits[id]
	return n, ok
}

func (c *cluster) request(ctx context.Context, to ident.MemberID, r wire.LimitRequest) (wire.LimitReply, error) {
	c.lock.Lock()
	c.requests++
	allocator, failure := c.allocators[to], c.requestErr[to]
	c.lock.Unlock()
	if allocator == nil {
		return wire.LimitReply{}, errors.New("unreachable")
	}
	reply, err := allocator.HandleRequest(ctx, r)
	if failure != nil {
		return wire.LimitReply{}, failure // the reply is lost after the request was handled
	}
	return reply, err
}

// advance moves the clock by whole seconds and gives every member one attempt in each of them.
func (c *cluster) advance(seconds int) {
	for range seconds {
		c.lock.Lock()
		c.now = c.now.Add(time.Second)
		c.lock.Unlock()
		for _, m := range c.currentView().Members {
			c.allocators[m.ID].tick(c.t.Context())
		}
	}
}

// remove takes a member out of the view while its tasks still run.
func (c *cluster) remove(id ident.MemberID) {
	c.lock.Lock()
	defer c.lock.Unlock()
	next := member.View{Epoch: c.view.Epoch + 1}
	for _, m := range c.view.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	c.view = next
	delete(c.allocators, id)
}

// mustReserve reserves n tasks, letting the background work run in between, and fails the test when they don't fit
// within 40 s.
func (c *cluster) mustReserve(id ident.MemberID, n int) {
	c.t.Helper()
	for range 40 {
		if c.allocators[id].Reserve(testTeam, n) {
			return
		}
		c.advance(1)
	}
	c.t.Fatalf("member %s could not reserve %d tasks: %s\n%s",
		id, n, c.allocators[id].Dump(), c.store.items[keyPrefix+string(testTeam)].Value)
}

// record returns the decoded and validated record in the store.
func (c *cluster) record() record {
	c.t.Helper()
	item, ok := c.store.items[keyPrefix+string(testTeam)]
	if !ok {
		return record{}
	}
	r, err := decode(item)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// usable returns the sum of what all live members may run, and the sum of what they run.
func (c *cluster) usable() (usable, used int) {
	for _, s := range c.allocators {
		p, u := s.Allocation(testTeam)
		usable, used = usable+p, used+u
	}
	return usable, used
}

// pendingAdoptions returns the number of tasks that live members may count against allocations of dead ones.
func (c *cluster) pendingAdoptions() (n int) {
	for _, s := range c.allocators {
		n += s.PendingAdoptions()
	}
	return n
}

func (c *cluster) wantAllocation(id ident.MemberID, allocation, used int) {
	c.t.Helper()
	if gotAllocation, gotUsed := c.allocators[id].Allocation(testTeam); gotAllocation != allocation || gotUsed != used {
		c.t.Errorf("member %s has allocation %d and uses %d, want %d and %d", id, gotAllocation, gotUsed, allocation, used)
	}
}
