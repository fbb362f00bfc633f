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

// maxDeltaBytes bounds the segments of one reply. A daemon that would need more reads the store.
const maxDeltaBytes = 512 << 10

// errDeltaTooLarge reports that a peer holds a newer version but the difference doesn't fit into a reply.
var errDeltaTooLarge = errors.New("difference is too large for a reply")

// ErrNoSource tells a peer that this daemon has no source of newer versions itself, so that the peer tries another.
var ErrNoSource = errors.New("configuration source is not reachable")

// HandlePull answers a peer with the index and the segments changed since the peer's version. A reply with a higher
// version and no index means that the difference is too large and has to be read from the store.
func (r *Rollout) HandlePull(_ context.Context, request wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
	current := r.held.Load()
	if request.Version >= current.version() {
		if !r.sourced.Load() {
			return wire.ConfigPullReply{}, ErrNoSource
		}
		return wire.ConfigPullReply{Version: r.confirmedVersion()}, nil
	}
	reply := wire.ConfigPullReply{Version: current.version(), Index: current.root}
	size := len(current.root)
	for _, e := range current.index.Entries {
		if request.Version >= current.floor && current.changed[e.Name] <= request.Version {
			continue
		}
		value := current.segments[e.Name]
		reply.Segments = append(reply.Segments, wire.Segment{Name: e.Name, Hash: e.Hash, Value: value})
		size += len(e.Name) + len(e.Hash) + len(value)
	}
	if size > maxDeltaBytes {
		return wire.ConfigPullReply{Version: current.version()}, nil
	}
	for name, version := range current.removed {
		if version > request.Version {
			reply.Removed = append(reply.Removed, name)
		}
	}
	slices.Sort(reply.Removed)
	r.counts.DeltasServed.Add(1)
	r.counts.DeltaBytesServed.Add(uint64(size))
	return reply, nil
}

// HandleVersion answers with the version in force, or 0 as long as this daemon can't vouch for it.
func (r *Rollout) HandleVersion(context.Context, wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
	return wire.ConfigVersionReply{Version: r.confirmedVersion()}, nil
}

// pullFrom asks a peer for what is newer and puts it in force.
func (r *Rollout) pullFrom(ctx context.Context, to ident.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := r.config.Now()
	have := r.held.Load().version()
	reply, err := r.config.Pull(ctx, to, wire.ConfigPullRequest{Sender: r.sender(), Version: have})
	r.counts.Pulls.Add(1)
	if err != nil {
		return fmt.Errorf("pull from %s: %w", to, err)
	}
	if len(reply.Index) > 0 {
		return r.applyReply(to, reply)
	}
	r.words.hear(to, reply.Version, before)
	if reply.Version > have {
		return fmt.Errorf("pull from %s: version %d: %w", to, reply.Version, errDeltaTooLarge)
	}
	return nil
}

// applyReply checks a delta against its index and puts it in force. The peer's hashes aren't trusted.
func (r *Rollout) applyReply(from ident.MemberID, reply wire.ConfigPullReply) error {
	root, err := bundle.DecodeRoot(reply.Index)
	if err != nil {
		r.counts.Malformed.Add(1)
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	switch err := r.judge(root); {
	case errors.Is(err, errSame), errors.Is(err, errOlder):
		return nil
	case err != nil:
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	index, segments, err := r.held.Load().merge(root, reply)
	if err != nil {
		r.counts.Malformed.Add(1)
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	if err := r.adopt(index, segments); err != nil {
		return fmt.Errorf("pull from %s: %w", from, err)
	}
	return nil
}

// merge applies a delta to the held segments; if the result doesn't match the root, the delta is tried as the whole
// configuration, because a peer that has forgotten which segments were removed sends every segment.
func (h *held) merge(root bundle.Root, reply wire.ConfigPullReply) (bundle.Index, map[string][]byte, error) {
	whole := make(map[string][]byte, len(reply.Segments))
	for _, s := range reply.Segments {
		whole[s.Name] = s.Value
	}
	merged := maps.Clone(h.segments)
	if merged == nil {
		merged = make(map[string][]byte, len(whole))
	}
	for _, name := range reply.Removed {
		delete(merged, name)
	}
	maps.Copy(merged, whole)
	var failure error
	for _, segments := range []map[string][]byte{merged, whole} {
		index, err := root.Complete(h.entries(segments, whole))
		if err == nil {
			return index, segments, nil
		}
		failure = errors.Join(failure, err)
	}
	return bundle.Index{}, nil, failure
}

// entries lists the segments with their hashes; only those received are hashed again.
func (h *held) entries(segments, received map[string][]byte) []bundle.Entry {
	entries := make([]bundle.Entry, 0, len(segments))
	for name, value := range segments {
		hash, known := h.index.Lookup(name)
		if _, ok := received[name]; ok || !known {
			hash = bundle.Hash(value)
		}
		entries = append(entries, bundle.Entry{Name: name, Hash: hash})
	}
	return entries
}

// peerTimeout bounds one call to a peer; the links take 8 ms one way at most.
const peerTimeout = time.Second
