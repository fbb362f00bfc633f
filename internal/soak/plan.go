package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is the kind of a fault that is injected from outside the daemons.
type fault string

// Kinds of faults.
const (
	kill             fault = "kill"            // SIGKILL to a daemon, which is restarted
	terminate        fault = "terminate"       // SIGTERM to a daemon, which is restarted
	freeze           fault = "freeze"          // SIGSTOP to a daemon, SIGCONT at the end
	killAll          fault = "kill-all"        // SIGKILL to all daemons at once
	storeDown        fault = "store-down"      // the store refuses every call
	storeSilent      fault = "store-silent"    // the store sends no replies; some calls take effect
	storeLossy       fault = "store-lossy"     // the store's replies are lost with a probability of one third
	storeSlow        fault = "store-slow"      // the store replies late
	storeCompact     fault = "store-forgets"   // the store compacts its history
	storeCut         fault = "store-cut"       // one daemon is cut off from the store
	storeOneWay      fault = "store-one-way"   // one daemon receives no replies from the store
	storeReset       fault = "store-reset"     // one daemon's connections to the store are reset
	storeDelay       fault = "store-delay"     // one daemon's calls to the store arrive late
	serverSilent     fault = "server-silent"   // a backend server is cut off and continues its tasks
	serverOneWay     fault = "server-one-way"  // commands reach a backend server, its replies are lost
	serverDelay      fault = "server-delay"    // commands to a backend server arrive late
	serverCrash      fault = "server-crash"    // a backend server restarts with a new incarnation
	serverDrain      fault = "server-drains"   // a backend server drains for a while
	revokeKey        fault = "revoke-key"      // the operator revokes an API key
	registrationLost fault = "registry-lapses" // the registration of a live server is missing for a while
)

// plannedFault is a fault with its start, counted from the start of the plan, and its duration.
type plannedFault struct {
	At, Duration time.Duration
	Fault        fault
	Target       int // selects the daemon or server, modulo their number
}

// String returns the fault on one line.
func (f plannedFault) String() string {
	return fmt.Sprintf("%5.2fs %-15s on %d for %s", f.At.Seconds(), f.Fault, f.Target, f.Duration.Round(time.Millisecond))
}

// faultWeights are the relative frequencies of the faults.
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

// faultsPerSecond is the mean rate at which faults start. They last about two seconds, so several overlap.
const faultsPerSecond = 1.5

// newPlan returns the fault plan of a seed, ordered by start. It depends only on its arguments.
func newPlan(seed uint64, duration time.Duration, daemons, servers int) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 77))
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	var plan []plannedFault
	for at := 500 * time.Millisecond; at < duration; at += time.Duration(rng.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		n := rng.IntN(total)
		for _, w := range faultWeights {
			if n -= w.weight; n >= 0 {
				continue
			}
			next := plannedFault{At: at, Duration: time.Duration(200+rng.IntN(3800)) * time.Millisecond, Fault: w.fault}
			next.Target = rng.IntN(daemons * servers)
			plan = append(plan, next)
			break
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}
