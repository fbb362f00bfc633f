// Package cell builds the daemon of an installation whose platform stores all durable state: the gateway for callers, the
// coordinator and the connections to peers.
package cell

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Settings describe a daemon, its host and the limits of its installation.
type Settings struct {
	Member          ident.MemberID
	DataCentre      ident.DataCentre
	Region          ident.Region
	PeerAddress     string  // address for peers, over plain TCP
	OperatorAddress string  // address for metrics and the state dump
	Cores           float64 // processor time that the daemon may use
	LinkMbps        float64 // bandwidth of the host's link, megabits per second
	MemoryBytes     int64
	MaxDescriptors  int // open descriptors of the process; 0 if the installation names no limit
	Inbound         Inbound
	Bounds          Bounds
	// MaxDirectServers is the number of servers up to which a leader makes all calls to them itself.
	MaxDirectServers int
	// PastUseHalfLife is the time in which the past use of a team decays by half; 0 means that past use doesn't count.
	PastUseHalfLife time.Duration
	// MaxPreemptionLoss is the longest work that a run may lose for runs to be stopped to make room for urgent steps; 0 means never.
	MaxPreemptionLoss time.Duration
	// Admission rejects jobs beyond their team's weight that would be served too late.
	Admission bool
}

// Bounds are the limits that an installation sets; periods are derived from them.
type Bounds struct {
	GracePeriod        time.Duration // from SIGTERM to SIGKILL
	FailClosed         bool          // keys that can't be confirmed are refused
	MaxRevocationDelay time.Duration // a withdrawn key stops working within this time
	MaxRunLease        time.Duration // longest lease that a backend server accepts
	MaxStopTime        time.Duration // a run stops within this time
	MaxEarlyStart      time.Duration // a scheduled occurrence may start this much early
	Retention          time.Duration // the state of an ended job can be read for this time
	MinStoreLease      time.Duration // shortest lease that the store grants
	Checkpoints        *Checkpoints  // nil if the installation doesn't tell
}

// Checkpoints tells what a run loses that is stopped.
type Checkpoints struct {
	Interval    time.Duration // between the checkpoints of a run
	RestoreTime time.Duration // until a task goes on from one
}

// Periods are the periods and timeouts that a daemon derives from Bounds. The state dump encodes them.
type Periods struct {
	Freshness       time.Duration // maximum age of a configuration that confirms keys
	PresenceTTL     time.Duration `json:"Presence"` // time to live of the lease of a daemon's presence record
	RunLease        time.Duration // time for which a backend server keeps its runs without hearing from the leader
	Drain           time.Duration // time after SIGTERM in which new connections still arrive
	ShutdownTimeout time.Duration `json:"StopWithin"` // time for the last responses of a shutdown
}

const (
	// freshnessFraction of MaxRevocationDelay is the freshness limit; the rest is for the request itself.
	freshnessFraction = 0.85
	// presenceTTL is short, because there is no leader until the presence record of a dead one expires. Its lease is renewed
	// four times in this period by calls that may overlap, so that a slow store or two lost renewals don't end it.
	presenceTTL = 1250 * time.Millisecond
	// runLease outlasts the replacement of a dead leader: the rest of its presence lease, the takeover delays of the
	// candidates and the loading of the state. A longer lease would delay the restart of the tasks of a lost server.
	runLease = 4 * time.Second
	// runLeaseFraction of MaxRunLease limits the run lease where servers accept only shorter ones.
	runLeaseFraction = 0.9
	// readinessDetection is how long the platform takes to notice that a daemon isn't ready: two checks a second apart.
	readinessDetection = 2500 * time.Millisecond
	// drainFraction and shutdownFraction are the parts of the grace period for draining and for the last responses.
	drainFraction    = 0.55
	shutdownFraction = 0.3
	// retentionFactor keeps ended jobs longer than the promised retention.
	retentionFactor = 1.25
	// leaderOverlap is how long a leader may continue after another daemon has taken over, see isolationTimeout in internal/coordinator.
	leaderOverlap = 2 * time.Second
	// pollWait is how long a backend server may delay its reply to a poll until a run ends. It is also the delay until an
	// unresponsive server is noticed.
	pollWait = time.Second
	// coreDelay and bandwidthDelay make up the election delay, which is longer on weak hosts. A leader of 350 servers uses
	// up to 0.35 cores and 15 Mbit/s. The distance to the store adds at most 100 ms to the takeover delay, so a weak host
	// leads only if there is no other candidate.
	coreDelay        = 40 * time.Millisecond // for one core; half a core has twice this delay
	bandwidthDelay   = 2 * time.Second       // for 1 Mbit/s
	maxElectionDelay = 600 * time.Millisecond
)

// ElectionDelay returns how long the daemon waits before it tries to take over a vacant leadership; weak hosts wait longer.
func (s Settings) ElectionDelay() time.Duration {
	delay := float64(coreDelay) / s.Cores
	if s.LinkMbps > 0 {
		delay += float64(bandwidthDelay) / s.LinkMbps
	}
	return min(convert.Duration(delay), maxElectionDelay)
}

// Derive computes the periods from the bounds.
func (b Bounds) Derive() Periods {
	return Periods{
		Freshness:       convert.Scale(b.MaxRevocationDelay, freshnessFraction),
		PresenceTTL:     max(presenceTTL, b.MinStoreLease),
		RunLease:        min(runLease, convert.Scale(b.MaxRunLease, runLeaseFraction)),
		Drain:           min(readinessDetection, convert.Scale(b.GracePeriod, drainFraction)),
		ShutdownTimeout: convert.Scale(b.GracePeriod, shutdownFraction),
	}
}

// SchedulingOptions returns the options of the scheduling core. Runs are stopped to make room only where that loses little: where
// the work since a checkpoint and the longest stop are together at most MaxPreemptionLoss.
func (s Settings) SchedulingOptions() sched.Options {
	o, c := s.Bounds.SchedulingOptions(), s.Bounds.Checkpoints
	o.PastUseHalfLife, o.Admission = s.PastUseHalfLife, s.Admission
	if c != nil && c.Interval+s.Bounds.MaxStopTime <= s.MaxPreemptionLoss {
		o.Preemption = &sched.PreemptionOptions{CheckpointInterval: c.Interval, RestoreTime: c.RestoreTime}
	}
	return o
}

// SchedulingOptions returns the options of the scheduling core that don't depend on the daemon's settings.
func (b Bounds) SchedulingOptions() sched.Options {
	p := b.Derive()
	return sched.Options{
		RunLease: p.RunLease, MaxFormerLease: p.RunLease, MaxRunLease: b.MaxRunLease,
		LeaderOverlap: leaderOverlap, PollWait: min(pollWait, p.RunLease/3),
		MaxStopTime: b.MaxStopTime, EarlyStart: b.MaxEarlyStart / 2,
		Retention: convert.Scale(b.Retention, retentionFactor),
	}
}
