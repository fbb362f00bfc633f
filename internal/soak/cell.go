package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	service      = "pool"
	openTeam     = "blue" // has several keys, which are taken away
	limitedTeam  = "red"
	queueHost    = "soak.example"
	queuePrefix  = "/q/"
	serverCores  = 8
	teamCores    = 12 // limit of the team that has one
	shortestWork = 50 * time.Millisecond
	longestWork  = 900 * time.Millisecond
	storeLag     = 200 * time.Millisecond // answer time of a slow store
	grace        = 6 * time.Second
	revocation   = 5 * time.Second
)

// cell is an installation on loopback: stand-ins of the platform in this process, daemons in processes of their own.
type cell struct {
	store     *txstore.Store
	web       *standin.StoreServer
	fleet     *runhost.Fleet
	servers   []sched.Server
	onServers []*proxy // ways to the servers
	onStore   []*proxy // ways of the daemons to the store
	daemons   []*process
	listeners []*http.Server

	mu      sync.Mutex
	random  *rand.Rand
	version int
	keys    map[string][]string // keys of the teams
	revoked map[string]time.Time
}

// newCell starts everything. The directory takes settings and logs.
func newCell(o Options, dir string, seed uint64) (*cell, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the directory: %w", err)
	}
	c := &cell{
		store: txstore.New(time.Now), random: rand.New(rand.NewPCG(seed, 5)), revoked: map[string]time.Time{},
		keys: map[string][]string{openTeam: {"blue-0", "blue-1", "blue-2", "blue-3"}, limitedTeam: {limitedTeam + "-0"}},
	}
	c.web = standin.NewStoreServer(c.store)
	c.fleet = runhost.New(workOf, func(sched.TaskID) resource.Vector { return demand })
	storeAddress, err := c.listen(c.web.Handler())
	if err != nil {
		return nil, err
	}
	if err := c.addServers(o.Servers); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	port := 20000 + os.Getpid()%300*40 + int(seed%4)*10
	for i := range o.Daemons {
		way, err := newProxy(storeAddress)
		if err != nil {
			return nil, fmt.Errorf("way to the store: %w", err)
		}
		c.onStore = append(c.onStore, way)
		p, err := newProcess(o.Binary, dir, standin.DaemonSettings{
			Member: ident.MemberID(fmt.Sprintf("d%d", i)), IP: fmt.Sprintf("127.%d.%d.%d", 1+seed%200, 1+seed/200%200, 1+i), StoreAddress: way.address(),
			FirstInternalPort: port, Grace: grace, MaxRunLease: runhost.LongestLease, StopTimeout: 200 * time.Millisecond, Revocation: revocation,
		})
		if err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, p)
	}
	return c, nil
}

// workOf returns how long a task runs; it is a property of the task, so that each run of it takes the same.
func workOf(t sched.TaskID) time.Duration {
	n := uint64(t.Step*31 + t.Index*7)
	for _, b := range []byte(t.Job) {
		n = n*131 + uint64(b)
	}
	return shortestWork + time.Duration(n%uint64(longestWork-shortestWork))
}

var demand = resource.Vector{CPU: resource.Cores(1), Memory: 100}

