package coordinator

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against run numbers of a term that aren't above all those of the terms before it, of this version or the former one, and against
// numbers that JSON doesn't carry exactly.
func TestRunNumbersRiseOverTerms(t *testing.T) {
	const (
		exact = 1 << 53
		terms = 1_000_000
	)
	c := &Coordinator{config: Config{}, now: time.Now}
	epoch, end := ident.Epoch(0), sched.RunNumber(0)
	for n := range terms {
		epoch = nextEpoch(epoch)
		if n == 500 {
			epoch -= epochsPerTerm - 1 // a daemon of the former version leads for a term, without a bound on its numbers
			end = sched.RunNumber(epoch-1)*runsPerEpoch + 2_000_000
			continue
		}
		base := sched.RunNumber(epoch-1) * runsPerEpoch
		if base < end {
			t.Fatalf("term %d begins at run number %d, former ones ended at %d", n, base, end)
		}
		end = base + epochsPerTerm*runsPerEpoch
	}
	if end > exact || epoch > exact {
		t.Errorf("run number %d or epoch %d isn't exact after %d terms", end, epoch, terms)
	}
	if n := newTerm(c, LeaderRecord{Epoch: 1}, 1, time.Now(), formerStopped).scheduler; n == nil || nextEpoch(0) != 1 {
		t.Error("the first term has no numbers from 1 on")
	}
}
