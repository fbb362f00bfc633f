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

// Prefixes of segment names; the rest is the id of the team or queue.
const (
	teamPrefix  = "team/"
	keysPrefix  = "keys/"
	queuePrefix = "queue/"
)

// ErrSegment reports a segment whose name, content or hash is wrong.
var ErrSegment = errors.New("wrong segment")

// Hash returns the content hash of a segment or page: SHA-256 in unpadded base64 for URLs, 43 characters.
func Hash(value []byte) string {
	sum := sha256.Sum256(value)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// Split cuts a bundle into segments by name: one per team, one per queue and one for the keys of each team that has
// keys. Equal content gives equal bytes, whatever the order of teams, queues, keys and allowed teams.
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
	return segments
}

// encode marshals a value that consists of strings, numbers and booleans, which can't fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Join puts segments together again, sorted by id. It fails with ErrSegment; the bundle isn't validated.
func Join(segments map[string][]byte) (Bundle, error) {
	var b Bundle
	keys := make(map[ident.TeamID][]Key)
	for _, name := range slices.Sorted(maps.Keys(segments)) {
		var err error
		kind, id, _ := strings.Cut(name, "/")
		switch kind + "/" {
		case teamPrefix:
			var t Team
			if err = decode(segments[name], &t); err == nil && (string(t.ID) != id || t.Keys != nil) {
				err = errors.New("content doesn't belong to the name")
			}
			b.Teams = append(b.Teams, t)
		case queuePrefix:
			var q Queue
			if err = decode(segments[name], &q); err == nil && string(q.ID) != id {
				err = errors.New("content doesn't belong to the name")
			}
			b.Queues = append(b.Queues, q)
		case keysPrefix:
			var held []Key
			err = decode(segments[name], &held)
			keys[ident.TeamID(id)] = held
		default:
			err = errors.New("unknown kind")
		}
		if err != nil {
			return Bundle{}, fmt.Errorf("segment %q: %w: %w", name, ErrSegment, err)
		}
	}
	for i, t := range b.Teams {
		b.Teams[i].Keys = keys[t.ID]
		delete(keys, t.ID)
	}
	for team := range keys {
		return Bundle{}, fmt.Errorf("segment %q: %w: no such team", keysPrefix+string(team), ErrSegment)
	}
	return b, nil
}

// decode refuses unknown fields and trailing data. Its errors repeat no content, which may hold key hashes.
func decode(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return fmt.Errorf("field %s has the wrong type", wrong.Field)
		}
		return errors.New("not valid JSON or an unknown field")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data")
	}
	return nil
}
