package inbound

import (
	"io"
	"sync/atomic"
)

// PooledFree is the size of a message from which it takes memory from a Pool; ordinary messages are smaller.
const PooledFree = 64 << 10

// Pool bounds the memory of large messages that arrive at the same time. A nil pool has no bound.
type Pool struct{ room atomic.Int64 }

// NewPool returns a pool of the given size.
func NewPool(bytes int64) *Pool {
	p := &Pool{}
	p.room.Store(bytes)
	return p
}

// Take takes memory for a message of the given size and returns what it took. It returns false if there is too little.
func (p *Pool) Take(size int) (taken int64, ok bool) {
	n := int64(size) * bodyFactor
	if p == nil || size <= PooledFree {
		return 0, true
	}
	if p.room.Add(-n) < 0 {
		p.room.Add(n)
		return 0, false
	}
	return n, true
}

// Give gives memory back.
func (p *Pool) Give(taken int64) {
	if p != nil {
		p.room.Add(taken)
	}
}

// Reader returns a reader that takes memory for what arrives beyond PooledFree.
func (p *Pool) Reader(r io.Reader) *PooledReader { return &PooledReader{reader: r, pool: p} }

// PooledReader reads a message.
type PooledReader struct {
	reader io.Reader
	pool   *Pool
	size   int
	taken  int64
}

// Read implements io.Reader. It returns ErrFull if the pool is used up.
func (r *PooledReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.size += n
	if due := int64(r.size)*bodyFactor - r.taken; r.pool != nil && r.size > PooledFree && due > 0 {
		due = max(due, PooledFree)
		if r.pool.room.Add(-due) < 0 {
			r.pool.room.Add(due)
			return 0, ErrFull
		}
		r.taken += due
	}
	return n, err
}

// Release gives the memory back, when the message isn't needed any more.
func (r *PooledReader) Release() {
	r.pool.Give(r.taken)
	r.taken = 0
}
