package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// pendingMaxAge is how long the numbers of pending jobs are kept. Callers may see numbers that are two seconds old, and hundreds of
// calls a second ask for them.
const pendingMaxAge = 300 * time.Millisecond

// pendingCounts holds the number of pending jobs of each queue at a time.
type pendingCounts struct {
	at     time.Time
	counts map[ident.QueueID]int
}

// Pending returns the number of unfinished jobs of a queue without a started task, which may be pendingMaxAge old.
func (s *Scheduler) Pending(now time.Time, q ident.QueueID) int {
	s.now = now
	if s.pending.counts == nil || now.Sub(s.pending.at) > pendingMaxAge {
		s.pending = pendingCounts{at: now, counts: map[ident.QueueID]int{}}
		for _, j := range s.jobs {
			if !j.begun && !j.state.Terminal() {
				s.pending.counts[j.spec.Queue.ID]++
			}
		}
	}
	return s.pending.counts[q]
}
