package policy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/uptime"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The pause after a failed call to the store doubles from retryDelay to maxRetryDelay and varies, so that the daemons don't
// repeat a large read at the same moment.
const (
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// state is what a daemon knows of the configuration.
type state struct {
	policy      *Policy           // nil before the first read
	encoded     []byte            // the compressed configuration, for other daemons
	revision    platform.Revision // changes up to this revision are applied; 0 if a watch needs a read first
	confirmedAt time.Duration     // uptime at which the latest store call that confirmed the policy was sent
	direct      bool              // the store itself confirms the policy, not another daemon
}

func (s *state) version() ident.Version {
	if s.policy == nil {
		return 0
	}
	return s.policy.Version
}

// Watcher keeps the newest configuration. It reads the store or follows another daemon that does.
type Watcher struct {
	store  platform.TransactionalStore
	key    string
	decode func([]byte) (*Policy, error)
	log    logr.Logger
	uptime func() time.Duration // clock of all ages; it includes suspensions of the host

	peers     *Peers
	onChange  []func(*Policy)
	startedAt time.Duration
	lastRead  time.Duration // uptime of the latest read of the store, or of the latest answer of a daemon that reads it

	receivingAt atomic.Int64 // uptime of the latest progress of a large reply from the store

	mu      sync.Mutex
	state   state
	changed chan struct{} // closed at the next change of the state
}

// NewWatcher returns a watcher of the configuration under a key.
func NewWatcher(s platform.TransactionalStore, key string, decode func([]byte) (*Policy, error), log logr.Logger) *Watcher {
	return &Watcher{store: s, key: key, decode: decode, log: log, uptime: uptime.Now, changed: make(chan struct{})}
}

// Current returns the newest known policy and its last confirmation.
func (w *Watcher) Current() Snapshot {
	s, _ := w.get()
	if s.policy == nil {
		return Snapshot{}
	}
	return Snapshot{Policy: s.policy, ConfirmedAt: time.Now().Add(s.confirmedAt - w.uptime())}
}

// OnChange registers a function that is called with each new policy in the watcher's goroutine. It must be called before
// Run.
func (w *Watcher) OnChange(call func(*Policy)) { w.onChange = append(w.onChange, call) }

// FollowPeers makes the watcher follow a peer that reads the store, if there is one. It must be called before Run.
func (w *Watcher) FollowPeers(p Peers) { w.peers = &p }

// Run keeps the configuration current until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.startedAt = w.uptime()
	w.awaitPeers(ctx)
	failures := 0
	source := ""
	for ctx.Err() == nil {
		w.follow(ctx, preferredSources, source)
		var err error
		source, err = w.useStore(ctx, failures > 0)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			failures = 0
			continue
		}
		if w.hasDirect() {
			failures = 0
		}
		if failures == 0 && !errors.Is(err, platform.ErrHistoryLost) {
			w.log.Info("watch of the configuration failed", "error", err.Error(), "age", w.confirmationAge().String())
		}
		if errors.Is(err, platform.ErrHistoryLost) || errors.Is(err, platform.ErrNotFound) {
			failures = max(failures, 1) // the store answers, so it is asked again soon
			sleep(ctx, jitter(retryDelay))
			continue
		}
		w.setDirect(false)
		sleep(ctx, jitter(min(retryDelay<<min(failures, 8), maxRetryDelay)))
		failures++
		w.follow(ctx, allSources, "")
	}
	return nil
}

// jitter returns a random duration from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// get returns the state and a channel that is closed at its next change.
func (w *Watcher) get() (state, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.changed
}

// update changes the state and wakes those who wait for a change.
func (w *Watcher) update(change func(*state)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.state)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) setDirect(direct bool) {
	if w.hasDirect() != direct {
		w.update(func(s *state) { s.direct = direct })
	}
}

func (w *Watcher) hasDirect() bool {
	s, _ := w.get()
	return s.direct
}

func (w *Watcher) version() ident.Version {
	s, _ := w.get()
	return s.version()
}

// confirmationAge returns the time since the last confirmation, or since the start if there is none.
func (w *Watcher) confirmationAge() time.Duration {
	s, _ := w.get()
	return w.uptime() - max(s.confirmedAt, w.startedAt)
}

// put puts a configuration into effect unless it is older than the current one, and changes the rest of the state with it. It
// reports whether the configuration is newer. Only the goroutine of Run calls it.
func (w *Watcher) put(p *Policy, encoded []byte, change func(*state)) bool {
	newer := false
	w.update(func(s *state) {
		if newer = s.policy == nil || p.Version > s.policy.Version; newer {
			s.policy, s.encoded = p, encoded
		}
		change(s)
	})
	if newer {
		w.log.Info("configuration applied", "version", uint64(p.Version), "routes", len(p.Routes), "teams", len(p.Teams))
		for _, call := range w.onChange {
			call(p)
		}
	}
	return newer
}
