// Package rollout distributes the signed configuration to every daemon and tracks how fresh it is.
package rollout

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Config is what a Rollout depends on. Every field is required, except StoreRegion, Signers (if Required is 0) and Log.
type Config struct {
	Store platform.Store
	// StoreRegion is the region of the store. The readers of other regions pull from its reader, so that one copy
	// crosses the link. When it is empty, the reader of every region watches the store.
	StoreRegion ident.Region
	Self        func() member.Member
	View        func() member.View
	Signers     []ed25519.PublicKey // operators whose sign-offs count
	Required    int                 // distinct sign-offs that an index needs
	// Freshness is how long a confirmation lasts. It must be at least three times ReadInterval, so that one lost
	// round of confirmations doesn't stop keyed work.
	Freshness    time.Duration
	ReadInterval time.Duration // pause between two reads of the configuration's source
	Pull         func(ctx context.Context, to ident.MemberID, request wire.ConfigPullRequest) (wire.ConfigPullReply, error)
	Version      func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error)
	Now          func() time.Time // must keep the monotonic clock reading
	Log          logr.Logger
}

func (c Config) check() error {
	switch {
	case c.Store == nil || c.Self == nil || c.View == nil || c.Pull == nil || c.Version == nil || c.Now == nil:
		return errors.New("rollout config: a dependency is not set")
	case c.ReadInterval <= 0 || c.Freshness < 3*c.ReadInterval:
		return fmt.Errorf("rollout config: freshness %s must be at least three times the read interval %s", c.Freshness, c.ReadInterval)
	case c.Required < 0 || c.Required > len(c.Signers):
		return fmt.Errorf("rollout config: %d sign-offs required of %d signers", c.Required, len(c.Signers))
	}
	seen := make(map[string]bool)
	for _, key := range c.Signers {
		id := bundle.SignerID(key)
		if len(key) != ed25519.PublicKeySize || seen[id] {
			return fmt.Errorf("rollout config: signer %s is listed twice or is no Ed25519 key", id)
		}
		seen[id] = true
	}
	return nil
}

// Rollout holds the configuration in force on this daemon. It is safe for concurrent use.
type Rollout struct {
	config Config
	held   atomic.Pointer[held]
	counts counters
	cached atomic.Pointer[freshness] // spares Fresh the count on the path of a request

	adopting sync.Mutex // serializes changes of held

	notifying sync.Mutex // serializes callbacks, so that versions reach them in order
	callbacks []func(*bundle.Compiled)
	notified  ident.Version

	words   words
	sources sources
	accepts accepts
	watch   watch       // used by the sync loop only
	sourced atomic.Bool // the last sync reached a peer or the store
	garbage garbage
}

// New checks the config and returns a Rollout without a configuration; Run loads one.
func New(config Config) (*Rollout, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.Log.GetSink() == nil {
		config.Log = logr.Discard()
	}
	r := &Rollout{config: config}
	r.held.Store(emptyHeld())
	return r, nil
}

// Run keeps the configuration current until the context ends.
func (r *Rollout) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.every(ctx, r.config.ReadInterval, r.sync) })
	group.Go(func() error { return r.every(ctx, r.config.ReadInterval, r.confirm) })
	group.Go(func() error { return r.every(ctx, collectInterval, r.collect) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("rollout: %w", err)
	}
	return nil
}

// every calls step at once and then after each pause.
func (r *Rollout) every(ctx context.Context, pause time.Duration, step func(context.Context)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		step(ctx)
		timer.Reset(pause)
	}
}

// Current returns the configuration in force. Before the first load it is empty and has version 0.
func (r *Rollout) Current() *bundle.Compiled { return r.held.Load().compiled }

// Bundle returns the configuration in force with its key hashes, from which an operator's next bundle is made, and its
// version. The caller must not change it.
func (r *Rollout) Bundle() (bundle.Bundle, ident.Version) {
	current := r.held.Load()
	return current.bundle, current.version()
}

// OnChange registers a callback for each new configuration. Calls are serialized, versions grow and may be skipped.
func (r *Rollout) OnChange(callback func(*bundle.Compiled)) {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	r.callbacks = append(r.callbacks, callback)
}

func (r *Rollout) notify() {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	current := r.Current()
	if current.Version() <= r.notified {
		return
	}
	r.notified = current.Version()
	for _, callback := range r.callbacks {
		callback(current)
	}
}

// sender fills in the identity of this daemon for a message.
func (r *Rollout) sender() wire.Sender {
	self := r.config.Self()
	return wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: r.config.View().Epoch}
}
