// Package cell wires the daemon of an installation whose platform keeps everything that must last: the entry for callers,
// the coordinator and the connections to peers.
package cell

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Settings are the settings of a daemon.
type Settings struct {
	Member          ident.MemberID
	DataCentre      ident.DataCentre
	Region          ident.Region
	PeerAddress     string  // where peers reach this daemon, over plain TCP
	OperatorAddress string  // where metrics and the state are served
	Cores           float64 // processor time that the daemon may use
	LinkMbps        float64 // bandwidth of the host's link, megabits per second
	MemoryBytes     int64
	Bounds          Bounds
}

// Bounds are the figures of an installation from which periods are derived.
type Bounds struct {
	GracePeriod        time.Duration // from SIGTERM to SIGKILL
	FailClosed         bool          // keys that can't be confirmed are refused
	MaxRevocationDelay time.Duration // a withdrawn key stops working within it
	MaxRunLease        time.Duration // longest lease that a backend server grants
	MaxStopTime        time.Duration // a run stops within it
	MaxEarlyStart      time.Duration // a scheduled occurrence may start this much before its time
	Retention          time.Duration // the state of an ended job can be read for it
	MinStoreLease      time.Duration // shortest lease that the store grants
}

// Periods are the derived times of a daemon.
type Periods struct {
	Freshness       time.Duration // age of the configuration beyond which keys aren't confirmed
	PresenceLease   time.Duration `json:"Presence"` // time to live of a daemon's presence
	RunLease        time.Duration // time for which a server goes on without its owner
	Drain           time.Duration // time after SIGTERM in which new connections still arrive
	ShutdownTimeout time.Duration `json:"StopWithin"` // time for the last answers
}

const (
	// freshnessFraction of the revocation bound leaves time for the request itself.
	freshnessFraction = 0.85
	// presenceLease is short, since the fleet has no leader until the presence of a dead one lapses. Renewals are sent four
	// times as often and overlap, so that a slow store or two lost ones don't end it.
	presenceLease = 1250 * time.Millisecond
	// runLease outlasts the replacement of a dead leader: its presence, the candidates' delays and the load. A longer one
	// would delay the restart of what a lost server ran.
	runLease = 4 * time.Second
	// runLeaseFraction bounds the run lease where servers grant shorter ones.
	runLeaseFraction = 0.9
	// readinessDetection is how long the platform takes to notice that a daemon isn't ready: two checks a second apart.
	readinessDetection = 2500 * time.Millisecond
	// drainFraction and stopShare divide the grace time.
	drainFraction    = 0.55
	shutdownFraction = 0.3
	// retentionFactor keeps ended jobs longer than promised.
	retentionFactor = 1.25
	// ownerOverlap is how long a leader that reaches neither store nor peers goes on.
	ownerOverlap = 2 * time.Second
	// pollWait is how long a server may wait for an end before it answers, and with it the delay until a silent server
	// is noticed.
	pollWait = time.Second
	// coreDelay and linkHandicap delay the candidacies of weak hosts. A leader of 350 servers takes up to 0.35 cores and
	// 15 Mbit/s; the store's distance adds at most 100 ms, so weak hosts lead only when there is no other.
	coreDelay         = 40 * time.Millisecond // for one core; half a core has twice of it
	bandwidthDelay    = 2 * time.Second       // for 1 Mbit/s
	maxCandidacyDelay = 600 * time.Millisecond
)

// CandidacyDelay returns the delay of the daemon's candidacies for the leadership.
func (s Settings) CandidacyDelay() time.Duration {
	delay := float64(coreDelay) / s.Cores
	if s.LinkMbps > 0 {
		delay += float64(bandwidthDelay) / s.LinkMbps
	}
	return min(time.Duration(delay), maxCandidacyDelay)
}

// Derive computes the periods from the bounds.
func (b Bounds) Derive() Periods {
	scale := func(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
	return Periods{
		Freshness:       scale(b.MaxRevocationDelay, freshnessFraction),
		PresenceLease:   max(presenceLease, b.MinStoreLease),
		RunLease:        min(runLease, scale(b.MaxRunLease, runLeaseFraction)),
		Drain:           min(readinessDetection, scale(b.GracePeriod, drainFraction)),
		ShutdownTimeout: scale(b.GracePeriod, shutdownFraction),
	}
}

// SchedulingOptions returns the options of the scheduling core.
func (b Bounds) SchedulingOptions() sched.Options {
	p := b.Derive()
	return sched.Options{
		Lease: p.RunLease, MaxLease: p.RunLease, LongestLease: b.MaxRunLease, OwnerOverlap: ownerOverlap, LookWait: min(pollWait, p.RunLease/3),
		StopTime: b.MaxStopTime, EarlyStart: b.MaxEarlyStart / 2,
		Retention: time.Duration(float64(b.Retention) * retentionFactor),
	}
}
