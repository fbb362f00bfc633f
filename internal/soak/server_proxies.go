package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Faults of ProfileServerProxies: of the leader, and of a daemon that probably makes calls to servers for it.
const (
	leaderPaused   fault = "leader-paused"   // SIGSTOP, SIGCONT at the end
	leaderKilled   fault = "leader-killed"   // SIGKILL
	leaderStopped  fault = "leader-stopped"  // SIGTERM
	leaderReplaced fault = "leader-replaced" // SIGSTOP, SIGKILL at the end
	proxyPaused    fault = "proxy-paused"
	proxyKilled    fault = "proxy-killed"
	proxyStopped   fault = "proxy-stopped"
	proxyReplaced  fault = "proxy-replaced"

	// Of the connections of the other daemons to it.
	leaderLinkDelayed fault = "leader-link-delayed" // what the others send is late
	leaderLinkTo      fault = "leader-link-to"      // it receives nothing
	leaderLinkFrom    fault = "leader-link-from"    // the others receive nothing
	leaderLinkSilent  fault = "leader-link-silent"  // open ones deliver nothing any more, and new ones work
	proxyLinkDelayed  fault = "proxy-link-delayed"
	proxyLinkTo       fault = "proxy-link-to"
	proxyLinkFrom     fault = "proxy-link-from"
	proxyLinkSilent   fault = "proxy-link-silent"

	serverRestarted fault = "server-restarted" // a server crashes and returns under its id at once; it registers at the end
	serversReborn   fault = "servers-reborn"   // the same for all servers of a data centre
)

// proxySeriesFaults are those of the series of daemon faults.
var proxySeriesFaults = []fault{
	leaderPaused, leaderKilled, leaderStopped, leaderReplaced, leaderLinkDelayed, leaderLinkTo, leaderLinkFrom, leaderLinkSilent,
	proxyPaused, proxyPaused, proxyKilled, proxyStopped, proxyReplaced, proxyLinkDelayed, proxyLinkDelayed, proxyLinkTo, proxyLinkFrom,
	proxyLinkSilent,
}

// besideProxyFaults overlap the series of daemon faults.
var besideProxyFaults = []faultWeight{
	{fault: kill, weight: 1},
	{fault: terminate, weight: 1},
	{fault: freeze, weight: 2, longest: maxDaemonFault},
	{fault: storeSlow, weight: 1},
	{fault: storeCut, weight: 2},
	{fault: storeOneWay, weight: 1},
	{fault: leaderCentreCut, weight: 1, longest: maxDaemonFault},
	{fault: leaderCentreHeld, weight: 1, longest: maxDaemonFault},
	{fault: centreCut, weight: 1, longest: maxDaemonFault},
	{fault: centreHeld, weight: 1, longest: maxDaemonFault},
	{fault: serverSilent, weight: 2},
	{fault: serverOneWay, weight: 1},
	{fault: serverDelay, weight: 1},
	{fault: serverRestarted, weight: 3},
	{fault: serverDrain, weight: 1},
	{fault: serverReplaced, weight: 2},
	{fault: serverGone, weight: 1},
	{fault: serverReborn, weight: 4},
	{fault: serversReborn, weight: 3},
	{fault: ordersLate, weight: 1},
}

// A series of daemon faults: one lasts from minDaemonFault to maxDaemonFault, and the next one starts from maxDaemonFaultOverlap before
// its end to maxDaemonFaultGap after it.
const (
	minDaemonFault        = 300 * time.Millisecond
	maxDaemonFault        = 6 * time.Second
	maxDaemonFaultOverlap = 3 * time.Second
	maxDaemonFaultGap     = time.Second
	// besideProxyFaultsPerSecond is the mean rate of the faults beside the series.
	besideProxyFaultsPerSecond = 0.7
)

// newProxyFaults returns a series of faults of the leader and the daemons that make calls for it.
func newProxyFaults(rng *rand.Rand, duration time.Duration) []plannedFault {
	var plan []plannedFault
	for at := time.Second; at < duration; {
		f := plannedFault{
			At: at, Duration: minDaemonFault + time.Duration(rng.Int64N(int64(maxDaemonFault-minDaemonFault))),
			Fault: proxySeriesFaults[rng.IntN(len(proxySeriesFaults))], Target: rng.IntN(2 * dataCentreCount),
		}
		plan = append(plan, f)
		gap := time.Duration(rng.Int64N(int64(maxDaemonFaultOverlap+maxDaemonFaultGap))) - maxDaemonFaultOverlap
		at += max(f.Duration+gap, minDaemonFault)
	}
	return plan
}

// likelyServerProxy returns the first or second daemon of a data centre by name, without the leader. These make the calls to its few
// servers while they are up, as all daemons have the same election delay.
func (c *cell) likelyServerProxy(target int) int {
	leader := c.leader()
	var candidates []int
	for i := range c.daemons {
		if dataCentreOf(i) == target%dataCentreCount && i != leader {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return leader
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return strings.Compare(string(c.daemons[a].node.Member), string(c.daemons[b].node.Member))
	})
	return candidates[target/dataCentreCount%len(candidates)]
}

// startDaemonFault starts a fault of a daemon or of the links to it and returns the function that ends it.
func (c *cell) startDaemonFault(f fault, daemon int) (end func()) {
	d := c.daemons[daemon]
	link := func() *proxy { return c.peerProxies[daemon] } // not all profiles have them
	switch f {
	case leaderPaused, proxyPaused:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	case leaderReplaced, proxyReplaced:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGKILL) }
	case leaderKilled, proxyKilled:
		d.signal(syscall.SIGKILL)
	case leaderStopped, proxyStopped:
		d.signal(syscall.SIGTERM)
	case leaderLinkDelayed, proxyLinkDelayed:
		return setProxyMode(link(), modeDelay)
	case leaderLinkTo, proxyLinkTo:
		return setProxyMode(link(), modeBlockRequests)
	case leaderLinkFrom, proxyLinkFrom:
		return setProxyMode(link(), modeBlockReplies)
	case leaderLinkSilent, proxyLinkSilent:
		link().silence(bothWays, everyConnection)
	}
	return noEnd
}

// restartServers makes servers crash and start again under their ids at the same moment. They register again at the end of the fault.
func (c *cell) restartServers(slots []*slot) (end func()) {
	for _, s := range slots {
		c.restartServer(s)
	}
	return func() {
		for _, s := range slots {
			v, _ := s.server()
			c.registerIfUp(s, v.ID)
		}
	}
}
