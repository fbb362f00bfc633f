package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a disturbance from outside the daemons.
type fault string

// Faults.
const (
	kill             fault = "kill"            // SIGKILL, started again
	terminate        fault = "terminate"       // SIGTERM, started again
	freeze           fault = "freeze"          // SIGSTOP, then SIGCONT
	killAll          fault = "kill-all"        // every daemon at once
	storeDown        fault = "store-down"      // refuses every call
	storeSilent      fault = "store-silent"    // answers nothing; some calls take effect
	storeLossy       fault = "store-lossy"     // a third of the answers is lost
	storeSlow        fault = "store-slow"      // answers late
	storeCompact     fault = "store-forgets"   // drops its history
	storeCut         fault = "store-cut"       // one daemon's way to the store is silent
	storeOneWay      fault = "store-one-way"   // one daemon hears no answers of the store
	storeReset       fault = "store-reset"     // one daemon's connections to the store are reset
	storeDelay       fault = "store-delay"     // one daemon's calls to the store arrive late
	serverSilent     fault = "server-silent"   // a backend server is cut off and works on
	serverOneWay     fault = "server-one-way"  // orders reach a backend server, its answers are lost
	serverDelay      fault = "server-delay"    // orders to a backend server arrive late
	serverCrash      fault = "server-crash"    // a backend server starts a new life
	serverDrain      fault = "server-drains"   // a backend server drains for a while
	revokeKey        fault = "revoke-key"      // the operator takes a key away
	registrationLost fault = "registry-lapses" // a live server's registration vanishes for a while
)

// step is a fault at a time, for a time.
type plannedFault struct {
	At, Duration time.Duration
	Fault        fault
	Target       int // daemon or server, by its number
}

// String describes the step.
func (s plannedFault) String() string {
	return fmt.Sprintf("%5.2fs %-15s on %d for %s", s.At.Seconds(), s.Fault, s.Target, s.Duration.Round(time.Millisecond))
}

// weights tell how often a fault comes beside others.
var faultWeights = []struct {
	fault  fault
	weight int
}{
	{kill, 4},
	{terminate, 3},
	{freeze, 4},
	{killAll, 1},
	{storeDown, 2},
	{storeSilent, 2},
	{storeLossy, 2},
	{storeSlow, 2},
	{storeCompact, 1},
	{storeCut, 2},
	{storeOneWay, 2},
	{storeReset, 2},
	{storeDelay, 1},
	{serverSilent, 4},
	{serverOneWay, 3},
	{serverDelay, 2},
	{serverCrash, 3},
	{serverDrain, 2},
	{revokeKey, 1},
	{registrationLost, 2},
}

// faultRate is the mean number of faults a second; they last about two seconds, so several overlap.
const faultsPerSecond = 1.5

// newPlan returns the faults of a seed, in the order of their times. The same seed gives the same plan.
func newPlan(seed uint64, length time.Duration, daemons, servers int) []plannedFault {
	random := rand.New(rand.NewPCG(seed, 77))
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	var plan []plannedFault
	for at := 500 * time.Millisecond; at < length; at += time.Duration(random.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		n := random.IntN(total)
		for _, w := range faultWeights {
			if n -= w.weight; n >= 0 {
				continue
			}
			next := plannedFault{At: at, Duration: time.Duration(200+random.IntN(3800)) * time.Millisecond, Fault: w.fault}
			next.Target = random.IntN(daemons * servers)
			plan = append(plan, next)
			break
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}
