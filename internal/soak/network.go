package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	dataCentreCount = 3
	// dataCentresPerRegion leaves one data centre in a region of its own.
	dataCentresPerRegion = 2
	// maxRegistrationDelay is the time after the end of a cut within which the servers of the data centre are registered again.
	maxRegistrationDelay = 2 * time.Second
	leaderKey            = "cell/leader"
)

// network has the ways of the daemons of a profile with data centres, by data centre. The store is in none of the data centres.
type network struct {
	dataCentres []*dataCentre

	mu   sync.Mutex
	cuts [dataCentreCount]int // that are in progress
}

// dataCentre has the ways from the daemons of a data centre to everything else. Each is a proxy of its own before those of single
// daemons and servers, so that their faults don't end a cut.
type dataCentre struct {
	store   *proxy
	peers   []*proxy // to each daemon
	servers []*proxy // to each slot
}

// dataCentreOf returns the data centre of a daemon or slot by its index.
func dataCentreOf(index int) int { return index % dataCentreCount }

func dataCentreName(dc int) ident.DataCentre { return ident.DataCentre("z" + strconv.Itoa(dc)) }

func regionName(dc int) ident.Region {
	return ident.Region("r" + strconv.Itoa(dc/dataCentresPerRegion))
}

// hasDataCentres reports whether daemons and servers are spread over data centres that can be cut off. Otherwise all daemons are in one.
func (p Profile) hasDataCentres() bool {
	return p == ProfileDataCentreCuts || p == ProfileServerProxies || p == ProfileEvacuations
}

// addNetwork starts the proxies of the data centres. They lead to daemons through the proxies before these, if there are some.
func (c *cell) addNetwork(daemons int, peerProxies map[string]string) error {
	c.network = &network{}
	for dc := range dataCentreCount {
		d, proxies := &dataCentre{}, map[string]string{}
		c.network.dataCentres = append(c.network.dataCentres, d)
		add := func(ways []*proxy, target string) ([]*proxy, error) {
			p, err := newProxy(cmp.Or(peerProxies[target], target))
			if err != nil {
				return ways, fmt.Errorf("start a proxy from data centre %s to %s: %w", dataCentreName(dc), target, err)
			}
			proxies[target] = p.address()
			return append(ways, p), nil
		}
		var err error
		for i := range daemons {
			own := net.JoinHostPort(c.addresses.ip(i), strconv.Itoa(c.addresses.port))
			if d.peers, err = add(d.peers, own); err != nil {
				return err
			}
		}
		for _, s := range c.slots {
			if d.servers, err = add(d.servers, s.currentProxy().address()); err != nil {
				return err
			}
		}
		address, err := c.addStore(proxies)
		if err != nil {
			return err
		}
		if d.store, err = newProxy(address); err != nil {
			return fmt.Errorf("start a proxy from data centre %s to the store: %w", dataCentreName(dc), err)
		}
	}
	return nil
}

// addStore serves the store to daemons that reach peers and servers through proxies, given by real address, and returns its address.
func (c *cell) addStore(proxies map[string]string) (string, error) {
	s := standin.NewStoreServer(newTranslatingStore(c.store, proxies))
	c.storeServers = append(c.storeServers, s)
	return c.listen(s.Handler())
}

// cutOff cuts a data centre off and returns the function that ends this cut. Other cuts may overlap.
func (n *network) cutOff(dc int, m mode) (heal func()) {
	n.change(dc, 1, m)
	return func() { n.change(dc, -1, m) }
}

// change changes the number of cuts of a data centre. Ways that become blocked get the mode.
func (n *network) change(dc, by int, m mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[dc] += by
	set := func(p *proxy, cut bool) {
		switch blocked := p.currentMode() != modeForward; {
		case cut && !blocked:
			p.setMode(m)
		case !cut && blocked:
			p.setMode(modeForward)
		}
	}
	for from, d := range n.dataCentres {
		set(d.store, n.cuts[from] > 0)
		for _, ways := range [][]*proxy{d.peers, d.servers} {
			for i, p := range ways {
				to := dataCentreOf(i)
				set(p, from != to && n.cuts[from]+n.cuts[to] > 0)
			}
		}
	}
}

// isCut reports whether a data centre is cut off. There are no cuts without a network.
func (n *network) isCut(dc int) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[dc] > 0
}

func (n *network) close() {
	if n == nil {
		return
	}
	for _, d := range n.dataCentres {
		if d.store != nil {
			d.store.close()
		}
		for _, p := range append(d.peers, d.servers...) {
			p.close()
		}
	}
}

// cutDataCentre cuts a data centre off and returns the function that ends this. Meanwhile its servers can't renew their registrations.
func (c *cell) cutDataCentre(dc int, m mode) (end func()) {
	heal := c.network.cutOff(dc, m)
	slots := c.slotsWhere(func(s *slot) bool { return s.dataCentre == dc })
	expiry := time.AfterFunc(registrationExpiry, func() {
		for _, s := range slots {
			if v, up := s.server(); up {
				c.unregister(v.ID)
			}
		}
	})
	return func() {
		expiry.Stop()
		heal()
		for _, s := range slots {
			if v, up := s.server(); up {
				time.AfterFunc(time.Duration(c.randomInt(int(maxRegistrationDelay))), func() { c.registerIfUp(s, v.ID) })
			}
		}
	}
}

// leaderDataCentre returns the data centre of the leader that the store names, or the first one.
func (c *cell) leaderDataCentre() int { return dataCentreOf(c.leader()) }

// leader returns the daemon that the store names as the leader, or the first one.
func (c *cell) leader() int {
	var leader coordinator.LeaderRecord
	it, ok := c.store.Peek(leaderKey)
	if !ok {
		return 0
	}
	if err := json.Unmarshal(it.Value, &leader); err != nil {
		c.logError(fmt.Errorf("decode the leader's record: %w", err))
		return 0
	}
	for i, d := range c.daemons {
		if d.node.Member == leader.Member {
			return i
		}
	}
	return 0
}
