// Package rollout distributes the signed configuration to every daemon and tracks whether it is fresh: one daemon of each
// region reads the store or another region, the others pull from their peers, and every daemon confirms regularly, with
// the store or with a majority of the members, that it has the newest version.
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

// Config holds the dependencies and settings of a Rollout. Every field is required, except StoreRegion, Signers (if
// RequiredSigners is 0) and Log.
type Config struct {
	Store platform.Store
	// StoreRegion is the region of the store. In every other region the daemon that reads the source pulls from a daemon
	// of StoreRegion, so that one copy crosses the link between regions. If it is empty, one daemon of every region
	// watches the store.
	StoreRegion     ident.Region
	Self            func() member.Member
	View            func() member.View
	Signers         []ed25519.PublicKey // public keys of the operators whose sign-offs are valid
	RequiredSigners int                 // number of distinct operators whose sign-offs an index needs
	// Freshness is how long a confirmation is valid. It must be at least three times ReadInterval, so that one lost
	// round of confirmations doesn't block work that needs a key.
	Freshness    time.Duration
	ReadInterval time.Duration // time between two reads of the configuration's source
	Pull         func(ctx context.Context, to ident.MemberID, request wire.ConfigPullRequest) (wire.ConfigPullReply, error)
	Version      func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error)
	Now          func() time.Time // its times must carry the monotonic clock reading
	Log          logr.Logger
}

func (c Config) check() error {
	switch {
	case c.Store == nil || c.Self == nil || c.View == nil || c.Pull == nil || c.Version == nil || c.Now == nil:
		return errors.New("rollout config: one of Store, Self, View, Pull, Version and Now is not set")
	case c.ReadInterval <= 0 || c.Freshness < 3*c.ReadInterval:
		return fmt.Errorf("rollout config: freshness %s must be at least three times the read interval %s", c.Freshness, c.ReadInterval)
	case c.RequiredSigners < 0 || c.RequiredSigners > len(c.Signers):
		return fmt.Errorf("rollout config: %d signers required, %d configured", c.RequiredSigners, len(c.Signers))
	}
	seen := make(map[string]bool)
	for _, key := range c.Signers {
		id := bundle.SignerID(key)
		if len(key) != ed25519.PublicKeySize || seen[id] {
			return fmt.Errorf("rollout config: signer %s is listed twice or is not an Ed25519 key", id)
		}
		seen[id] = true
	}
	return nil
}

// Rollout holds the configuration in force on this daemon. It is safe for concurrent use.
type Rollout struct {
	config          Config
	current         atomic.Pointer[snapshot]
	counts          counters
	cachedFreshness atomic.Pointer[cachedFreshness] // last result of Fresh, which runs on every request

	activateMu sync.Mutex // serializes changes of current

	notifying sync.Mutex // serializes callbacks, so that they get versions in order
	callbacks []func(*bundle.Compiled)
	notified  ident.Version

	confirmations   confirmations
	backoff         sourceBackoff
	majorities      majorityTimes
	cursor          watchCursor // only for the sync loop
	sourceReachable atomic.Bool // the last sync got a reply from a peer or the store
	garbage         garbageCandidates
}

// New checks the config and returns a Rollout with an empty configuration; Run loads the current one.
func New(config Config) (*Rollout, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.Log.GetSink() == nil {
		config.Log = logr.Discard()
	}
	r := &Rollout{config: config}
	r.current.Store(emptySnapshot())
	return r, nil
}

// Run keeps the configuration up to date and fresh until the context ends.
func (r *Rollout) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runPeriodically(ctx, r.config.ReadInterval, r.sync) })
	group.Go(func() error { return r.runPeriodically(ctx, r.config.ReadInterval, r.confirm) })
	group.Go(func() error { return r.runPeriodically(ctx, sweepInterval, r.collect) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("rollout: %w", err)
	}
	return nil
}

// runPeriodically calls step immediately and then again after each pause.
func (r *Rollout) runPeriodically(ctx context.Context, pause time.Duration, step func(context.Context)) error {
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
func (r *Rollout) Current() *bundle.Compiled { return r.current.Load().compiled }

// Bundle returns the configuration in force with its key hashes, and its version. Operators derive the next bundle from
// it. The caller must not modify it.
func (r *Rollout) Bundle() (bundle.Bundle, ident.Version) {
	current := r.current.Load()
	return current.bundle, current.version()
}

// OnChange registers a callback for new configurations. Calls are serialized and versions increase, but some may be
// skipped.
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

// sender returns the identity of this daemon for a message to a peer.
func (r *Rollout) sender() wire.Sender {
	self := r.config.Self()
	return wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: r.config.View().Epoch}
}
