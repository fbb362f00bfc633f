package blame

import "container/list"

// lru is a bounded map that evicts its least recently used entry.
type lru[K comparable, V any] struct {
	capacity int
	order    list.List // of entry[K, V], most recently used first
	entries  map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](bound int) *lru[K, V] {
	return &lru[K, V]{capacity: bound, entries: map[K]*list.Element{}}
}

func (r *lru[K, V]) len() int { return len(r.entries) }

// get returns the value of key and marks the entry as most recently used.
func (r *lru[K, V]) get(key K) (V, bool) {
	e, ok := r.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	r.order.MoveToFront(e)
	return e.Value.(entry[K, V]).value, true
}

// peek returns the value of key without marking the entry as used.
func (r *lru[K, V]) peek(key K) (V, bool) {
	e, ok := r.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	return e.Value.(entry[K, V]).value, true
}

// put adds a key that is not in the map. If the map is full it evicts an entry and returns its value.
func (r *lru[K, V]) put(key K, value V) (evictedValue V, evicted bool) {
	r.entries[key] = r.order.PushFront(entry[K, V]{key, value})
	if len(r.entries) <= r.capacity {
		return evictedValue, false
	}
	last := r.order.Remove(r.order.Back()).(entry[K, V])
	delete(r.entries, last.key)
	return last.value, true
}

func (r *lru[K, V]) each(visit func(K, V)) {
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(entry[K, V])
		visit(p.key, p.value)
	}
}
