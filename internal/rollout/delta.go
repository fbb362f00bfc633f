package rollout

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxDeltaBytes bounds the size of the segments in one reply. A daemon that needs more reads them from the store.
const maxDeltaBytes = 512 << 10

// errDeltaTooLarge reports that a peer has a newer version, but the changed segments don't fit into one reply.
var errDeltaTooLarge = errors.New("changed segments are too large for one reply")

// ErrNoSource tells a peer that this daemon can't reach a source of newer versions, so that the peer tries another source.
var ErrNoSource = errors.New("configuration source is not reachable")

// HandlePull replies to a peer with the index and the segments changed since the peer's version. A reply with a higher
// version and no index means that the delta is too large and must be read from the store.
func (r *Rollout) HandlePull(_ context.Context, request wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
	current := r.current.Load()
	if request.Version >= current.version() {
		if !r.sourceReachable.Load() {
			return wire.ConfigPullReply{}, ErrNoSource
		}
		return wire.ConfigPullReply{Version: r.confirmedVersion()}, nil
	}
	reply := wire.ConfigPullReply{Version: current.version(), Index: current.root}
	size := len(current.root)
	for _, e := range current.index.Entries {
		if request.Version >= current.minDeltaVersion && current.changedIn[e.Name] <= request.Version {
			continue
		}
		value := current.segments[e.Name]
		reply.Segments = append(reply.Segments, wire.Segment{Name: e.Name, Hash: e.Hash, Value: value})
		size += len(e.Name) + len(e.Hash) + len(value)
	}
	if size > maxDeltaBytes {
		return wire.ConfigPullReply{Version: current.version()}, nil
	}
	for name, version := range current.removedIn {
		if version > request.Version {
			reply.Removed = append(reply.Removed, name)
		}
	}
	slices.Sort(reply.Removed)
	r.counts.DeltasServed.Add(1)
	r.counts.DeltaBytesServed.Add(uint64(size))
	return reply, nil
}

// HandleVersion replies with the version in force, or with 0 until this daemon has confirmed it.
func (r *Rollout) HandleVersion(context.Context, wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
	return wire.ConfigVersionReply{Version: r.confirmedVersion()}, nil
}

// pullFrom asks a peer for a newer configuration and puts it in force.
func (r *Rollout) pullFrom(ctx context.Context, to ident.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sentAt := r.config.Now()
	have := r.current.Load().version()
	reply, err := r.config.Pull(ctx, to, wire.ConfigPullRequest{Sender: r.sender(), Version: have})
	r.counts.Pulls.Add(1)
	if err != nil {
		return fmt.Errorf("pull from %s: %w", to, err)
	}
	if len(reply.Index) > 0 {
		return r.applyReply(to, reply)
	}
	r.confirmations.recordPeer(to, reply.Version, sentAt)
	if reply.Version > have {
		return fmt.Errorf("pull from %s: version %d: %w", to, reply.Version, errDeltaTooLarge)
	}
	return nil
}

// applyReply verifies a delta against its index and puts it in force. It computes the hashes of received segments itself,
// because those sent by the peer aren't trusted.
func (r *Rollout) applyReply(from ident.MemberID, reply wire.ConfigPullReply) error {
	root, err := bundle.DecodeRoot(reply.Index)
	if err != nil {
		r.counts.Malformed.Add(1)
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	switch err := r.checkRoot(root); {
	case errors.Is(err, errSame), errors.Is(err, errOlder):
		return nil
	case err != nil:
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	index, segments, err := r.current.Load().merge(root, reply)
	if err != nil {
		r.counts.Malformed.Add(1)
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	if err := r.activate(index, segments); err != nil {
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	return nil
}

// merge applies a delta to the segments of the snapshot. If the result doesn't match the root, it tries the received segments
// as the complete configuration, because a peer that no longer knows which segments were removed sends all of them.
func (s *snapshot) merge(root bundle.Root, reply wire.ConfigPullReply) (bundle.Index, map[string][]byte, error) {
	whole := make(map[string][]byte, len(reply.Segments))
	for _, segment := range reply.Segments {
		whole[segment.Name] = segment.Value
	}
	merged := maps.Clone(s.segments)
	if merged == nil {
		merged = make(map[string][]byte, len(whole))
	}
	for _, name := range reply.Removed {
		delete(merged, name)
	}
	maps.Copy(merged, whole)
	var failure error
	for _, segments := range []map[string][]byte{merged, whole} {
		index, err := root.Complete(s.entries(segments, whole))
		if err == nil {
			return index, segments, nil
		}
		failure = errors.Join(failure, err)
	}
	return bundle.Index{}, nil, failure
}

// entries lists the segments with their hashes. It computes only the hashes of those received.
func (s *snapshot) entries(segments, received map[string][]byte) []bundle.Entry {
	entries := make([]bundle.Entry, 0, len(segments))
	for name, value := range segments {
		hash, known := s.index.Lookup(name)
		if _, ok := received[name]; ok || !known {
			hash = bundle.Hash(value)
		}
		entries = append(entries, bundle.Entry{Name: name, Hash: hash})
	}
	return entries
}

// peerTimeout bounds one call to a peer; the latency of the links is at most 8 ms one way.
const peerTimeout = time.Second
