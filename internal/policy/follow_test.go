package policy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/internal/uptime"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Bounds of the installations: a confirmation may be 0.85 of 5 s old, and a version takes effect within 2.5 s.
const (
	freshnessLimit = 4250 * time.Millisecond
	applyLimit     = 2500 * time.Millisecond
)

// region is a store and the watchers of a region, which reach each other by function calls.
type region struct {
	t       *testing.T
	store   *txstore.Store
	members []*member
}

// member is a watcher of a region with its faults.
type member struct {
	*Watcher
	name   string
	region *region
	store  *cutStore
	gone   atomic.Bool // refuses calls and isn't listed
	silent atomic.Bool // answers no calls
	cancel context.CancelFunc
}

// cutStore is a member's access to the store, which may be cut off so that calls get no reply.
type cutStore struct {
	platform.TransactionalStore
	cut    atomic.Bool
	reads  atomic.Int32
	events atomic.Int32
	// transfer is the time that a reply with events takes, nanoseconds.
	transfer atomic.Int64
}

// lose waits for the end of a call whose reply is lost.
func (c *cutStore) lose(ctx context.Context, timeout time.Duration) error {
	sleep(ctx, timeout)
	return fmt.Errorf("%w: reply lost", platform.ErrUnavailable)
}

func (c *cutStore) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	c.reads.Add(1)
	if c.cut.Load() {
		return platform.Page{}, c.lose(ctx, 1200*time.Millisecond)
	}
	return c.TransactionalStore.Range(ctx, prefix, after)
}

func (c *cutStore) Watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	events, at, err := c.TransactionalStore.Watch(ctx, prefix, after, wait)
	if c.cut.Load() {
		return nil, 0, c.lose(ctx, 1200*time.Millisecond)
	}
	c.events.Add(int32(len(events)))
	if len(events) > 0 {
		for end := uptime.Now() + time.Duration(c.transfer.Load()); uptime.Now() < end; sleep(ctx, 50*time.Millisecond) {
			platform.ReportProgress(ctx, 1<<20)
		}
	}
	return events, at, err
}

// startRegion runs watchers whose order is that of their indices.
func startRegion(t *testing.T, count int) *region {
	r := &region{t: t, store: txstore.New(time.Now)}
	r.store.Put(testKey, []byte("3"))
	for n := range count {
		m := &member{name: fmt.Sprintf("m%d", n), region: r, store: &cutStore{TransactionalStore: r.store}}
		m.Watcher = NewWatcher(m.store, testKey, decodeVersion, logr.Discard())
		m.FollowPeers(Peers{Sources: func(all bool) ([]string, bool) { return r.sources(m, all) }, Pull: r.pull})
		r.members = append(r.members, m)
	}
	for _, m := range r.members {
		ctx, cancel := context.WithCancel(context.Background())
		m.cancel = cancel
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
	}
	for _, m := range r.members {
		await(t, "first version of "+m.name, m.hasVersion(3))
	}
	return r
}

func (r *region) sources(self *member, all bool) ([]string, bool) {
	var addresses []string
	before := true
	for _, m := range r.members {
		if m == self {
			before = false
		} else if (all || before) && !m.gone.Load() && len(addresses) < 2 {
			addresses = append(addresses, m.name)
		}
	}
	return addresses, true
}

func (r *region) pull(ctx context.Context, address string, request PullRequest) (PullReply, error) {
	for _, m := range r.members {
		if m.name != address {
			continue
		}
		if m.gone.Load() {
			return PullReply{}, errors.New("connection refused")
		}
		reply, err := m.Serve(ctx, request)
		if m.silent.Load() {
			<-ctx.Done()
			return PullReply{}, ctx.Err()
		}
		return reply, err
	}
	return PullReply{}, errors.New("no such peer")
}

// watchFreshness fails the test when a member's confirmation gets older than the limit, until the returned function is called.
func (r *region) watchFreshness(members []*member) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			for _, m := range members {
				if c := m.Current(); !c.Fresh(time.Now(), freshnessLimit) {
					r.t.Errorf("%s was confirmed %s ago", m.name, time.Since(c.ConfirmedAt))
					return
				}
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-stopped }
}

