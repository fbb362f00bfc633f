package blame

import "container/list"

// recent is a bounded map that drops its least recently used entry.
type recent[K comparable, V any] struct {
	bound   int
	order   list.List // of pair[K, V], most recently used first
	entries map[K]*list.Element
}

type pair[K comparable, V any] struct {
	key   K
	value V
}

func newRecent[K comparable, V any](bound int) *recent[K, V] {
	return &recent[K, V]{bound: bound, entries: map[K]*list.Element{}}
}

func (r *recent[K, V]) len() int { return len(r.entries) }

// get returns the value and marks it as used.
func (r *recent[K, V]) get(key K) (V, bool) {
	e, ok := r.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	r.order.MoveToFront(e)
	return e.Value.(pair[K, V]).value, true
}

// peek returns the value and leaves the order as it is.
func (r *recent[K, V]) peek(key K) (V, bool) {
	e, ok := r.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	return e.Value.(pair[K, V]).value, true
}

// put adds a new key and returns the value that was dropped for it, if any.
func (r *recent[K, V]) put(key K, value V) (dropped V, full bool) {
	r.entries[key] = r.order.PushFront(pair[K, V]{key, value})
	if len(r.entries) <= r.bound {
		return dropped, false
	}
	last := r.order.Remove(r.order.Back()).(pair[K, V])
	delete(r.entries, last.key)
	return last.value, true
}

func (r *recent[K, V]) each(visit func(K, V)) {
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(pair[K, V])
		visit(p.key, p.value)
	}
}