// listen serves a handler on a free port.
func (c *cell) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	c.listeners = append(c.listeners, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (c *cell) addServers(count int) error {
	for i := range count {
		v := sched.Server{
			ID: sched.ServerID(fmt.Sprintf("s%d", i)), Incarnation: time.Now().UnixMilli(), Service: service, DataCentre: "z1",
			Labels: []string{"a", "r1"}, Capacity: resource.Vector{CPU: resource.Cores(serverCores), Memory: 4096},
		}
		address, err := c.listen(standin.NewBackendHandler(c.fleet.Servers(), v.ID))
		if err != nil {
			return err
		}
		way, err := newProxy(address)
		if err != nil {
			return fmt.Errorf("way to a server: %w", err)
		}
		v.Address = way.address()
		c.fleet.Add(v)
		c.servers, c.onServers = append(c.servers, v), append(c.onServers, way)
		if err := c.register(v); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) register(v sched.Server) error {
	raw, err := standin.EncodeRegistration(v)
	if err != nil {
		return fmt.Errorf("encode a registration: %w", err)
	}
	c.store.Put("servers/"+string(v.ID), raw)
	return nil
}

// configure writes the next version of the configuration.
func (c *cell) configure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	raw, err := standin.EncodeConfig(c.version,
		[]standin.Queue{{Name: "q", Host: queueHost, Prefix: queuePrefix, Service: service, MaxAttempts: 3}},
		[]standin.Team{
			{Name: openTeam, Keys: c.keys[openTeam]},
			{Name: limitedTeam, Keys: c.keys[limitedTeam], Limit: resource.Vector{CPU: resource.Cores(teamCores)}},
		})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	c.store.Put(standin.ConfigKey, raw)
	return nil
}

// revoke takes a key of the blue team away, but never the last one.
func (c *cell) revoke() error {
	c.mu.Lock()
	keys := c.keys[openTeam]
	if len(keys) < 2 {
		c.mu.Unlock()
		return nil
	}
	gone := keys[len(keys)-1]
	c.keys[openTeam] = keys[:len(keys)-1]
	c.mu.Unlock()
	if err := c.configure(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[gone] = time.Now()
	return nil
}

// revokedAt returns when a key was taken away.
func (c *cell) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revoked[key]
	return at, ok
}

// drainTime is how long a draining server runs on at least.
const drainTime = 2 * time.Second

// begin starts a fault and returns what ends it.
func (c *cell) begin(s step) (end func()) {
	d, n := s.Target%len(c.daemons), s.Target%len(c.servers)
	nothing := func() {}
	way := func(p *proxy, m mode) func() {
		p.set(m)
		return func() { p.set(forward) }
	}
	switch s.Fault {
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
		return c.storeFault(func() txstore.Fault { return txstore.Unavailable })
	case storeSilent:
		return c.storeFault(func() txstore.Fault {
			return []txstore.Fault{txstore.LoseRequest, txstore.LoseReply}[c.draw(2)]
		})
	case storeLossy:
		return c.storeFault(func() txstore.Fault {
			return []txstore.Fault{txstore.LoseReply, txstore.None, txstore.None}[c.draw(3)]
		})
	case storeSlow:
		c.web.SetDelay(storeLag)
		return func() { c.web.SetDelay(0) }
	case storeForgets:
		c.store.Compact()
	case storeCut:
		return way(c.onStore[d], silent)
	case storeOneWay:
		return way(c.onStore[d], deafened)
	case storeReset:
		return way(c.onStore[d], refuse)
	case storeDelay:
		return way(c.onStore[d], delay)
	case serverSilent:
		return way(c.onServers[n], silent)
	case serverOneWay:
		return way(c.onServers[n], deafened)
	case serverDelay:
		return way(c.onServers[n], delay)
	case serverCrash:
		v := c.fleet.Crash(c.servers[n].ID)
		c.onServers[n].reset() // its connections end with it
		return func() { c.note(c.register(v)) }
	case serverDrains:
		v := c.servers[n]
		v.Draining, v.Remaining = true, drainTime
		c.note(c.register(v))
		return func() { c.note(c.register(c.servers[n])) }
	case revokeKey:
		c.note(c.revoke())
	case registryLapses:
		c.store.Drop("servers/" + string(c.servers[n].ID))
		return func() { c.note(c.register(c.servers[n])) }
	}
	return nothing
}

// note reports an error of the soak itself.
func (c *cell) note(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

func (c *cell) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *cell) storeFault(f func() txstore.Fault) func() {
	c.store.SetFault(func(string, string) txstore.Fault { return f() })
	return func() { c.store.SetFault(nil) }
}

// close ends the daemons that this cell started, and its listeners.
func (c *cell) close() error {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, p := range append(c.onServers, c.onStore...) {
		p.close()
	}
	var errs []error
	for _, l := range c.listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