// Guards against a region of which each daemon reads the configuration over the slow link to the store.
func TestRegionSharesOneRead(t *testing.T) {
	t.Parallel()
	r := startRegion(t, 8)
	for version := range 5 {
		r.store.Put(testKey, fmt.Append(nil, version+10))
		for _, m := range r.members {
			await(t, "next version of "+m.name, m.hasVersion(ident.Version(version+10)))
		}
		time.Sleep(300 * time.Millisecond)
	}
	reads, events := 0, 0
	for _, m := range r.members {
		reads += int(m.store.reads.Load())
		events += int(m.store.events.Load())
	}
	if reads != 1 || events != 5 {
		t.Errorf("the store was read %d times and reported %d changes, want 1 and 5", reads, events)
	}
}

// Guards against followers that begin a second transfer of a large configuration while their source still receives it: on a
// slow link each delays the other.
func TestFollowersWaitForSlowTransfer(t *testing.T) {
	t.Parallel()
	r := startRegion(t, 6)
	time.Sleep(500 * time.Millisecond)
	for _, m := range r.members {
		m.store.transfer.Store(int64(1600 * time.Millisecond))
	}
	stop := r.watchFreshness(r.members)
	r.store.Put(testKey, []byte("9"))
	events := int32(0)
	for _, m := range r.members {
		await(t, "next version of "+m.name, m.hasVersion(9))
		events += m.store.events.Load()
	}
	stop()
	if events != 1 {
		t.Errorf("%d transfers, want 1", events)
	}
}

// Guards against followers that lose their confirmation or miss a change when the daemon that reads the store fails.
func TestFollowersOutlastReader(t *testing.T) {
	for name, fail := range map[string]func(reader *member){
		"killed":                           func(m *member) { m.gone.Store(true); m.cancel() },
		"killed, while its record remains": func(m *member) { m.silent.Store(true); m.cancel() },
		"silent":                           func(m *member) { m.silent.Store(true) },
		"cut off from the store":           func(m *member) { m.store.cut.Store(true) },
		"silent and cut off":               func(m *member) { m.silent.Store(true); m.store.cut.Store(true) },
		"silent, and the next one cut off": func(m *member) {
			m.silent.Store(true)
			m.region.members[1].store.cut.Store(true)
		},
	} {
		for _, after := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, change after %s", name, after), func(t *testing.T) {
				t.Parallel()
				r := startRegion(t, 6)
				r.t = t
				time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
				others := r.members[1:]
				stop := r.watchFreshness(others)
				defer stop()
				fail(r.members[0])
				time.Sleep(after)
				changed := time.Now()
				r.store.Put(testKey, []byte("9"))
				for _, m := range others {
					await(t, "next version of "+m.name, m.hasVersion(9))
				}
				// Daemons are judged from contactMs, 3 s, after a fault; before, freshness keeps withdrawn keys from being used.
				if took := time.Since(changed); after >= 3*time.Second && took > applyLimit {
					t.Errorf("applied after %s, want %s", took, applyLimit)
				}
				time.Sleep(2 * time.Second)
			})
		}
	}
}

// Guards against a daemon that loses its confirmation although a peer reaches the store.
func TestCutOffReaderFollowsPeers(t *testing.T) {
	t.Parallel()
	r := startRegion(t, 3)
	stop := r.watchFreshness(r.members)
	r.members[0].store.cut.Store(true)
	time.Sleep(6 * time.Second)
	r.store.Put(testKey, []byte("9"))
	for _, m := range r.members {
		await(t, "next version of "+m.name, m.hasVersion(9))
	}
	r.members[0].store.cut.Store(false)
	await(t, "the first daemon to be the only one that reads the store", func() bool {
		return r.members[0].hasDirect() && !r.members[1].hasDirect() && !r.members[2].hasDirect()
	})
	stop()
}

