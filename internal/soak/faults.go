package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

func noEnd() {}

// setProxyMode sets the mode of a proxy and returns the function that ends it.
func setProxyMode(p *proxy, m mode) func() {
	p.setMode(m)
	return func() { p.setMode(modeForward) }
}

// startFault starts a fault and returns the function that ends it, which does nothing if the fault has no duration.
func (c *cell) startFault(f plannedFault) (end func()) {
	d := f.Target % len(c.daemons)
	switch f.Fault {
	case kill:
		c.daemons[d].signal(syscall.SIGKILL)
	case terminate:
		c.daemons[d].signal(syscall.SIGTERM)
	case killAll:
		for _, p := range c.daemons {
			p.signal(syscall.SIGKILL)
		}
	case freeze:
		c.daemons[d].signal(syscall.SIGSTOP)
		return func() { c.daemons[d].signal(syscall.SIGCONT) }
	case storeDown:
		return c.setStoreFault(func() txstore.Fault { return txstore.Unavailable })
	case storeSilent:
		return c.setStoreFault(func() txstore.Fault {
			return []txstore.Fault{txstore.LoseRequest, txstore.LoseReply}[c.randomInt(2)]
		})
	case storeLossy:
		return c.setStoreFault(func() txstore.Fault {
			return []txstore.Fault{txstore.LoseReply, txstore.None, txstore.None}[c.randomInt(3)]
		})
	case storeSlow:
		c.setStoreDelay(slowStoreDelay)
		return func() { c.setStoreDelay(0) }
	case storeCompact:
		c.store.Compact()
	case storeCut:
		return setProxyMode(c.storeProxies[d], modeBlockAll)
	case storeOneWay:
		return setProxyMode(c.storeProxies[d], modeBlockReplies)
	case storeReset:
		return setProxyMode(c.storeProxies[d], modeReset)
	case storeDelay:
		return setProxyMode(c.storeProxies[d], modeDelay)
	case peerSilent, peerSilentTo, peerSilentFrom, storeLinkSilent, storeSilentTo, storeSilentFrom,
		serverLinkSilent, serverSilentTo, serverSilentFrom, serversSilent, allSilent, mostSilent:
		c.startSilence(f)
	case leaderCentreCut:
		return c.cutDataCentre(c.leaderDataCentre(), modeBlockAll)
	case leaderCentreHeld:
		return c.cutDataCentre(c.leaderDataCentre(), modeHold)
	case centreCut:
		return c.cutDataCentre(f.Target%dataCentreCount, modeBlockAll)
	case centreHeld:
		return c.cutDataCentre(f.Target%dataCentreCount, modeHold)
	case leaderPaused, leaderKilled, leaderStopped, leaderReplaced, leaderLinkDelayed, leaderLinkTo, leaderLinkFrom, leaderLinkSilent:
		return c.startDaemonFault(f.Fault, c.leader())
	case proxyPaused, proxyKilled, proxyStopped, proxyReplaced, proxyLinkDelayed, proxyLinkTo, proxyLinkFrom, proxyLinkSilent:
		return c.startDaemonFault(f.Fault, c.likelyServerProxy(f.Target))
	case evacuate:
		return c.evacuate(f.Target % dataCentreCount)
	case leaderStoreCut:
		return setProxyMode(c.storeProxies[c.leader()], modeBlockAll)
	case revokeKey:
		c.logError(c.revokeNextKey())
	default:
		return c.startServerFault(f.Fault, c.slots[f.Target%len(c.slots)], f.Duration)
	}
	return noEnd
}

// logError prints an error of the soak test itself.
func (c *cell) logError(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

func (c *cell) randomInt(n int) int {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.random.IntN(n)
}

// setStoreDelay delays the handling of all calls to the store.
func (c *cell) setStoreDelay(d time.Duration) {
	for _, s := range c.storeServers {
		s.SetDelay(d)
	}
}

// setStoreFault applies a fault to all calls to the store and returns the function that ends it.
func (c *cell) setStoreFault(f func() txstore.Fault) func() {
	c.store.SetFault(func(string, string) txstore.Fault { return f() })
	return func() { c.store.SetFault(nil) }
}
