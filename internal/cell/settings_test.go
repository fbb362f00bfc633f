package cell

import (
	"testing"
	"time"
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
