package sched

import "time"

const (
	// coldWeight exceeds what packing can add to the score of a server for a task without GPUs, so that such a task prefers a server that
	// isn't slow after its start, but not the weight of remote data.
	coldWeight = 1.25
	// coldDivisor divides the free processor time by which a server that is slow after its start is ordered in advisor calls. It is mostly
	// empty, and would otherwise come first.
	coldDivisor = 2
)

// noteCold handles for how much longer the server is slow after its start, by its registration.
func (v *server) noteCold(now time.Time, left time.Duration) {
	switch {
	case left > 0:
		v.coldUntil = now.Add(left)
	case v.cold(now):
		v.coldUntil = now
	}
}

// cold reports whether the server is slow after its start.
func (v *server) cold(now time.Time) bool { return now.Before(v.coldUntil) }

// slowStart reports whether a run began while its server was slow after its start, so that its duration tells nothing about the task and
// about the server later on.
func (p *run) slowStart() bool { return p.server.cold(p.startedAt) }
