package cell

import (
	"math"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
)

// TestDerivedPeriodsKeepTheirMargins guards against periods that fit only one installation: each must keep its margin
// over the plausible range of bounds.
func TestDerivedPeriodsKeepTheirMargins(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for name, b := range map[string]Bounds{
		"bensalem": {
			GracePeriod: second(6), MaxRevocationDelay: second(5), MaxRunLease: second(10),
			MaxStopTime: second(0.2), MinStoreLease: second(1),
		},
		"grown": {
			GracePeriod: second(6), MaxRevocationDelay: second(5), MaxRunLease: second(6),
			MaxStopTime: second(0.4), MinStoreLease: second(1),
		},
		"short leases": {
			GracePeriod: second(4), MaxRevocationDelay: second(3), MaxRunLease: second(3.5),
			MaxStopTime: second(0.9), MinStoreLease: second(0.5),
		},
		"long intervals": {
			GracePeriod: second(30), MaxRevocationDelay: second(30), MaxRunLease: second(60),
			MaxStopTime: second(2), MinStoreLease: second(5),
		},
	} {
		t.Run(name, func(t *testing.T) {
			b.Retention = time.Minute
			p, o := b.Derive(), b.SchedulingOptions()
			for what, ok := range map[string]bool{
				"a confirmed key isn't used beyond the revocation bound": p.Freshness < b.MaxRevocationDelay,
				"the store grants the presence lease":                    p.PresenceTTL >= b.MinStoreLease,
				"servers accept the run lease":                           p.RunLease <= b.MaxRunLease,
				"a delayed poll reply leaves time to renew the lease":    2*o.PollWait < p.RunLease,
				"the last responses are sent within the grace period":    p.Drain+p.ShutdownTimeout < b.GracePeriod,
				"the state is kept for longer than promised":             o.Retention > b.Retention,
				"the wait for a former leader's runs covers their lease": o.MaxFormerLease >= p.RunLease,
			} {
				if !ok {
					t.Errorf("violated: %s (%+v)", what, p)
				}
			}
		})
	}
}

// TestElectionDelay guards against weak hosts that lead instead of strong ones because they are nearer to the store.
func TestElectionDelay(t *testing.T) {
	const farther = 100 * time.Millisecond // the store in another region adds 5 times 20 ms to the takeover delay
	strong := Settings{Cores: 0.8, LinkMbps: 200}.ElectionDelay()
	for name, weak := range map[string]Settings{
		"a fifth of a core": {Cores: 0.192, LinkMbps: 200},
		"10 Mbit/s":         {Cores: 0.8, LinkMbps: 10},
	} {
		t.Run(name, func(t *testing.T) {
			if h := weak.ElectionDelay(); h < strong+farther {
				t.Errorf("election delay %s of the weak host isn't longer by 100 ms than %s of the strong host", h, strong)
			}
		})
	}
}

// Guards against an election delay that depends on the processor, because no duration can hold it: that of a host with hardly any
// processor time was negative on x86-64, so that the host led instead of strong ones.
func TestElectionDelayTooLarge(t *testing.T) {
	for name, c := range map[string]struct {
		settings Settings
		want     time.Duration
	}{
		"usual":                  {settings: Settings{Cores: 1, LinkMbps: 200}, want: 50 * time.Millisecond},
		"zero divisor":           {settings: Settings{LinkMbps: 200}, want: maxElectionDelay},
		"hardly any cores":       {settings: Settings{Cores: 1e-300, LinkMbps: 200}, want: maxElectionDelay},
		"hardly any bandwidth":   {settings: Settings{Cores: 1, LinkMbps: 1e-300}, want: maxElectionDelay},
		"infinite delay":         {settings: Settings{Cores: math.SmallestNonzeroFloat64, LinkMbps: 200}, want: maxElectionDelay},
		"infinite cores":         {settings: Settings{Cores: math.Inf(1), LinkMbps: 200}, want: 10 * time.Millisecond},
		"no limit of the link":   {settings: Settings{Cores: 1}, want: coreDelay},
		"negative limit of link": {settings: Settings{Cores: 1, LinkMbps: -1}, want: coreDelay},
	} {
		t.Run(name, func(t *testing.T) {
			if d := c.settings.ElectionDelay(); d != c.want {
				t.Errorf("got %s, want %s", d, c.want)
			}
		})
	}
}

// Guards against periods that depend on the processor, because no duration can hold the product of a bound and its factor.
func TestPeriodsOfLongBounds(t *testing.T) {
	b := Bounds{
		GracePeriod: math.MaxInt64, MaxRevocationDelay: math.MaxInt64, MaxRunLease: math.MaxInt64, Retention: math.MaxInt64,
	}
	p, o := b.Derive(), b.SchedulingOptions()
	for name, c := range map[string]struct{ got, want time.Duration }{
		"freshness":        {p.Freshness, convert.MaxDuration},
		"run lease":        {p.RunLease, runLease},
		"drain":            {p.Drain, readinessDetection},
		"shutdown timeout": {p.ShutdownTimeout, convert.MaxDuration},
		"retention":        {o.Retention, convert.MaxDuration},
	} {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %s, want %s", c.got, c.want)
			}
		})
	}
}

// Guards against stops where a run loses much, or where the operator has turned them off.
func TestPreemptionNeedsCheapStops(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		checkpoints *Checkpoints
		atMost      time.Duration
		on          bool
	}{
		"a checkpoint each second":  {&Checkpoints{time.Second, 600 * ms}, 1250 * ms, true},
		"at the limit":              {&Checkpoints{1050 * ms, 600 * ms}, 1250 * ms, true},
		"above the limit":           {&Checkpoints{1051 * ms, 0}, 1250 * ms, false},
		"a checkpoint each 2 s":     {&Checkpoints{2 * time.Second, 100 * ms}, 1250 * ms, false},
		"the same, allowed":         {&Checkpoints{2 * time.Second, 100 * ms}, 2200 * ms, true},
		"off":                       {&Checkpoints{time.Second, 600 * ms}, 0, false},
		"off, stops that lose none": {&Checkpoints{}, 0, false},
		"unknown":                   {nil, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := Settings{Bounds: Bounds{MaxStopTime: 200 * ms, MaxRunLease: 10 * time.Second, Checkpoints: c.checkpoints}, MaxPreemptionLoss: c.atMost}
			o := s.SchedulingOptions()
			if (o.Preemption != nil) != c.on {
				t.Fatalf("got %+v, want on: %v", o.Preemption, c.on)
			}
			if c.on && (o.Preemption.CheckpointInterval != c.checkpoints.Interval || o.Preemption.RestoreTime != c.checkpoints.RestoreTime) {
				t.Errorf("got %+v, want %+v", o.Preemption, c.checkpoints)
			}
		})
	}
}

// Guards against a leader that makes no forecasts although its daemons refuse jobs by them, or that makes some with the setting off.
func TestAdmissionReachesTheScheduler(t *testing.T) {
	for _, on := range []bool{false, true} {
		if got := (Settings{Admission: on}).SchedulingOptions().Admission; got != on {
			t.Errorf("forecasts are on: %t, want %t", got, on)
		}
	}
}
