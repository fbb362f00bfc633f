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

	// Faults of profileServerLoss. The lost servers never return under their ids, except with serverReborn.
	serverReplaced     fault = "server-replaced"     // a server ends and another one takes over its address at once
	serverReused       fault = "server-reused"       // a server ends and one of another service takes over its address
	serverGone         fault = "server-gone"         // a server ends, and a new one starts at another address
	serverReborn       fault = "server-reborn"       // a server is cut off, crashes meanwhile and returns under its id
	serviceCrash       fault = "service-crash"       // all servers are silent, then new ones are at their addresses
	rackCrash          fault = "rack-crash"          // the same for the servers of a rack
	dataCentreCrash    fault = "data-centre-crash"   // the same for the servers of a data centre
	reclaim            fault = "reclaim"             // the servers of a data centre drain at short notice and leave; new ones come later
	ordersLate         fault = "orders-late"         // some starts and stops get no reply and are carried out seconds later
	registrationsLapse fault = "registrations-lapse" // the registrations of all live servers are missing for a while
)

// Faults of ProfileSilentLinks: open connections deliver nothing any more, and new ones work.
const (
	peerSilent       fault = "peer-silent"         // the connections of the other daemons to one
	peerSilentTo     fault = "peer-silent-to"      // the same, only what the others send
	peerSilentFrom   fault = "peer-silent-from"    // the same, only what the others receive
	storeLinkSilent  fault = "store-link-silent"   // one daemon's connections to the store
	storeSilentTo    fault = "store-silent-to"     // the same, only what the store receives
	storeSilentFrom  fault = "store-silent-from"   // the same, only what the store sends
	serverLinkSilent fault = "server-link-silent"  // the connections to a backend server
	serverSilentTo   fault = "server-silent-to"    // the same, only what the server receives
	serverSilentFrom fault = "server-silent-from"  // the same, only what the server sends
	serversSilent    fault = "servers-link-silent" // the connections to all backend servers
	allSilent        fault = "all-links-silent"    // all connections
	mostSilent       fault = "most-links-silent"   // silentShare of all connections
)

// Faults of ProfileDataCentreCuts: a data centre loses the store and all others, while its daemons and servers reach each other.
const (
	leaderCentreCut  fault = "leader-centre-cut"  // of the leader; what was under way is lost
	leaderCentreHeld fault = "leader-centre-held" // the same, but what was under way arrives at the end
	centreCut        fault = "centre-cut"         // of any data centre; what was under way is lost
	centreHeld       fault = "centre-held"        // the same, but what was under way arrives at the end
)

// plannedFault is a fault with its start, counted from the start of the plan, and its duration.
type plannedFault struct {
	At, Duration time.Duration
	Fault        fault
	Target       int // selects the daemon or server, modulo their number
}

// String returns the fault on one line.
func (f plannedFault) String() string {
	return fmt.Sprintf("%5.2fs %-19s on %d for %s", f.At.Seconds(), f.Fault, f.Target, f.Duration.Round(time.Millisecond))
}

// Profile names a mix of faults and a workload.
type Profile string

// The profiles.
const (
	ProfileMixed      Profile = "mixed"       // faults of daemons, the store and single servers
	ProfileServerLoss Profile = "server-loss" // servers end in all ways, with advised, all-at-once and long-running jobs
	// ProfileSilentLinks has open connections that go silent while servers and daemons end, with the jobs of ProfileServerLoss.
	ProfileSilentLinks Profile = "silent-links"
	// ProfileDataCentreCuts cuts off one data centre after the other, with the jobs of ProfileServerLoss.
	ProfileDataCentreCuts Profile = "data-centre-cuts"
	// ProfileServerProxies has all calls to servers made through other daemons than the leader, and faults of these daemons and of the
	// links between them, with the jobs of ProfileServerLoss.
	ProfileServerProxies Profile = "server-proxies"
	// ProfileEvacuations evacuates data centres while leaders end and lose the store, with the jobs of ProfileServerLoss.
	ProfileEvacuations Profile = "evacuations"
)

