package kv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Faults are the faults that are injected into calls. The zero value injects none.
type Faults struct {
	Down            bool           `json:"down"`             // every call is refused before it takes effect
	DelayMillis     int64          `json:"delay-millis"`     // delay of every call: half before and half after its effect
	LoseReplies     int            `json:"lose-replies"`     // number of next writes whose replies are lost after the effect
	LoseProbability float64        `json:"lose-probability"` // probability with which the reply of a write is lost
	CutRegions      []ident.Region `json:"cut-regions"`      // regions whose calls are refused
}

// Check returns an error that names a field with an invalid value.
func (f Faults) Check() error {
	switch {
	case f.DelayMillis < 0:
		return fmt.Errorf("delay-millis: %d must not be negative", f.DelayMillis)
	case f.LoseReplies < 0:
		return fmt.Errorf("lose-replies: %d must not be negative", f.LoseReplies)
	case f.LoseProbability < 0 || f.LoseProbability > 1:
		return fmt.Errorf("lose-probability: %v must be between 0 and 1", f.LoseProbability)
	}
	return nil
}

// faults holds the current faults of a server.
type faults struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	changed chan struct{} // closed when the faults change
}

func (f *faults) init(seed uint64) {
	f.random = rand.New(rand.NewPCG(seed, seed))
	f.changed = make(chan struct{})
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current
	current.CutRegions = slices.Clone(current.CutRegions)
	return current
}

// SetFaults replaces all faults. Pending watches that the new faults refuse end.
func (s *Server) SetFaults(next Faults) {
	next.CutRegions = slices.Clone(next.CutRegions)
	s.updateFaults(func(f *Faults) { *f = next })
}

// SetDown sets whether every call is refused.
func (s *Server) SetDown(down bool) { s.updateFaults(func(f *Faults) { f.Down = down }) }

// SetDelay sets the delay of every call.
func (s *Server) SetDelay(d time.Duration) {
	s.updateFaults(func(f *Faults) { f.DelayMillis = d.Milliseconds() })
}

// LoseNextReplies drops the replies of the next n writes after the writes took effect.
func (s *Server) LoseNextReplies(n int) { s.updateFaults(func(f *Faults) { f.LoseReplies = n }) }

// SetReplyLoss drops the reply of every write with the probability p. Config.Seed makes the choice reproducible.
func (s *Server) SetReplyLoss(p float64) { s.updateFaults(func(f *Faults) { f.LoseProbability = p }) }

// CutOffRegions makes the store refuse calls from these regions, and accept calls from all others.
func (s *Server) CutOffRegions(regions ...ident.Region) {
	s.updateFaults(func(f *Faults) { f.CutRegions = slices.Clone(regions) })
}

// updateFaults changes the faults and wakes the pending watches.
func (s *Server) updateFaults(update func(*Faults)) {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.current)
	close(f.changed)
	f.changed = make(chan struct{})
}

// admit returns the delay of an accepted call and a channel that is closed when the faults change. It fails with
// ErrUnavailable if the call is refused.
func (f *faults) admit(region ident.Region) (time.Duration, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current.Down:
		return 0, nil, fmt.Errorf("%w: the store is down", platform.ErrUnavailable)
	case slices.Contains(f.current.CutRegions, region):
		return 0, nil, fmt.Errorf("%w: region %q is cut off", platform.ErrUnavailable, region)
	}
	return time.Duration(f.current.DelayMillis) * time.Millisecond, f.changed, nil
}

// loseReply reports whether the reply of a write is lost.
func (f *faults) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseReplies > 0 {
		f.current.LoseReplies--
		return true
	}
	return f.current.LoseProbability > 0 && f.random.Float64() < f.current.LoseProbability
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
