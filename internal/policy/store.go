package policy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// watchTimeout is the longest duration of a watch call. Each call that returns confirms the configuration. Followers wait
	// for confirmations, so it leaves them time for another source within the freshness limit.
	watchTimeout = 300 * time.Millisecond
	// firstWatchTimeout makes the first watch return at once, as a daemon that turns to the store needs a confirmation.
	firstWatchTimeout = time.Millisecond
	// readInterval is the interval of additional reads, as a watch may report nothing although the configuration changes.
	readInterval = 15 * time.Second
	// largeReply is the size from which a reply may take long enough that followers should know that it is arriving.
	largeReply = 16 << 10
)

// useStore reads and watches the store until a call fails, or until there is a peer to follow, which it returns.
func (w *Watcher) useStore(ctx context.Context, failedBefore bool) (string, error) {
	ctx = platform.WithProgress(ctx, func(received int) {
		if received > largeReply {
			w.receivingAt.Store(int64(w.uptime()))
		}
	})
	if s, _ := w.get(); s.revision == 0 {
		if err := w.refresh(ctx); err != nil {
			return "", err
		}
	}
	timeout := firstWatchTimeout
	probeAt := w.uptime() + jitter(probeInterval)
	for {
		if w.uptime()-w.lastRead > readInterval {
			if err := w.refresh(ctx); err != nil {
				return "", err
			}
		}
		if err := w.watch(ctx, timeout); err != nil {
			return "", err
		}
		if failedBefore {
			w.log.Info("configuration read after a failed watch", "version", uint64(w.version()))
			failedBefore = false
		}
		timeout = watchTimeout
		if w.uptime() >= probeAt {
			if address := w.findSource(ctx); address != "" {
				w.setDirect(false)
				return address, nil
			}
			probeAt = w.uptime() + jitter(probeInterval)
		}
	}
}

// refresh reads the configuration once. Later watches start at the revision of the read: the item's own revision may be older
// than the history that the store keeps.
func (w *Watcher) refresh(ctx context.Context) error {
	sentAt := w.uptime()
	page, err := w.store.Range(ctx, w.key, "")
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	for _, item := range page.Items {
		if item.Key != w.key {
			continue
		}
		p, encoded, err := w.load(item.Value)
		if err != nil {
			return err
		}
		w.put(p, encoded, func(s *state) { s.confirm(sentAt, page.Revision) })
		w.lastRead = w.uptime()
		return nil
	}
	return fmt.Errorf("read configuration: %w", platform.ErrNotFound)
}

// watch makes one watch call. Of several changes it applies the latest one that can be read.
func (w *Watcher) watch(ctx context.Context, timeout time.Duration) error {
	s, _ := w.get()
	sentAt := w.uptime()
	events, next, err := w.store.Watch(ctx, w.key, s.revision, timeout)
	if errors.Is(err, platform.ErrHistoryLost) {
		w.update(func(s *state) { s.revision = 0 })
	}
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	for n := len(events) - 1; n >= 0; n-- {
		e := events[n]
		if e.Deleted || e.Key != w.key {
			continue
		}
		p, encoded, err := w.load(e.Value)
		if err != nil {
			w.log.Error(err, "configuration not accepted", "revision", uint64(e.Revision))
			continue
		}
		if w.put(p, encoded, func(s *state) { s.confirm(sentAt, next) }) {
			return nil
		}
	}
	w.update(func(s *state) { s.confirm(sentAt, next) })
	return nil
}

// confirm records that the store confirmed the policy up to a revision.
func (s *state) confirm(sentAt time.Duration, revision platform.Revision) {
	s.confirmedAt, s.revision, s.direct = max(s.confirmedAt, sentAt), revision, true
}

// load decodes a configuration and compresses it for other daemons.
func (w *Watcher) load(value []byte) (*Policy, []byte, error) {
	p, err := w.decode(value)
	if err != nil {
		return nil, nil, fmt.Errorf("decode configuration: %w", err)
	}
	if w.peers == nil || p.Version <= w.version() {
		return p, nil, nil
	}
	encoded, err := compress(value)
	if err != nil {
		return nil, nil, fmt.Errorf("compress configuration: %w", err)
	}
	return p, encoded, nil
}
