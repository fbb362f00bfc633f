package soak

import (
	"context"
	"errors"
	"strings"
	"time"

	store "github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// translatingStore is the store as daemons see it that reach peers and servers through proxies of their own: what they read has the
// addresses of the proxies instead of the real ones, and what they write is stored with the real ones, as a network that translates
// addresses would need it.
type translatingStore struct {
	*txstore.Store
	toProxies, toReal *strings.Replacer
}

// newTranslatingStore returns the view of a store with the addresses of the proxies by real address.
func newTranslatingStore(s *txstore.Store, proxies map[string]string) *translatingStore {
	var toProxies, toReal []string
	for own, proxied := range proxies {
		own, proxied = `"`+own+`"`, `"`+proxied+`"`
		toProxies, toReal = append(toProxies, own, proxied), append(toReal, proxied, own)
	}
	return &translatingStore{s, strings.NewReplacer(toProxies...), strings.NewReplacer(toReal...)}
}

func (s *translatingStore) translate(it *store.Item) {
	it.Value = []byte(s.toProxies.Replace(string(it.Value)))
}

// Get returns an item with the addresses of the proxies.
func (s *translatingStore) Get(ctx context.Context, key string) (store.Item, error) {
	it, err := s.Store.Get(ctx, key)
	s.translate(&it)
	return it, err
}

// Range returns items with the addresses of the proxies.
func (s *translatingStore) Range(ctx context.Context, prefix, after string) (store.Page, error) {
	p, err := s.Store.Range(ctx, prefix, after)
	for i := range p.Items {
		s.translate(&p.Items[i])
	}
	return p, err
}

// Watch returns changes with the addresses of the proxies.
func (s *translatingStore) Watch(
	ctx context.Context, prefix string, after store.Revision, wait time.Duration,
) ([]store.Event, store.Revision, error) {
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	for i := range events {
		s.translate(&events[i].Item)
	}
	return events, at, err
}

// Transact writes values with the real addresses.
func (s *translatingStore) Transact(ctx context.Context, t store.Transaction) (store.Revision, error) {
	for i := range t.Writes {
		t.Writes[i].Value = []byte(s.toReal.Replace(string(t.Writes[i].Value)))
	}
	at, err := s.Store.Transact(ctx, t)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		for i := range conflict.Items {
			s.translate(&conflict.Items[i])
		}
	}
	return at, err
}
