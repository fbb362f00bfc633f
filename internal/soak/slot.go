package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	otherService = "annex" // takes over addresses of servers, and no queue uses it
	// registrationExpiry is the time after the end of a server within which the platform removes its registration: three
	// intervals of 1.5 s between its reports.
	registrationExpiry = 4500 * time.Millisecond
	serversPerRack     = 2
	racksPerDataCentre = 2
)

// slot is a host's place in the fleet, where one backend server at a time runs.
type slot struct {
	index      int
	rack       int
	dataCentre int
	target     string // address behind the proxy

	mu      sync.Mutex
	proxy   *proxy
	backend *standin.Backend
	info    sched.Server // of the current or the last server
	up      bool
	lives   int // servers so far
}

// server returns the current or last server and whether it is up.
func (s *slot) server() (sched.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info, s.up
}

func (s *slot) currentProxy() *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxy
}

// place returns the rack and the data centre of a slot. With ProfileMixed all are in one.
func (p Profile) place(index int) (rack, dataCentre int) {
	if p.hasDataCentres() {
		dataCentre = dataCentreOf(index)
		return index/(serversPerRack*dataCentreCount)*dataCentreCount + dataCentre, dataCentre
	}
	if p == ProfileMixed {
		return 1, 1
	}
	rack = index / serversPerRack
	return rack, rack / racksPerDataCentre
}

// addServers starts and registers backend servers, each behind a proxy.
func (c *cell) addServers(count int) error {
	for i := range count {
		v := sched.Server{
			ID: sched.ServerID(fmt.Sprintf("s%d", i)), Incarnation: time.Now().UnixMilli(), Service: serviceName,
			Capacity: resource.Vector{CPU: resource.Cores(serverCores), Memory: 4096},
		}
		s := &slot{index: i, backend: standin.NewBackend(c.fleet.Client(), v.ID), up: true, lives: 1}
		s.rack, s.dataCentre = c.profile.place(i)
		v.DataCentre = dataCentreName(s.dataCentre)
		v.Labels = []string{"a", fmt.Sprintf("r%d", s.rack)}
		if c.profile != ProfileMixed {
			v.Capacity.CPU = resource.Cores(scarceCores)
		}
		var err error
		if s.target, err = c.listen(s.backend.Handler()); err != nil {
			return err
		}
		if s.proxy, err = newProxy(s.target); err != nil {
			return fmt.Errorf("start a proxy to backend server %s: %w", v.ID, err)
		}
		v.Address = s.proxy.address()
		s.info = v
		c.fleet.Add(v)
		c.slots = append(c.slots, s)
		if err := c.register(s, v); err != nil {
			return err
		}
	}
	return nil
}

// register writes the registration of a backend server to the store, unless the server doesn't reach it.
func (c *cell) register(s *slot, v sched.Server) error {
	if c.network.isCut(s.dataCentre) {
		return nil
	}
	raw, err := standin.EncodeRegistration(v)
	if err != nil {
		return fmt.Errorf("encode the registration of %s: %w", v.ID, err)
	}
	c.store.Put("servers/"+string(v.ID), raw)
	return nil
}

func (c *cell) unregister(id sched.ServerID) { c.store.Delete("servers/" + string(id)) }

// registerIfUp writes the registration of a server, unless it has ended.
func (c *cell) registerIfUp(s *slot, id sched.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up && s.info.ID == id {
		c.logError(c.register(s, s.info))
	}
}

// ending is how a server ends.
type ending int

const (
	leaves     ending = iota // it closes its connections and removes its registration
	crashes                  // it closes its connections
	losesPower               // its connections stay open and silent
)

// endServer ends the server of a slot for good and reports whether one was up. Calls to its address get no reply until
// another one starts there. The platform removes the registration of a server that didn't leave.
func (c *cell) endServer(s *slot, how ending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	s.up = false
	s.backend.SetServer("")
	c.fleet.Remove(s.info.ID)
	if how == losesPower {
		s.proxy.loseServer()
	} else {
		s.proxy.reset()
	}
	if id := s.info.ID; how == leaves {
		c.unregister(id)
	} else {
		time.AfterFunc(registrationExpiry, func() { c.unregister(id) })
	}
	return true
}

// addressChoice is where the next server of a slot runs.
type addressChoice int

const (
	sameAddress addressChoice = iota
	newAddress
)

// startServer starts a server of a service with a new id on a slot, unless one is up there.
func (c *cell) startServer(s *slot, service sched.ServiceID, choice addressChoice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		return
	}
	if choice == newAddress {
		p, err := newProxy(s.target)
		if err != nil {
			c.logError(fmt.Errorf("start a proxy: %w", err))
			return
		}
		s.proxy.close()
		s.proxy = p
	}
	v := s.info
	v.ID = sched.ServerID(fmt.Sprintf("s%d-%d", s.index, s.lives))
	v.Incarnation, v.Service, v.Address = time.Now().UnixMilli(), service, s.proxy.address()
	s.lives++
	s.info, s.up = v, true
	c.fleet.Boot(v)
	s.backend.SetServer(v.ID)
	s.proxy.serverIsBack()
	c.logError(c.register(s, v))
}

// restartServer makes the server of a slot crash and start again under its id. Its registration isn't updated.
func (c *cell) restartServer(s *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.info = c.fleet.Crash(s.info.ID)
	s.backend.SetServer(s.info.ID)
	s.proxy.reset()
}

// restoreServers starts a server of the service on each slot without one.
func (c *cell) restoreServers() {
	for _, s := range c.slots {
		s.backend.SetLateOrders(noDelay)
		v, up := s.server()
		if up && v.Service != serviceName {
			c.endServer(s, leaves)
		}
		c.startServer(s, serviceName, sameAddress)
		v, _ = s.server()
		c.registerIfUp(s, v.ID)
	}
}

func noDelay() time.Duration { return 0 }

// advisorAllows denies each step a part of the slots, so that the tickets of a step cover only some servers. Any four slots in
// sequence have one that isn't allowed.
func advisorAllows(step sched.TaskID, id sched.ServerID) bool {
	number, _, _ := strings.Cut(strings.TrimPrefix(string(id), "s"), "-")
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s.%d", step.Job, step.Step)
	var index uint32
	if _, err := fmt.Sscan(number, &index); err != nil {
		return true
	}
	return (h.Sum32()+index)%4 != 0
}
