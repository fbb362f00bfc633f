package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// PageCount is the number of pages into which the list of segments is divided, so that a change rewrites one small page
// instead of the whole list. 110 teams have about 260 segments, which is about 16 per page.
const PageCount = 16

// Bounds of encoded indexes.
const (
	MaxRootBytes = 64 << 10
	MaxSignOffs  = 64
	// RecentNonces is the number of earlier publishes whose nonces the index lists. A publisher that lost the reply to its
	// write finds its nonce there, even after others have published later versions.
	RecentNonces = 8
)

// ErrInvalidIndex reports an index that can't be decoded or doesn't match its segments.
var ErrInvalidIndex = errors.New("invalid index")

// Root is the part of an index that the store replaces by compare-and-swap. It refers to the pages by content hash.
type Root struct {
	Version     ident.Version     `json:"version"`
	Previous    ident.Version     `json:"previous"`
	Writer      ident.MemberID    `json:"writer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
	Published   time.Time         `json:"published"` // wall clock of the writer, shown to operators only
	Recent      []string          `json:"recent"`    // nonces of the publishes before this one, newest first
	Pages       []string          `json:"pages"`
	SignOffs    []SignOff         `json:"sign-offs"`
}

// Entry is the name of a segment and the hash of its content.
type Entry struct {
	Name string `json:"n"`
	Hash string `json:"h"`
}

// Index is a root with the complete list of segments, sorted by name.
type Index struct {
	Root
	Entries []Entry
}

// NewIndex builds an index of the segments. The publisher fills in writer, incarnation, nonce, time and sign-offs.
func NewIndex(version, previous ident.Version, segments map[string][]byte) Index {
	entries := make([]Entry, 0, len(segments))
	for name, value := range segments {
		entries = append(entries, Entry{Name: name, Hash: Hash(value)})
	}
	x := Index{Root: Root{Version: version, Previous: previous}, Entries: sortEntries(entries)}
	for _, page := range x.pages() {
		x.Root.Pages = append(x.Root.Pages, Hash(page))
	}
	return x
}

func sortEntries(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// pages encodes the list of segments into PageCount pages.
func (x Index) pages() [PageCount][]byte {
	var lists [PageCount][]Entry
	for _, e := range x.Entries {
		n := pageOf(e.Name)
		lists[n] = append(lists[n], e)
	}
	var pages [PageCount][]byte
	for i, list := range lists {
		pages[i] = encode(list)
	}
	return pages
}

// pageOf returns the page of a segment. It hashes the name, so that all pages grow evenly with the number of teams.
func pageOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % PageCount
}

// PagesByHash returns the encoded pages, keyed by content hash.
func (x Index) PagesByHash() map[string][]byte {
	pages := make(map[string][]byte, PageCount)
	for _, page := range x.pages() {
		pages[Hash(page)] = page
	}
	return pages
}

// DecodePage verifies the hash of a page and returns its entries.
func DecodePage(hash string, data []byte) ([]Entry, error) {
	if Hash(data) != hash {
		return nil, fmt.Errorf("page %s: %w: content doesn't match the hash", hash, ErrInvalidIndex)
	}
	var entries []Entry
	if err := decode(data, &entries); err != nil {
		return nil, fmt.Errorf("page %s: %w: %w", hash, ErrInvalidIndex, err)
	}
	return entries, nil
}

// Encode returns the canonical encoding of the root with its sign-offs in signer order.
func (r Root) Encode() []byte {
	r.SignOffs = slices.Clone(r.SignOffs)
	slices.SortFunc(r.SignOffs, func(a, b SignOff) int {
		return cmp.Or(strings.Compare(a.Signer, b.Signer), bytes.Compare(a.Signature, b.Signature))
	})
	return encode(r)
}

// DecodeRoot decodes a root and refuses any encoding that isn't canonical.
func DecodeRoot(data []byte) (Root, error) {
	if len(data) > MaxRootBytes {
		return Root{}, fmt.Errorf("root: %w: %d bytes, at most %d allowed", ErrInvalidIndex, len(data), MaxRootBytes)
	}
	var r Root
	if err := decode(data, &r); err != nil {
		return Root{}, fmt.Errorf("root: %w: %w", ErrInvalidIndex, err)
	}
	switch {
	case r.Version == 0 || r.Previous >= r.Version:
		return Root{}, fmt.Errorf("root: %w: version %d must be above previous version %d", ErrInvalidIndex, r.Version, r.Previous)
	case len(r.Pages) != PageCount:
		return Root{}, fmt.Errorf("root: %w: %d pages, expected %d", ErrInvalidIndex, len(r.Pages), PageCount)
	case len(r.SignOffs) > MaxSignOffs || len(r.Recent) > RecentNonces:
		return Root{}, fmt.Errorf("root: %w: too many sign-offs or recent nonces", ErrInvalidIndex)
	case !bytes.Equal(r.Encode(), data):
		return Root{}, fmt.Errorf("root: %w: not in canonical form", ErrInvalidIndex)
	}
	return r, nil
}

// Complete returns the index of a root and its segments, or ErrInvalidIndex if the segments don't match the page hashes of
// the root.
func (r Root) Complete(entries []Entry) (Index, error) {
	x := Index{Root: r, Entries: sortEntries(slices.Clone(entries))}
	for i, page := range x.pages() {
		if i >= len(r.Pages) || Hash(page) != r.Pages[i] {
			return Index{}, fmt.Errorf("version %d, page %d: %w: segments don't match the page hash", r.Version, i, ErrInvalidIndex)
		}
	}
	for i := 1; i < len(x.Entries); i++ {
		if x.Entries[i].Name == x.Entries[i-1].Name {
			return Index{}, fmt.Errorf("version %d: %w: segment %q is listed twice", r.Version, ErrInvalidIndex, x.Entries[i].Name)
		}
	}
	return x, nil
}

// Lookup returns the content hash of a segment.
func (x Index) Lookup(name string) (string, bool) {
	i, ok := slices.BinarySearchFunc(x.Entries, name, func(e Entry, name string) int { return strings.Compare(e.Name, name) })
	if !ok {
		return "", false
	}
	return x.Entries[i].Hash, true
}

// Page returns the entries of one page, in name order.
func (x Index) Page(n int) []Entry {
	var entries []Entry
	for _, e := range x.Entries {
		if pageOf(e.Name) == n {
			entries = append(entries, e)
		}
	}
	return entries
}