// Guards against daemons that confirm the configuration to each other while none of them reaches the store.
func TestNoConfirmationWithoutStore(t *testing.T) {
	t.Parallel()
	r := startRegion(t, 4)
	for _, m := range r.members {
		m.store.cut.Store(true)
	}
	cut := time.Now()
	for time.Since(cut) < 7*time.Second {
		for _, m := range r.members {
			if c := m.Current(); c.ConfirmedAt.After(cut.Add(10 * time.Millisecond)) {
				t.Fatalf("%s confirmed %s after the cut", m.name, c.ConfirmedAt.Sub(cut))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.store.Put(testKey, []byte("9"))
	for _, m := range r.members {
		m.store.cut.Store(false)
	}
	for _, m := range r.members {
		await(t, "version of "+m.name, m.hasVersion(9))
	}
}

// pullOnce returns a follower after one pull whose request and reply are delayed, and the uptime at which the store confirmed
// the version that the source has.
func pullOnce(t *testing.T, request, reply func(), source state) *Watcher {
	t.Helper()
	s := &Watcher{uptime: uptime.Now, state: source, changed: make(chan struct{})}
	w := NewWatcher(nil, testKey, decodeVersion, logr.Discard())
	w.FollowPeers(Peers{Pull: func(ctx context.Context, _ string, r PullRequest) (PullReply, error) {
		request()
		p, err := s.Serve(ctx, r)
		reply()
		return p, err
	}})
	if err := w.pull(context.Background(), "source", 0); err != nil && !errors.Is(err, errNoSource) {
		t.Fatal(err)
	}
	return w
}

// Guards against followers that count a confirmation as later than the store gave it: a withdrawn key would go on working.
func TestFollowerConfirmationIsNeverLater(t *testing.T) {
	encoded, err := compress([]byte("7"))
	if err != nil {
		t.Fatal(err)
	}
	none := func() {}
	pause := func() { time.Sleep(50 * time.Millisecond) }
	for name, c := range map[string]struct {
		request, reply func()
		age            time.Duration // of the confirmation before the pull
	}{
		"recent":                               {none, none, 0},
		"old":                                  {none, none, 3 * time.Second},
		"request delayed":                      {pause, none, time.Second},
		"reply delayed, as by a frozen source": {none, pause, time.Second},
		"both delayed, as by two suspended daemons": {pause, pause, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			confirmedAt := uptime.Now() - c.age
			source := state{policy: &Policy{Version: 7}, encoded: encoded, revision: 5, confirmedAt: confirmedAt, direct: true}
			w := pullOnce(t, c.request, c.reply, source)
			s, _ := w.get()
			if s.version() != 7 || s.confirmedAt > confirmedAt || s.confirmedAt < confirmedAt-200*time.Millisecond {
				t.Errorf("version %d, confirmed %s after the store's confirmation", s.version(), s.confirmedAt-confirmedAt)
			}
			if s.direct {
				t.Error("the follower claims that it reads the store")
			}
		})
	}
}

// Guards against a version or a confirmation that a daemon takes from a source with an older version.
func TestPulledVersionNeverGoesBack(t *testing.T) {
	w := NewWatcher(nil, testKey, decodeVersion, logr.Discard())
	confirmedAt := uptime.Now() - time.Second
	w.state = state{policy: &Policy{Version: 9}, revision: 50, confirmedAt: confirmedAt}
	reply := PullReply{Version: 7, Revision: 40, Direct: true, Size: 1, Chunk: []byte("7")}
	w.FollowPeers(Peers{Pull: func(context.Context, string, PullRequest) (PullReply, error) { return reply, nil }})
	if err := w.pull(context.Background(), "source", 0); !errors.Is(err, errNoSource) {
		t.Errorf("a source with an older version gave %v", err)
	}
	if s, _ := w.get(); s.version() != 9 || s.confirmedAt != confirmedAt || s.revision != 50 {
		t.Errorf("version %d, revision %d, confirmed %s later", s.version(), s.revision, s.confirmedAt-confirmedAt)
	}
}

// Guards against a configuration that is put together from parts of two versions.
func TestVersionChangesDuringTransfer(t *testing.T) {
	content := func(version string) []byte {
		b := make([]byte, 4*chunkBytes) // random, so that it doesn't get smaller by compression
		for n := range b {
			b[n] = byte(rand.Uint32())
		}
		return append([]byte(version), b...)
	}
	decode := func(value []byte) (*Policy, error) {
		if len(value) != 4*chunkBytes+1 {
			return nil, fmt.Errorf("%d bytes", len(value))
		}
		return decodeVersion(value[:1])
	}
	source := NewWatcher(nil, testKey, decode, logr.Discard())
	source.FollowPeers(Peers{})
	set := func(version string) {
		p, encoded, err := source.load(content(version))
		if err != nil {
			t.Fatal(err)
		}
		source.put(p, encoded, func(s *state) { s.confirm(uptime.Now(), 5) })
	}
	set("4")
	calls := 0
	w := NewWatcher(nil, testKey, decode, logr.Discard())
	w.FollowPeers(Peers{Pull: func(ctx context.Context, _ string, r PullRequest) (PullReply, error) {
		if calls++; calls == 3 {
			set("6")
		}
		return source.Serve(ctx, r)
	}})
	if err := w.pull(context.Background(), "source", 0); err != nil || w.version() != 6 {
		t.Errorf("version %d after a change during the transfer: %v", w.version(), err)
	}
}
