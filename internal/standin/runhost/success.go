package runhost

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// success is a successful run of a task. The coordinator has taken note of it once it is acknowledged, unless the host's lease
// expired in between.
type success struct {
	host           *host
	finishedNumber uint64
	acknowledged   bool
	// excused is set if the host's lease expired before the acknowledgement. It stays set when the lease is granted again.
	excused bool
}

// update excuses the success if its host's lease has expired. It is called before the lease changes.
func (s *success) update(now time.Time) {
	s.excused = s.excused || !s.acknowledged && now.After(s.host.leaseEnd)
}

// forbidsStart reports whether another start of the task is a violation. A success that isn't acknowledged yet counts as long
// as its host's lease has been in force without a break, although it may still be lost by a crash.
func (s *success) forbidsStart(now time.Time) bool {
	s.update(now)
	return !s.excused
}

// excuseExpired excuses the successes of a host whose lease has expired before they were acknowledged.
func (f *Fleet) excuseExpired(h *host, now time.Time) {
	if !now.After(h.leaseEnd) {
		return
	}
	for _, x := range h.finished {
		for _, s := range f.successes[x.Task] {
			if s.host == h {
				s.update(now)
			}
		}
	}
}

// acknowledge drops finished runs up to a number.
func (f *Fleet) acknowledge(h *host, upTo uint64, now time.Time) {
	f.excuseExpired(h, now)
	kept := h.finished[:0:0]
	for _, x := range h.finished {
		if x.Number > upTo {
			kept = append(kept, x)
			continue
		}
		for _, s := range f.successes[x.Task] {
			s.acknowledged = s.acknowledged || s.host == h && s.finishedNumber == x.Number && !s.excused
		}
	}
	h.finished = kept
}

// listedGrace is the time after which a listed end counts as acknowledged, see CountListedEnds.
const listedGrace = 100 * time.Millisecond

// CountListedEnds makes an end count as acknowledged listedGrace after a reply to a poll has listed it, whether the reply is
// read or not. The platform counts so while nothing but the coordinator itself delays its calls.
func (f *Fleet) CountListedEnds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countListed = true
}

// markListed handles a reply that lists finished runs of a host.
func (f *Fleet) markListed(h *host, listed []sched.FinishedRun, now time.Time) {
	f.excuseExpired(h, now)
	if !f.countListed || now.Add(listedGrace).After(h.leaseEnd) {
		return
	}
	for _, x := range listed {
		for _, s := range f.successes[x.Task] {
			s.acknowledged = s.acknowledged || s.host == h && s.finishedNumber == x.Number && !s.excused
		}
	}
}

// forgetUnacknowledged drops the successes of a host that crashes: their only reports are lost.
func (f *Fleet) forgetUnacknowledged(h *host) {
	for task, all := range f.successes {
		kept := all[:0:0]
		for _, s := range all {
			if s.host != h || s.acknowledged {
				kept = append(kept, s)
			}
		}
		f.successes[task] = kept
	}
}

// Unacknowledged returns the number of a host's finished runs that aren't acknowledged.
func (f *Fleet) Unacknowledged(id sched.ServerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.hosts[id].finished)
}
