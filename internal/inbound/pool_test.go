package inbound

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// Guards against large messages that together take more than the pool has, ordinary ones that need it, and memory that isn't given back.
func TestPoolBoundsLargeMessages(t *testing.T) {
	const size = 1 << 20
	p := NewPool(4 << 20)
	read := func(n int) (*PooledReader, error) {
		r := p.Reader(bytes.NewReader(make([]byte, n)))
		_, err := io.Copy(io.Discard, r)
		return r, err
	}
	first, err := read(size)
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(size)
	if !errors.Is(err, ErrFull) {
		t.Errorf("second message: %v", err)
	}
	if _, err := read(PooledFree); err != nil {
		t.Errorf("ordinary message: %v", err)
	}
	second.Release()
	if _, ok := p.Take(2 * size); ok {
		t.Error("memory of the first message was taken")
	}
	first.Release()
	first.Release()
	if taken, ok := p.Take(2 * size); !ok || taken != p.room.Load()+4<<20 {
		t.Errorf("took %d of what was given back, %t", taken, ok)
	}
	var none *Pool
	if _, err := io.Copy(io.Discard, none.Reader(bytes.NewReader(make([]byte, size)))); err != nil {
		t.Errorf("without a pool: %v", err)
	}
}
