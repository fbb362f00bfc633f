package policy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// chunkBytes bounds a part of a configuration, so that a transfer shows its progress and other calls on the connection
	// don't wait for the whole.
	chunkBytes = 64 << 10
	// maxPullWait is how long a peer may hold a call until there is news. It is longer than a watch, so that a call usually
	// returns with a confirmation.
	maxPullWait = 500 * time.Millisecond
	minPullWait = 100 * time.Millisecond
	// pullSlack is the time for a reply beyond the wait, and chunkTimeout the time for a part of a configuration.
	pullSlack    = 250 * time.Millisecond
	chunkTimeout = time.Second
	// maxTransferTime bounds the transfer of a configuration from a peer.
	maxTransferTime = 4 * time.Second
	// maxSourceAge is the age of a confirmation at which a daemon turns to its next source, for example if its present one is
	// cut off from the store.
	maxSourceAge = 1200 * time.Millisecond
	// maxReceivingAge is that age while the source receives a large reply from the store. A second transfer of the same over a
	// slow link would delay both.
	maxReceivingAge = 2500 * time.Millisecond
	// receivingPause is the time without progress after which a source no longer counts as receiving.
	receivingPause = 500 * time.Millisecond
	// A daemon turns to the store if its confirmation reaches an age. The first in the order of a region does so earlier than
	// the others, which then follow it and wait for different times.
	firstStoreAge  = 1200 * time.Millisecond
	otherStoreAge  = 1700 * time.Millisecond
	storeAgeSpread = 800 * time.Millisecond
	// startStoreAge is the time after the start at which a daemon without a configuration turns to the store.
	startStoreAge = time.Second
	// viewWait is how long a starting daemon waits to learn of its peers.
	viewWait = 300 * time.Millisecond
	// probeInterval is the interval in which a daemon that uses the store looks for a peer to follow.
	probeInterval = 2 * time.Second
	// detourTime is how long a daemon that failed to use the store follows any peer before it tries the store again.
	detourTime   = 2 * time.Second
	nextPeerWait = 50 * time.Millisecond
)

// sourceSet selects the peers that a daemon may follow.
type sourceSet bool

const (
	preferredSources sourceSet = false // those before this daemon in the order of the region
	allSources       sourceSet = true
)

// Peers is the access to the other daemons of the region.
type Peers struct {
	// Sources returns the addresses of the peers to follow in the order of the region: those before this daemon, or all. It
	// returns false as long as no peers are known.
	Sources func(all bool) ([]string, bool)
	// Pull calls Serve of the watcher at an address.
	Pull func(ctx context.Context, address string, r PullRequest) (PullReply, error)
}

// PullRequest asks a peer for its configuration.
type PullRequest struct {
	Version  ident.Version `json:"version"`            // the caller's version
	Wait     time.Duration `json:"wait"`               // how long the peer may wait for news
	Fetching ident.Version `json:"fetching,omitempty"` // version of which the caller has a part
	Offset   int           `json:"offset,omitempty"`   // size of that part
}

// PullReply tells the version of a peer and, if it is newer than the caller's, a part of the compressed configuration.
type PullReply struct {
	Version  ident.Version     `json:"version"`
	Revision platform.Revision `json:"revision"`
	// Age is the time from the peer's last confirmation of the version to the arrival of the request. It is negative if the
	// confirmation came after the request. Counted from the sending of the request, it never makes a confirmation look newer.
	Age    time.Duration `json:"age"`
	Direct bool          `json:"direct"` // the peer reads the store itself
	// Receiving says that a large reply from the store is arriving at the peer.
	Receiving bool   `json:"receiving,omitempty"`
	Size      int    `json:"size,omitempty"`
	Offset    int    `json:"offset,omitempty"`
	Chunk     []byte `json:"chunk,omitempty"`
}

// Serve answers a pull as soon as there is a newer version or confirmation, at the latest after the wait of the request.
func (w *Watcher) Serve(ctx context.Context, r PullRequest) (PullReply, error) {
	arrivedAt := w.uptime()
	timeout := time.NewTimer(min(r.Wait, maxPullWait))
	defer timeout.Stop()
	s, changed := w.get()
	for first, expired := s, r.Wait <= 0; !expired && !s.hasNews(first, r.Version); {
		select {
		case <-changed:
			s, changed = w.get()
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			return PullReply{}, fmt.Errorf("wait for a configuration: %w", ctx.Err())
		}
	}
	reply := PullReply{Version: s.version(), Revision: s.revision, Age: arrivedAt - s.confirmedAt, Direct: s.direct}
	if at := w.receivingAt.Load(); at > 0 {
		reply.Receiving = w.uptime()-time.Duration(at) < receivingPause
	}
	if s.version() > r.Version {
		if r.Fetching == s.version() {
			reply.Offset = min(max(r.Offset, 0), len(s.encoded))
		}
		reply.Size = len(s.encoded)
		reply.Chunk = s.encoded[reply.Offset:min(reply.Offset+chunkBytes, len(s.encoded))]
	}
	return reply, nil
}

// hasNews reports whether the state has something to tell a peer that has a version and has waited since the first state.
func (s *state) hasNews(first state, version ident.Version) bool {
	return s.version() > version || s.direct != first.direct || s.direct && s.confirmedAt > first.confirmedAt
}

// awaitPeers waits until the peers are known, at most for viewWait.
func (w *Watcher) awaitPeers(ctx context.Context) {
	for w.peers != nil && ctx.Err() == nil && w.uptime()-w.startedAt < viewWait {
		if _, known := w.peers.Sources(true); known {
			return
		}
		sleep(ctx, viewWait/20)
	}
}