// Profiles are all profiles; the first is the default.
var Profiles = []Profile{ProfileMixed, ProfileServerLoss, ProfileSilentLinks, ProfileDataCentreCuts, ProfileServerProxies, ProfileEvacuations}

// faultWeight is the relative frequency of a fault.
type faultWeight struct {
	fault   fault
	weight  int
	longest time.Duration // maxFaultDuration if it is 0
}

// faultWeights are the faults of each profile. A change of those of a profile changes the plans of all of its seeds.
var faultWeights = map[Profile][]faultWeight{
	ProfileMixed:          mixedFaults,
	ProfileServerLoss:     serverLossFaults,
	ProfileSilentLinks:    silentLinkFaults,
	ProfileDataCentreCuts: besideCutsFaults,
	ProfileServerProxies:  besideProxyFaults,
	ProfileEvacuations:    besideEvacuationsFaults,
}

var mixedFaults = []faultWeight{
	{fault: kill, weight: 4},
	{fault: terminate, weight: 3},
	{fault: freeze, weight: 4},
	{fault: killAll, weight: 1},
	{fault: storeDown, weight: 2},
	{fault: storeSilent, weight: 2},
	{fault: storeLossy, weight: 2},
	{fault: storeSlow, weight: 2},
	{fault: storeCompact, weight: 1},
	{fault: storeCut, weight: 2},
	{fault: storeOneWay, weight: 2},
	{fault: storeReset, weight: 2},
	{fault: storeDelay, weight: 1},
	{fault: serverSilent, weight: 4},
	{fault: serverOneWay, weight: 3},
	{fault: serverDelay, weight: 2},
	{fault: serverCrash, weight: 3},
	{fault: serverDrain, weight: 2},
	{fault: revokeKey, weight: 1},
	{fault: registrationLost, weight: 2},
}

var serverLossFaults = []faultWeight{
	{fault: kill, weight: 2},
	{fault: terminate, weight: 1},
	{fault: freeze, weight: 2},
	{fault: killAll, weight: 1},
	{fault: storeDown, weight: 1},
	{fault: storeLossy, weight: 1},
	{fault: storeSlow, weight: 1},
	{fault: storeCut, weight: 1},
	{fault: serverSilent, weight: 2},
	{fault: serverOneWay, weight: 2},
	{fault: serverDelay, weight: 1},
	{fault: serverDrain, weight: 2},
	{fault: registrationLost, weight: 1},
	{fault: serverReplaced, weight: 6},
	{fault: serverReused, weight: 4},
	{fault: serverGone, weight: 3},
	{fault: serverReborn, weight: 4},
	{fault: serviceCrash, weight: 1},
	{fault: serviceCrash, weight: 4, longest: briefCrash},
	{fault: rackCrash, weight: 3, longest: briefCrash},
	{fault: dataCentreCrash, weight: 3},
	{fault: reclaim, weight: 3},
	{fault: ordersLate, weight: 3},
	{fault: registrationsLapse, weight: 2},
}

var silentLinkFaults = []faultWeight{
	{fault: kill, weight: 2},
	{fault: terminate, weight: 1},
	{fault: freeze, weight: 2},
	{fault: storeSlow, weight: 1},
	{fault: storeReset, weight: 1},
	{fault: storeDelay, weight: 1},
	{fault: serverSilent, weight: 1},
	{fault: serverDelay, weight: 1},
	{fault: serverDrain, weight: 1},
	{fault: serverReplaced, weight: 4},
	{fault: serverGone, weight: 2},
	{fault: serverReborn, weight: 2},
	{fault: peerSilent, weight: 3},
	{fault: peerSilentTo, weight: 2},
	{fault: peerSilentFrom, weight: 2},
	{fault: storeLinkSilent, weight: 3},
	{fault: storeSilentTo, weight: 2},
	{fault: storeSilentFrom, weight: 2},
	{fault: serverLinkSilent, weight: 3},
	{fault: serverSilentTo, weight: 2},
	{fault: serverSilentFrom, weight: 2},
	{fault: serversSilent, weight: 2},
	{fault: allSilent, weight: 3},
	{fault: mostSilent, weight: 3},
}

