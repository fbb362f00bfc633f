package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// pagedStore has three pages of two items under each prefix. The second page fails twice.
type pagedStore struct {
	platform.TransactionalStore
	reads []string // "after" of each call
}

func (s *pagedStore) Range(_ context.Context, prefix, after string) (platform.Page, error) {
	s.reads = append(s.reads, after)
	first := 0
	for first < 6 && prefix+fmt.Sprint(first) <= after {
		first++
	}
	if first == 2 && len(s.reads) <= 3 {
		return platform.Page{}, errors.New("unavailable")
	}
	p := platform.Page{Revision: platform.Revision(10 + len(s.reads)), HasMore: first < 4}
	for i := range 2 {
		p.Items = append(p.Items, platform.Item{Key: prefix + fmt.Sprint(first+i)})
	}
	return p, nil
}

// Guards against a takeover that doesn't end while some calls fail: each failed page made it read all pages before it again,
// which also used up the rate of reads.
func TestLoadReadsEachPageOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, lines := newLoggedTerm(t)
		store := &pagedStore{}
		m.config.Store = store
		items, revision, err := m.readAll(t.Context(), "job/")
		var keys []string
		for _, item := range items {
			keys = append(keys, item.Key)
		}
		if err != nil || revision != 11 || !slices.Equal(keys, []string{"job/0", "job/1", "job/2", "job/3", "job/4", "job/5"}) {
			t.Errorf("read %q at revision %d, %v", keys, revision, err)
		}
		if want := []string{"", "job/1", "job/1", "job/1", "job/3"}; !slices.Equal(store.reads, want) {
			t.Errorf("read the pages after %q, want %q", store.reads, want)
		}
		if n := lines.count("load failed, retrying"); n != 2 {
			t.Errorf("%d lines on failed reads, want 2", n)
		}
	})
}