// sources returns the peers to follow.
func (w *Watcher) sources(set sourceSet) []string {
	if w.peers == nil {
		return nil
	}
	addresses, _ := w.peers.Sources(set == allSources)
	return addresses
}

// storeAge returns the age of the confirmation at which this daemon turns from its peers to the store.
func (w *Watcher) storeAge(sources int) time.Duration {
	switch {
	case w.version() == 0:
		return startStoreAge + rand.N(storeAgeSpread)
	case sources <= 1:
		return firstStoreAge
	}
	return otherStoreAge + rand.N(storeAgeSpread)
}

// follow follows peers, at first the one with the given address, until none of them has confirmed the configuration for too
// long. If it follows all sources, it returns after detourTime.
func (w *Watcher) follow(ctx context.Context, set sourceSet, address string) {
	startedAt := w.uptime()
	failed := 0
	limit := time.Duration(0)
	for ctx.Err() == nil && (set == preferredSources || w.uptime()-startedAt < detourTime) {
		sources := w.sources(set)
		if len(sources) == 0 {
			return
		}
		if failed == 0 {
			limit = w.storeAge(len(sources))
		}
		if failed >= len(sources) && w.confirmationAge() >= limit {
			return
		}
		n := max(slices.Index(sources, address), 0)
		address = sources[n]
		err := w.pull(ctx, address, min(max(limit-w.confirmationAge(), minPullWait), maxPullWait))
		if err == nil {
			failed, w.lastRead = 0, w.uptime()
			continue
		}
		w.log.V(1).Info("configuration not confirmed by a peer", "peer", address, "error", err.Error())
		failed++
		address = sources[(n+1)%len(sources)]
		sleep(ctx, jitter(nextPeerWait))
	}
}

// findSource returns the first preferred source that reads the store and has a recent confirmation, or nothing.
func (w *Watcher) findSource(ctx context.Context) string {
	for _, address := range w.sources(preferredSources) {
		if _, _, err := w.call(ctx, address, pullSlack, PullRequest{Version: w.version()}); err == nil {
			return address
		}
	}
	return ""
}

// errNoSource reports that a peer can't be followed at present.
var errNoSource = errors.New("the peer doesn't have the newest configuration from the store")

// pull asks a peer for news and applies what it has. It returns nil if the peer can be followed further.
func (w *Watcher) pull(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+maxTransferTime)
	defer cancel()
	request := PullRequest{Version: w.version(), Wait: wait}
	timeout := wait + pullSlack
	var part []byte
	for {
		reply, confirmedAt, err := w.call(ctx, address, timeout, request)
		if err != nil && !errors.Is(err, errNoSource) || reply.Version <= request.Version {
			return err
		}
		if reply.Version != request.Fetching {
			if reply.Size > 2*platform.MaxValueBytes {
				return fmt.Errorf("configuration of %d bytes: %w", reply.Size, platform.ErrTooLarge)
			}
			request.Fetching, part = reply.Version, make([]byte, 0, max(reply.Size, 0))
		}
		if reply.Offset != len(part) || len(reply.Chunk) == 0 || len(part)+len(reply.Chunk) > reply.Size {
			return fmt.Errorf("part of %d bytes at %d of %d doesn't fit", len(reply.Chunk), reply.Offset, reply.Size)
		}
		part = append(part, reply.Chunk...)
		if len(part) == reply.Size {
			return errors.Join(err, w.applyPulled(part, reply, confirmedAt))
		}
		request.Wait, request.Offset, timeout = 0, len(part), chunkTimeout
	}
}

// applyPulled puts a configuration from a peer into effect.
func (w *Watcher) applyPulled(encoded []byte, reply PullReply, confirmedAt time.Duration) error {
	value, err := decompress(encoded)
	if err != nil {
		return err
	}
	p, err := w.decode(value)
	if err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	if p.Version != reply.Version {
		return fmt.Errorf("configuration has version %d instead of %d", p.Version, reply.Version)
	}
	w.put(p, encoded, func(s *state) { s.follow(confirmedAt, reply.Revision) })
	return nil
}

// call makes one call to a peer, records what the reply confirms and returns when the peer's version was confirmed. It returns
// errNoSource unless the peer is usable as a source.
func (w *Watcher) call(
	ctx context.Context, address string, timeout time.Duration, r PullRequest,
) (PullReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := w.uptime()
	reply, err := w.peers.Pull(ctx, address, r)
	if err != nil {
		return reply, 0, err
	}
	confirmedAt := sentAt - reply.Age
	if reply.Version == w.version() && reply.Version > 0 {
		w.update(func(s *state) { s.follow(confirmedAt, reply.Revision) })
	}
	if !w.isUsable(reply, confirmedAt) {
		err = errNoSource
	}
	return reply, confirmedAt, err
}

// isUsable reports whether a peer reads the store itself and has a recent confirmation and at least this daemon's version, or is
// about to have them.
func (w *Watcher) isUsable(reply PullReply, confirmedAt time.Duration) bool {
	age, limit := w.uptime()-confirmedAt, maxSourceAge
	if reply.Version == 0 {
		age = w.confirmationAge()
	}
	if reply.Receiving {
		limit = maxReceivingAge
	}
	return reply.Version >= w.version() && (reply.Direct && reply.Version > 0 || reply.Receiving) && age <= limit
}

// follow records the confirmation of a peer that has the same version.
func (s *state) follow(confirmedAt time.Duration, revision platform.Revision) {
	s.confirmedAt, s.revision = max(s.confirmedAt, confirmedAt), max(s.revision, revision)
}
