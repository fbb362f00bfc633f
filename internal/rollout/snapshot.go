package rollout

import (
	"errors"
	"fmt"
	"maps"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxRemoved bounds the record of removed segments. A daemon that is further behind gets all segments.
const maxRemoved = 1024

// Reasons to ignore or refuse an index.
var (
	// ErrForked reports an index with the version in force but with different content.
	ErrForked = errors.New("same version with different content")
	// errOlder reports an index with a version below the one in force.
	errOlder = errors.New("older than the version in force")
)

// snapshot is a configuration in force with the data needed to serve deltas to peers; it is immutable.
type snapshot struct {
	index           bundle.Index
	root            []byte // encoded index root
	segments        map[string][]byte
	bundle          bundle.Bundle
	compiled        *bundle.Compiled
	changedIn       map[string]ident.Version // version in which this daemon first saw the current content of the segment
	removedIn       map[string]ident.Version // version in which this daemon first saw the segment removed
	minDeltaVersion ident.Version            // peers with a version below it get all segments
}

func emptySnapshot() *snapshot {
	return &snapshot{compiled: bundle.Compile(bundle.Bundle{}, 0)}
}

func (s *snapshot) version() ident.Version { return s.index.Version }

// successor returns the snapshot of the index, which follows s. It copies the maps, because s may still be in use.
func (s *snapshot) successor(index bundle.Index, segments map[string][]byte) (*snapshot, error) {
	changed := make(map[string][]byte)
	for _, e := range index.Entries {
		if hash, ok := s.index.Lookup(e.Name); !ok || hash != e.Hash {
			changed[e.Name] = segments[e.Name]
		}
	}
	var removed []string
	for _, e := range s.index.Entries {
		if _, ok := index.Lookup(e.Name); !ok {
			removed = append(removed, e.Name)
		}
	}
	merged, err := bundle.Update(s.bundle, changed, removed)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", index.Version, err)
	}
	if err := bundle.Validate(merged); err != nil {
		return nil, fmt.Errorf("version %d: %w", index.Version, err)
	}
	next := &snapshot{
		index: index, root: index.Root.Encode(), segments: segments, bundle: merged,
		compiled:        bundle.Compile(merged, index.Version),
		changedIn:       make(map[string]ident.Version, len(index.Entries)),
		removedIn:       maps.Clone(s.removedIn),
		minDeltaVersion: s.minDeltaVersion,
	}
	if next.removedIn == nil {
		next.removedIn = make(map[string]ident.Version)
	}
	if s.version() == 0 {
		next.minDeltaVersion = index.Version
	}
	for _, e := range index.Entries {
		next.changedIn[e.Name] = s.changedIn[e.Name]
		delete(next.removedIn, e.Name)
	}
	for name := range changed {
		next.changedIn[name] = index.Version
	}
	for _, name := range removed {
		next.removedIn[name] = index.Version
	}
	if len(next.removedIn) > maxRemoved {
		clear(next.removedIn)
		next.minDeltaVersion = index.Version
	}
	return next, nil
}

// checkRoot compares an index root with the one in force and verifies the sign-offs of a newer one. It returns nil for a
// newer root with valid sign-offs, and otherwise errOlder, errSame, ErrForked or the error of the sign-offs.
func (r *Rollout) checkRoot(root bundle.Root) error {
	current := r.current.Load()
	switch {
	case root.Version < current.version():
		r.counts.Older.Add(1)
		return errOlder
	case root.Version == current.version() && root.Digest() == current.index.Digest():
		return errSame
	case root.Version == current.version():
		r.counts.Forked.Add(1)
		r.config.Log.Error(ErrForked, "index refused", "version", root.Version, "writer", root.Writer)
		return fmt.Errorf("version %d written by %s: %w", root.Version, root.Writer, ErrForked)
	}
	if err := bundle.Verify(root.Digest(), root.SignOffs, r.config.Signers, r.config.RequiredSigners); err != nil {
		r.counts.Unsigned.Add(1)
		r.config.Log.Error(err, "index refused", "version", root.Version, "writer", root.Writer)
		return fmt.Errorf("version %d written by %s: %w", root.Version, root.Writer, err)
	}
	return nil
}

// errSame reports that the index is already in force.
var errSame = errors.New("already in force")

// activate puts a verified index in force, unless the version in force is the same or newer, and notifies the callbacks.
func (r *Rollout) activate(index bundle.Index, segments map[string][]byte) error {
	if err := r.replace(index, segments); err != nil {
		return err
	}
	r.notify()
	return nil
}

func (r *Rollout) replace(index bundle.Index, segments map[string][]byte) error {
	r.activateMu.Lock()
	defer r.activateMu.Unlock()
	current := r.current.Load()
	if index.Version <= current.version() {
		return nil
	}
	next, err := current.successor(index, segments)
	if err != nil {
		r.counts.Malformed.Add(1)
		r.config.Log.Error(err, "index refused", "version", index.Version, "writer", index.Writer)
		return err
	}
	r.current.Store(next)
	r.counts.Adopted.Add(1)
	r.config.Log.V(1).Info("configuration in force", "version", index.Version, "previous", current.version(), "writer", index.Writer)
	return nil
}
