package cell

import (
	"testing"
	"time"
)

// Guards against periods that fit one installation only: each must keep its margin over the plausible range of bounds.
func TestDerivedPeriodsKeepTheirMargins(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for name, b := range map[string]Bounds{
		"bensalem":       {GracePeriod: second(6), MaxRevocationDelay: second(5), MaxRunLease: second(10), MaxStopTime: second(0.2), MinStoreLease: second(1)},
		"grown":          {GracePeriod: second(6), MaxRevocationDelay: second(5), MaxRunLease: second(6), MaxStopTime: second(0.4), MinStoreLease: second(1)},
		"short leases":   {GracePeriod: second(4), MaxRevocationDelay: second(3), MaxRunLease: second(3.5), MaxStopTime: second(0.9), MinStoreLease: second(0.5)},
		"long intervals": {GracePeriod: second(30), MaxRevocationDelay: second(30), MaxRunLease: second(60), MaxStopTime: second(2), MinStoreLease: second(5)},
	} {
		t.Run(name, func(t *testing.T) {
			b.Retention = time.Minute
			p, o := b.Derive(), b.SchedulingOptions()
			for what, ok := range map[string]bool{
				"a confirmed key isn't used beyond the revocation bound":  p.Freshness < b.MaxRevocationDelay,
				"the store grants the presence":                           p.PresenceLease >= b.MinStoreLease,
				"servers grant the run lease":                             p.RunLease <= b.MaxRunLease,
				"a look that waits renews before the lease ends":          2*o.LookWait < p.RunLease,
				"the last answers are given within the grace time":        p.Drain+p.ShutdownTimeout < b.GracePeriod,
				"the state is kept for longer than promised":              o.Retention > b.Retention,
				"a former owner's lease isn't longer than what is waited": o.MaxLease >= p.RunLease,
			} {
				if !ok {
					t.Errorf("not so: %s (%+v)", what, p)
				}
			}
		})
	}
}

// Guards against weak hosts that are preferred to strong ones because the store is nearer.
func TestCandidacyDelay(t *testing.T) {
	const farther = 100 * time.Millisecond // the store in the other region adds 5 times 20 ms
	strong := Settings{Cores: 0.8, LinkMbps: 200}.CandidacyDelay()
	for name, weak := range map[string]Settings{
		"a fifth of a core": {Cores: 0.192, LinkMbps: 200},
		"10 Mbit/s":         {Cores: 0.8, LinkMbps: 10},
	} {
		t.Run(name, func(t *testing.T) {
			if h := weak.CandidacyDelay(); h < strong+farther {
				t.Errorf("%s, the strong host has %s", h, strong)
			}
		})
	}
}
