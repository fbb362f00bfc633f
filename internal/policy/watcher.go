package policy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// watchTimeout bounds a watch, and with it the age of the confirmation.
	watchTimeout = 1500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
	// readInterval is the interval of reads beside the watch, which may hear nothing while changes are made.
	readInterval = 15 * time.Second
)

// Watcher keeps the newest configuration of the store.
type Watcher struct {
	store  platform.TransactStore
	key    string
	decode func([]byte) (*Policy, error)
	log    logr.Logger
	now    func() time.Time

	mu       sync.Mutex
	current  Snapshot
	onChange []func(*Policy)
}

// NewWatcher returns a follower of the configuration under a key.
func NewWatcher(s platform.TransactStore, key string, decode func([]byte) (*Policy, error), log logr.Logger) *Watcher {
	return &Watcher{store: s, key: key, decode: decode, log: log, now: time.Now}
}

// Current returns the newest policy known.
func (w *Watcher) Current() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// OnChange calls a function with each new policy, in the follower's goroutine. It must be set before Run.
func (w *Watcher) OnChange(call func(*Policy)) { w.onChange = append(w.onChange, call) }

// Run follows the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := w.readAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		if !failing && !errors.Is(err, platform.ErrHistoryLost) {
			w.log.Info("lost the configuration in the store", "error", err.Error(), "age", w.confirmationAge().String())
		}
		failing = true
		if w.waitRetry(ctx) {
			break
		}
		if w.refresh(ctx) == nil {
			w.log.Info("read the configuration again", "version", w.version())
			failing = false
		}
	}
	return nil
}

func (w *Watcher) waitRetry(ctx context.Context) (ended bool) {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(retryDelay):
		return false
	}
}

func (w *Watcher) confirmationAge() time.Duration { return w.now().Sub(w.Current().ConfirmedAt) }

func (w *Watcher) version() uint64 {
	if p := w.Current().Policy; p != nil {
		return uint64(p.Version)
	}
	return 0
}

// refresh takes the configuration from the store.
func (w *Watcher) refresh(ctx context.Context) error {
	_, err := w.read(ctx)
	return err
}

func (w *Watcher) read(ctx context.Context) (platform.Revision, error) {
	sentAt := w.now()
	// The revision of the item itself may be older than the history that the store keeps for watches.
	page, err := w.store.Range(ctx, w.key, "")
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	for _, item := range page.Items {
		if item.Key != w.key {
			continue
		}
		if err := w.apply(item.Value, sentAt); err != nil {
			return 0, err
		}
		return page.At, nil
	}
	return 0, fmt.Errorf("read configuration: %w", platform.ErrNotFound)
}

// readAndWatch reads the configuration and watches it until a call fails or a regular read is due.
func (w *Watcher) readAndWatch(ctx context.Context) error {
	at, err := w.read(ctx)
	if err != nil {
		return err
	}
	lastRead := w.now()
	for {
		sentAt := w.now()
		if sentAt.Sub(lastRead) > readInterval {
			if at, err = w.read(ctx); err != nil {
				return err
			}
			lastRead = sentAt
		}
		events, next, err := w.store.Watch(ctx, w.key, at, watchTimeout)
		if err != nil {
			return fmt.Errorf("watch configuration: %w", err)
		}
		at = next
		for _, e := range events {
			if e.Deleted || e.Key != w.key {
				continue
			}
			if err := w.apply(e.Value, sentAt); err != nil {
				w.log.Error(err, "configuration not accepted", "revision", uint64(e.Revision))
			}
		}
		w.markConfirmed(sentAt)
	}
}

func (w *Watcher) markConfirmed(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.current.ConfirmedAt) {
		w.current.ConfirmedAt = at
	}
}

// apply takes a configuration into force unless a newer one is.
func (w *Watcher) apply(value []byte, sentAt time.Time) error {
	p, err := w.decode(value)
	if err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	w.mu.Lock()
	old := w.current.Policy
	newer := old == nil || p.Version > old.Version
	if newer {
		w.current.Policy = p
	}
	if sentAt.After(w.current.ConfirmedAt) {
		w.current.ConfirmedAt = sentAt
	}
	w.mu.Unlock()
	if newer {
		w.log.Info("configuration in force", "version", uint64(p.Version), "routes", len(p.Routes), "teams", len(p.Teams))
		for _, call := range w.onChange {
			call(p)
		}
	}
	return nil
}
