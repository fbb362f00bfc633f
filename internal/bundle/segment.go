package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Prefixes of segment names, each followed by the id of the team or queue.
const (
	teamPrefix    = "team/"
	keysPrefix    = "keys/"
	queuePrefix   = "queue/"
	retiredPrefix = "retired/"
)

// ErrInvalidSegment reports a segment with an invalid name or content, or with content that doesn't match its hash.
var ErrInvalidSegment = errors.New("invalid segment")

// Hash returns the content hash of a segment or page: SHA-256 in unpadded URL-safe base64, 43 characters.
func Hash(value []byte) string {
	sum := sha256.Sum256(value)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Split divides a bundle into segments, keyed by name: one per team, present or retired, one per queue, and one for the
// keys of each team that has keys. Equal bundles give equal bytes, regardless of the order of teams, queues, keys and
// allowed teams.
func Split(b Bundle) map[string][]byte {
	segments := make(map[string][]byte, 2*len(b.Teams)+len(b.Queues))
	for _, t := range b.Teams {
		if len(t.Keys) > 0 {
			keys := slices.Clone(t.Keys)
			slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
			segments[keysPrefix+string(t.ID)] = encode(keys)
		}
		t.Keys = nil
		segments[teamPrefix+string(t.ID)] = encode(t)
	}
	for _, q := range b.Queues {
		q.Teams = slices.Clone(q.Teams)
		slices.Sort(q.Teams)
		segments[queuePrefix+string(q.ID)] = encode(q)
	}
	for _, r := range b.Retired {
		segments[retiredPrefix+string(r.ID)] = encode(r)
	}
	return segments
}

// encode marshals a value that consists of strings, numbers and booleans; marshaling such a value can't fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Join rebuilds the bundle from its segments, sorted by id. It fails with ErrInvalidSegment and doesn't validate the
// bundle.
func Join(segments map[string][]byte) (Bundle, error) {
	return Update(Bundle{}, segments, nil)
}

// Update applies changed and removed segments to a bundle returned by Join or Update, and decodes only the changed ones.
// It doesn't modify the given bundle.
func Update(b Bundle, changed map[string][]byte, removed []string) (Bundle, error) {
	u := bundleByID{
		teams: make(map[ident.TeamID]Team, len(b.Teams)), keys: make(map[ident.TeamID][]Key, len(b.Teams)),
		queues: make(map[ident.QueueID]Queue, len(b.Queues)), retired: make(map[ident.TeamID]Retired, len(b.Retired)),
	}
	for _, t := range b.Teams {
		if len(t.Keys) > 0 {
			u.keys[t.ID] = t.Keys
		}
		u.teams[t.ID] = t
	}
	for _, q := range b.Queues {
		u.queues[q.ID] = q
	}
	for _, r := range b.Retired {
		u.retired[r.ID] = r
	}
	for _, name := range removed {
		_, id, _ := strings.Cut(name, "/")
		switch {
		case strings.HasPrefix(name, teamPrefix):
			delete(u.teams, ident.TeamID(id))
		case strings.HasPrefix(name, keysPrefix):
			delete(u.keys, ident.TeamID(id))
		case strings.HasPrefix(name, queuePrefix):
			delete(u.queues, ident.QueueID(id))
		case strings.HasPrefix(name, retiredPrefix):
			delete(u.retired, ident.TeamID(id))
		}
	}
	for name, value := range changed {
		if err := u.applySegment(name, value); err != nil {
			return Bundle{}, fmt.Errorf("segment %q: %w: %w", name, ErrInvalidSegment, err)
		}
	}
	return u.assemble()
}

// bundleByID holds the parts of a bundle by id while Update applies segments.
type bundleByID struct {
	teams   map[ident.TeamID]Team
	keys    map[ident.TeamID][]Key
	queues  map[ident.QueueID]Queue
	retired map[ident.TeamID]Retired
}

var errNameMismatch = errors.New("content doesn't match the segment name")

// applySegment decodes a segment and adds or replaces the part of the bundle that it names.
func (u bundleByID) applySegment(name string, value []byte) error {
	kind, id, _ := strings.Cut(name, "/")
	switch kind + "/" {
	case teamPrefix:
		var t Team
		if err := decode(value, &t); err != nil {
			return err
		}
		if string(t.ID) != id || t.Keys != nil {
			return errNameMismatch
		}
		u.teams[t.ID] = t
	case queuePrefix:
		var q Queue
		if err := decode(value, &q); err != nil {
			return err
		}
		if string(q.ID) != id {
			return errNameMismatch
		}
		u.queues[q.ID] = q
	case keysPrefix:
		var keys []Key
		if err := decode(value, &keys); err != nil {
			return err
		}
		u.keys[ident.TeamID(id)] = keys
	case retiredPrefix:
		var r Retired
		if err := decode(value, &r); err != nil {
			return err
		}
		if string(r.ID) != id {
			return errNameMismatch
		}
		u.retired[r.ID] = r
	default:
		return errors.New("unknown kind of segment")
	}
	return nil
}

// assemble returns the bundle sorted by id, or an error if a team has keys but no segment of its own.
func (u bundleByID) assemble() (Bundle, error) {
	var b Bundle
	for _, id := range slices.Sorted(maps.Keys(u.teams)) {
		t := u.teams[id]
		t.Keys = u.keys[id]
		b.Teams = append(b.Teams, t)
	}
	for id := range u.keys {
		if _, ok := u.teams[id]; !ok {
			return Bundle{}, fmt.Errorf("segment %q: %w: the team doesn't exist", keysPrefix+string(id), ErrInvalidSegment)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(u.queues)) {
		b.Queues = append(b.Queues, u.queues[id])
	}
	for _, id := range slices.Sorted(maps.Keys(u.retired)) {
		b.Retired = append(b.Retired, u.retired[id])
	}
	return b, nil
}

// decode refuses unknown fields and trailing data. Its errors don't quote the content, which may hold key hashes.
func decode(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return fmt.Errorf("field %s has the wrong type", typeErr.Field)
		}
		return errors.New("invalid JSON or an unknown field")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
