package soak

import "net"

// silentShare is the share of the open connections that mostSilent silences.
const silentShare = 0.7

// direction selects the connections of a proxy whose remote side receives nothing any more.
type direction int

const (
	bothWays direction = iota
	toServer
	toCaller
)

// silence makes each open connection that the function selects deliver nothing for good: the bytes are lost, and the remote side
// doesn't see the end of the connection. Sent bytes are acknowledged, so TCP notices nothing. New connections work.
func (p *proxy) silence(d direction, selects func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for caller, server := range p.pairs {
		if !selects() {
			continue
		}
		if d != toCaller {
			p.silent[server] = true
		}
		if d != toServer {
			p.silent[caller] = true
		}
	}
}

// isSilent reports whether nothing is delivered to the remote side of a connection.
func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

func everyConnection() bool { return true }

// startSilence starts a fault of ProfileSilentLinks. It has no end: the connections stay silent until a daemon closes them.
func (c *cell) startSilence(f plannedFault) {
	peers, stores := c.peerProxies, c.storeProxies
	servers := make([]*proxy, 0, len(c.slots))
	for _, s := range c.slots {
		servers = append(servers, s.currentProxy())
	}
	d, s := f.Target%len(stores), f.Target%len(servers)
	selects := everyConnection
	way := bothWays
	var proxies []*proxy
	switch f.Fault {
	case peerSilent, peerSilentTo, peerSilentFrom:
		proxies = peers[d : d+1]
	case storeLinkSilent, storeSilentTo, storeSilentFrom:
		proxies = stores[d : d+1]
	case serverLinkSilent, serverSilentTo, serverSilentFrom:
		proxies = servers[s : s+1]
	case serversSilent:
		proxies = servers
	case allSilent, mostSilent:
		proxies = append(append(servers, peers...), stores...)
	}
	switch f.Fault {
	case peerSilentTo, storeSilentTo, serverSilentTo:
		way = toServer
	case peerSilentFrom, storeSilentFrom, serverSilentFrom:
		way = toCaller
	case mostSilent:
		selects = func() bool { return float64(c.randomInt(1000)) < silentShare*1000 }
	}
	for _, p := range proxies {
		p.silence(way, selects)
	}
}
