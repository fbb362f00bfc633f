package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// Faults of ProfileEvacuations.
const (
	evacuate       fault = "evacuate"         // the operator requests the evacuation of a data centre and withdraws it at the end
	leaderStoreCut fault = "leader-store-cut" // the leader is cut off from the store
)

// besideEvacuationsFaults overlap the series of evacuations. None keeps all daemons from the store for longer than evacuationBound allows,
// and none delays starts on their way to a server.
var besideEvacuationsFaults = []faultWeight{
	{fault: kill, weight: 2},
	{fault: terminate, weight: 1},
	{fault: freeze, weight: 2},
	{fault: leaderKilled, weight: 2},
	{fault: leaderPaused, weight: 3},
	{fault: leaderStopped, weight: 1},
	{fault: leaderStoreCut, weight: 4},
	{fault: storeCut, weight: 2},
	{fault: storeOneWay, weight: 2},
	{fault: storeReset, weight: 2},
	{fault: storeSlow, weight: 1},
	{fault: storeCompact, weight: 2},
	{fault: serverSilent, weight: 2},
	{fault: serverOneWay, weight: 2},
	{fault: serverReplaced, weight: 2},
	{fault: serverReborn, weight: 1},
}

const (
	// evacuationBound is the daemons' setting for the longest time from the answer to a request until nothing starts any more.
	evacuationBound = 5 * time.Second
	// An evacuation lasts from minEvacuation to maxEvacuation, and the next one starts from maxEvacuationOverlap before its end to
	// maxEvacuationGap after it.
	minEvacuation        = 6 * time.Second
	maxEvacuation        = 10 * time.Second
	maxEvacuationOverlap = 4 * time.Second
	maxEvacuationGap     = 2 * time.Second
	// besideEvacuationsPerSecond is the mean rate of the faults beside the evacuations.
	besideEvacuationsPerSecond = 0.5
)

// newEvacuations returns a series of evacuations, half of them of the same data centre as the one before.
func newEvacuations(rng *rand.Rand, duration time.Duration) []plannedFault {
	var plan []plannedFault
	target := rng.IntN(dataCentreCount)
	for at := time.Second; at < duration; {
		e := plannedFault{
			At: at, Duration: minEvacuation + time.Duration(rng.Int64N(int64(maxEvacuation-minEvacuation))), Fault: evacuate, Target: target,
		}
		plan = append(plan, e)
		target += rng.IntN(2)
		at += e.Duration - maxEvacuationOverlap + time.Duration(rng.Int64N(int64(maxEvacuationOverlap+maxEvacuationGap)))
	}
	return plan
}

// requestedEvacuation is a request of the operator.
type requestedEvacuation struct {
	dataCentre  int
	answeredAt  time.Time // when the store had answered the write
	withdrawnAt time.Time // just before the key was removed; zero until then
}

// evacuations are the requests of the operator.
type evacuations struct {
	mu       sync.Mutex
	requests []*requestedEvacuation
}

// evacuate requests the evacuation of a data centre and returns the function that withdraws it. It does nothing for one that is
// requested already.
func (c *cell) evacuate(dc int) (end func()) {
	e := &c.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.requests {
		if r.dataCentre == dc && r.withdrawnAt.IsZero() {
			return noEnd
		}
	}
	key := standin.EvacuationPrefix + string(dataCentreName(dc))
	c.store.Put(key, []byte("{}"))
	r := &requestedEvacuation{dataCentre: dc, answeredAt: time.Now()}
	e.requests = append(e.requests, r)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		r.withdrawnAt = time.Now()
		c.store.Delete(key)
	}
}

// checkStart returns the violation of a start on a server, or "".
func (e *evacuations) checkStart(v sched.Server, at time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.requests {
		since := at.Sub(r.answeredAt)
		if dataCentreName(r.dataCentre) == v.DataCentre && since > evacuationBound && (r.withdrawnAt.IsZero() || at.Before(r.withdrawnAt)) {
			return fmt.Sprintf("%s of data centre %s got a start %s after the request to evacuate it", v.ID, v.DataCentre,
				since.Round(time.Millisecond))
		}
	}
	return ""
}