// besideCutsFaults overlap the series of cuts.
var besideCutsFaults = []faultWeight{
	{fault: kill, weight: 4},
	{fault: terminate, weight: 3},
	{fault: freeze, weight: 4},
	{fault: killAll, weight: 1},
	{fault: storeDown, weight: 2},
	{fault: storeLossy, weight: 1},
	{fault: storeSlow, weight: 1},
	{fault: storeCompact, weight: 1},
	{fault: storeCut, weight: 2},
	{fault: storeOneWay, weight: 1},
	{fault: serverSilent, weight: 2},
	{fault: serverOneWay, weight: 1},
	{fault: serverDelay, weight: 1},
	{fault: serverDrain, weight: 2},
	{fault: revokeKey, weight: 1},
	{fault: registrationLost, weight: 1},
	{fault: serverReplaced, weight: 3},
	{fault: serverReborn, weight: 3},
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// briefCrash is shorter than it takes to notice that a server doesn't answer a poll, so that its successor shows the crash.
	briefCrash = 800 * time.Millisecond
)

const (
	// faultsPerSecond is the mean rate at which faults start. They last about two seconds, so several overlap.
	faultsPerSecond = 1.5
	// besideCutsPerSecond is that rate for the faults beside a series of cuts.
	besideCutsPerSecond = 0.3
)

// A series of cuts: a cut lasts from minCut to maxCut, and the next one starts from maxCutOverlap before its end to maxCutGap after it.
const (
	minCut        = 3 * time.Second
	maxCut        = 12 * time.Second
	maxCutOverlap = 4 * time.Second
	maxCutGap     = 8 * time.Second
)

// newPlan returns the fault plan of a seed, ordered by start. It depends only on its arguments.
func newPlan(profile Profile, seed uint64, duration time.Duration, daemons, servers int) []plannedFault {
	weights := faultWeights[profile]
	rng := rand.New(rand.NewPCG(seed, 77))
	rate, total := faultsPerSecond, 0
	for _, w := range weights {
		total += w.weight
	}
	var plan []plannedFault
	switch profile {
	case ProfileDataCentreCuts:
		plan, rate = newCuts(rng, duration), besideCutsPerSecond
	case ProfileServerProxies:
		plan, rate = newProxyFaults(rng, duration), besideProxyFaultsPerSecond
	case ProfileEvacuations:
		plan, rate = newEvacuations(rng, duration), besideEvacuationsPerSecond
	}
	for at := 500 * time.Millisecond; at < duration; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		n := rng.IntN(total)
		for _, w := range weights {
			if n -= w.weight; n >= 0 {
				continue
			}
			next := plannedFault{At: at, Duration: minFaultDuration + time.Duration(rng.IntN(3800))*time.Millisecond, Fault: w.fault}
			if w.longest > 0 {
				next.Duration = minFaultDuration + (next.Duration-minFaultDuration)*(w.longest-minFaultDuration)/(maxFaultDuration-minFaultDuration)
			}
			next.Target = rng.IntN(daemons * servers)
			plan = append(plan, next)
			break
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}

// newCuts returns a series of cuts of one data centre after the other, first and then half of the times that of the leader.
func newCuts(rng *rand.Rand, duration time.Duration) []plannedFault {
	var plan []plannedFault
	target := rng.IntN(dataCentreCount)
	for at := time.Second; at < duration; {
		cut := plannedFault{At: at, Duration: minCut + time.Duration(rng.Int64N(int64(maxCut-minCut))), Target: target}
		ofLeader, held := len(plan) == 0 || rng.IntN(2) == 0, rng.IntN(2) == 0
		switch {
		case ofLeader && held:
			cut.Fault = leaderCentreHeld
		case ofLeader:
			cut.Fault = leaderCentreCut
		case held:
			cut.Fault = centreHeld
		default:
			cut.Fault = centreCut
		}
		plan = append(plan, cut)
		target++
		at += cut.Duration - maxCutOverlap + time.Duration(rng.Int64N(int64(maxCutOverlap+maxCutGap)))
	}
	return plan
}
