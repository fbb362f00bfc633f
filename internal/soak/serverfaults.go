package soak

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

const (
	// minDrainTime is the time that a draining server announces to keep running for.
	minDrainTime = 2 * time.Second
	// reclaimNotice is the time between the notice that servers are taken away and their end.
	reclaimNotice = 2500 * time.Millisecond
	// takeoverDelay is the time between the end of a server and the start of another one at its address.
	takeoverDelay = 200 * time.Millisecond

	lateOrderShare  = 0.5 // of the starts and stops while orders are late
	minOrderDelay   = 2 * time.Second
	orderDelayRange = 10 * time.Second
)

// startServerFault starts a fault of backend servers and returns the function that ends it.
func (c *cell) startServerFault(f fault, s *slot, duration time.Duration) (end func()) {
	v, up := s.server()
	if !up {
		return noEnd
	}
	switch f {
	case serverSilent:
		return setProxyMode(s.currentProxy(), modeBlockAll)
	case serverOneWay:
		return setProxyMode(s.currentProxy(), modeBlockReplies)
	case serverDelay:
		return setProxyMode(s.currentProxy(), modeDelay)
	case serverCrash:
		crashed := c.fleet.Crash(v.ID)
		s.currentProxy().reset() // a crash closes the server's connections
		return func() { c.logError(c.register(s, crashed)) }
	case serverDrain:
		c.drain(s, v, minDrainTime)
		return func() { c.registerIfUp(s, v.ID) }
	case registrationLost:
		c.unregister(v.ID)
		return func() { c.registerIfUp(s, v.ID) }
	case serverReplaced:
		c.endServer(s, losesPower)
		time.Sleep(takeoverDelay)
		c.startServer(s, serviceName, sameAddress)
	case serverReused:
		c.endServer(s, crashes)
		time.Sleep(takeoverDelay)
		c.startServer(s, otherService, sameAddress)
		return func() {
			if v, _ := s.server(); v.Service == otherService {
				c.endServer(s, crashes)
				c.startServer(s, serviceName, sameAddress)
			}
		}
	case serverGone:
		c.endServer(s, losesPower)
		return func() { c.startServer(s, serviceName, newAddress) }
	case serverReborn:
		heal := setProxyMode(s.currentProxy(), modeBlockAll)
		time.Sleep(duration / 2)
		if now, _ := s.server(); now.ID == v.ID {
			c.restartServer(s)
		}
		return func() {
			heal()
			c.registerIfUp(s, v.ID)
		}
	case serverRestarted:
		return c.restartServers([]*slot{s})
	case serversReborn:
		return c.restartServers(c.slotsWhere(func(o *slot) bool { return o.dataCentre == s.dataCentre }))
	case serviceCrash:
		return c.crashServers(c.slots)
	case rackCrash:
		return c.crashServers(c.slotsWhere(func(o *slot) bool { return o.rack == s.rack }))
	case dataCentreCrash:
		return c.crashServers(c.slotsWhere(func(o *slot) bool { return o.dataCentre == s.dataCentre }))
	case reclaim:
		return c.reclaimServers(c.slotsWhere(func(o *slot) bool { return o.dataCentre == s.dataCentre }))
	case ordersLate:
		return c.delayOrders()
	case registrationsLapse:
		return c.lapseRegistrations()
	}
	return noEnd
}

// drain writes the registration of a server that leaves after the given time.
func (c *cell) drain(s *slot, v sched.Server, remaining time.Duration) {
	v.Draining, v.Remaining = true, remaining
	c.logError(c.register(s, v))
}

func (c *cell) slotsWhere(match func(*slot) bool) []*slot {
	var matching []*slot
	for _, s := range c.slots {
		if match(s) {
			matching = append(matching, s)
		}
	}
	return matching
}

// crashServers ends servers for good at the same moment; at the end of the fault new ones start at their addresses.
func (c *cell) crashServers(slots []*slot) (end func()) {
	var crashed []*slot
	for _, s := range slots {
		if c.endServer(s, losesPower) {
			crashed = append(crashed, s)
		}
	}
	return func() {
		for _, s := range crashed {
			c.startServer(s, serviceName, sameAddress)
		}
	}
}

// reclaimServers gives servers notice and ends them; at the end of the fault new ones start at other addresses.
func (c *cell) reclaimServers(slots []*slot) (end func()) {
	noticed := map[*slot]sched.ServerID{}
	for _, s := range slots {
		if v, up := s.server(); up {
			noticed[s] = v.ID
			c.drain(s, v, reclaimNotice)
		}
	}
	time.Sleep(reclaimNotice)
	for s, id := range noticed {
		if v, _ := s.server(); v.ID == id {
			c.endServer(s, leaves)
		}
	}
	return func() {
		for s := range noticed {
			c.startServer(s, serviceName, newAddress)
		}
	}
}

// delayOrders makes some starts and stops to all servers take effect late, without a reply.
func (c *cell) delayOrders() (end func()) {
	for _, s := range c.slots {
		s.backend.SetLateOrders(func() time.Duration {
			if float64(c.randomInt(1000)) >= lateOrderShare*1000 {
				return 0
			}
			return minOrderDelay + time.Duration(c.randomInt(int(orderDelayRange)))
		})
	}
	return func() {
		for _, s := range c.slots {
			s.backend.SetLateOrders(noDelay)
		}
	}
}

// lapseRegistrations removes the registrations of all servers that are up; at the end they register again.
func (c *cell) lapseRegistrations() (end func()) {
	lapsed := map[*slot]sched.ServerID{}
	for _, s := range c.slots {
		if v, up := s.server(); up {
			lapsed[s] = v.ID
			c.unregister(v.ID)
		}
	}
	return func() {
		for s, id := range lapsed {
			c.registerIfUp(s, id)
		}
	}
}
