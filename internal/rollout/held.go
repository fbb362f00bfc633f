package rollout

import (
	"errors"
	"fmt"
	"maps"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxRemoved bounds the memory of removed segments; a daemon that is further behind gets every segment.
const maxRemoved = 1024

// Errors of an index that isn't taken.
var (
	// ErrForked reports an index with the version in force and other content.
	ErrForked = errors.New("same version with other content")
	// errOlder reports an index below the version in force.
	errOlder = errors.New("older version")
)

// held is a configuration in force with what is needed to pass it on; it is immutable.
type held struct {
	index    bundle.Index
	root     []byte // encoded index root
	segments map[string][]byte
	bundle   bundle.Bundle
	compiled *bundle.Compiled
	changed  map[string]ident.Version // version in which this daemon first saw the segment's content
	removed  map[string]ident.Version // version in which this daemon first missed the segment
	floor    ident.Version            // requests below this version get every segment
}

func emptyHeld() *held {
	return &held{compiled: bundle.Compile(bundle.Bundle{}, 0)}
}

func (h *held) version() ident.Version { return h.index.Version }

// successor builds the state after adopting the index. Histories are copied, because readers use the old state.
func (h *held) successor(index bundle.Index, segments map[string][]byte) (*held, error) {
	changed := make(map[string][]byte)
	for _, e := range index.Entries {
		if hash, ok := h.index.Lookup(e.Name); !ok || hash != e.Hash {
			changed[e.Name] = segments[e.Name]
		}
	}
	var removed []string
	for _, e := range h.index.Entries {
		if _, ok := index.Lookup(e.Name); !ok {
			removed = append(removed, e.Name)
		}
	}
	joined, err := bundle.Update(h.bundle, changed, removed)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", index.Version, err)
	}
	if err := bundle.Validate(joined); err != nil {
		return nil, fmt.Errorf("version %d: %w", index.Version, err)
	}
	next := &held{
		index: index, root: index.Root.Encode(), segments: segments, bundle: joined,
		compiled: bundle.Compile(joined, index.Version),
		changed:  make(map[string]ident.Version, len(index.Entries)),
		removed:  maps.Clone(h.removed),
		floor:    h.floor,
	}
	if next.removed == nil {
		next.removed = make(map[string]ident.Version)
	}
	if h.version() == 0 {
		next.floor = index.Version
	}
	for _, e := range index.Entries {
		next.changed[e.Name] = h.changed[e.Name]
		delete(next.removed, e.Name)
	}
	for name := range changed {
		next.changed[name] = index.Version
	}
	for _, name := range removed {
		next.removed[name] = index.Version
	}
	if len(next.removed) > maxRemoved {
		clear(next.removed)
		next.floor = index.Version
	}
	return next, nil
}

// judge compares an index root with the one in force and verifies the sign-offs of a newer one. It returns nil for a
// newer root that may be used, errOlder, ErrForked, errSame, or the fault of the sign-offs.
func (r *Rollout) judge(root bundle.Root) error {
	current := r.held.Load()
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
	if err := bundle.Verify(root.Digest(), root.SignOffs, r.config.Signers, r.config.Required); err != nil {
		r.counts.Unsigned.Add(1)
		r.config.Log.Error(err, "index refused", "version", root.Version, "writer", root.Writer)
		return fmt.Errorf("version %d written by %s: %w", root.Version, root.Writer, err)
	}
	return nil
}

// errSame reports the index that is already in force.
var errSame = errors.New("already in force")

// adopt puts a verified index in force unless one at least as new is in force.
func (r *Rollout) adopt(index bundle.Index, segments map[string][]byte) error {
	if err := r.replace(index, segments); err != nil {
		return err
	}
	r.notify()
	return nil
}

func (r *Rollout) replace(index bundle.Index, segments map[string][]byte) error {
	r.adopting.Lock()
	defer r.adopting.Unlock()
	current := r.held.Load()
	if index.Version <= current.version() {
		return nil
	}
	next, err := current.successor(index, segments)
	if err != nil {
		r.counts.Malformed.Add(1)
		r.config.Log.Error(err, "index refused", "version", index.Version, "writer", index.Writer)
		return err
	}
	r.held.Store(next)
	r.counts.Adopted.Add(1)
	r.config.Log.V(1).Info("configuration in force", "version", index.Version, "previous", current.version(), "writer", index.Writer)
	return nil
}
