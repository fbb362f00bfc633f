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
	serviceName     = "pool"
	multiKeyTeam    = "blue" // has several keys, which are taken away
	limitedTeam     = "red"
	queueHost       = "soak.example"
	queuePrefix     = "/q/"
	serverCores     = 8
	teamLimitCores  = 12 // limit of the team that has one
	minTaskDuration = 50 * time.Millisecond
	maxTaskDuration = 900 * time.Millisecond
	slowStoreDelay  = 200 * time.Millisecond // answer time of a slow store
	gracePeriod     = 6 * time.Second
	revocationBound = 5 * time.Second
)

// cell is an installation on loopback: stand-ins of the platform in this process, daemons in processes of their own.
type cell struct {
	store         *txstore.Store
	storeHTTP     *standin.Store
	fleet         *runhost.Fleet
	servers       []sched.Server
	serverProxies []*proxy // ways to the servers
	storeProxies  []*proxy // ways of the daemons to the store
	daemons       []*process
	httpServers   []*http.Server

	mu            sync.Mutex
	random        *rand.Rand
	configVersion int
	keys          map[string][]string // keys of the teams
	revokedKeys   map[string]time.Time
}

// newCell starts everything. The directory takes settings and logs.
func newCell(o Options, dir string, seed uint64) (*cell, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the directory: %w", err)
	}
	c := &cell{
		store: txstore.New(time.Now), random: rand.New(rand.NewPCG(seed, 5)), revokedKeys: map[string]time.Time{},
		keys: map[string][]string{multiKeyTeam: {"blue-0", "blue-1", "blue-2", "blue-3"}, limitedTeam: {limitedTeam + "-0"}},
	}
	c.storeHTTP = standin.NewStore(c.store)
	c.fleet = runhost.New(taskDuration, func(sched.TaskID) resource.Vector { return taskDemand })
	storeAddress, err := c.listen(c.storeHTTP.Handler())
	if err != nil {
		return nil, err
	}
	if err := c.addServers(o.Servers); err != nil {
		return nil, err
	}
	if err := c.writeConfig(); err != nil {
		return nil, err
	}
	port := 20000 + os.Getpid()%300*40 + int(seed%4)*10
	for i := range o.Daemons {
		storeProxy, err := newProxy(storeAddress)
		if err != nil {
			return nil, fmt.Errorf("way to the store: %w", err)
		}
		c.storeProxies = append(c.storeProxies, storeProxy)
		p, err := newProcess(o.Binary, dir, standin.Node{
			Member: ident.MemberID(fmt.Sprintf("d%d", i)), IP: fmt.Sprintf("127.%d.%d.%d", 1+seed%200, 1+seed/200%200, 1+i), Store: storeProxy.address(),
			FirstPort: port, Grace: gracePeriod, MaxLease: runhost.MaxLease, Stops: 200 * time.Millisecond, Revocation: revocationBound,
		})
		if err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, p)
	}
	return c, nil
}

// workOf returns how long a task runs; it is a property of the task, so that each run of it takes the same.
func taskDuration(t sched.TaskID) time.Duration {
	n := uint64(t.Step*31 + t.Index*7)
	for _, b := range []byte(t.Job) {
		n = n*131 + uint64(b)
	}
	return minTaskDuration + time.Duration(n%uint64(maxTaskDuration-minTaskDuration))
}

var taskDemand = resource.Vector{CPU: resource.Cores(1), Memory: 100}

// listen serves a handler on a free port.
func (c *cell) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	c.httpServers = append(c.httpServers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (c *cell) addServers(count int) error {
	for i := range count {
		v := sched.Server{
			ID: sched.ServerID(fmt.Sprintf("s%d", i)), Incarnation: time.Now().UnixMilli(), Service: serviceName, DataCentre: "z1",
			Labels: []string{"a", "r1"}, Capacity: resource.Vector{CPU: resource.Cores(serverCores), Memory: 4096},
		}
		address, err := c.listen(standin.NewServer(c.fleet.Client(), v.ID))
		if err != nil {
			return err
		}
		serverProxy, err := newProxy(address)
		if err != nil {
			return fmt.Errorf("way to a server: %w", err)
		}
		v.Address = serverProxy.address()
		c.fleet.Add(v)
		c.servers, c.serverProxies = append(c.servers, v), append(c.serverProxies, serverProxy)
		if err := c.register(v); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) register(v sched.Server) error {
	raw, err := standin.Registration(v)
	if err != nil {
		return fmt.Errorf("encode a registration: %w", err)
	}
	c.store.Put("servers/"+string(v.ID), raw)
	return nil
}

// configure writes the next version of the configuration.
func (c *cell) writeConfig() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion++
	raw, err := standin.Config(c.configVersion,
		[]standin.Queue{{Name: "q", Host: queueHost, Prefix: queuePrefix, Service: serviceName, Attempts: 3}},
		[]standin.Team{
			{Name: multiKeyTeam, Keys: c.keys[multiKeyTeam]},
			{Name: limitedTeam, Keys: c.keys[limitedTeam], Limit: resource.Vector{CPU: resource.Cores(teamLimitCores)}},
		})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	c.store.Put(standin.ConfigKey, raw)
	return nil
}

// revoke takes a key of the blue team away, but never the last one.
func (c *cell) revokeNextKey() error {
	c.mu.Lock()
	keys := c.keys[multiKeyTeam]
	if len(keys) < 2 {
		c.mu.Unlock()
		return nil
	}
	key := keys[len(keys)-1]
	c.keys[multiKeyTeam] = keys[:len(keys)-1]
	c.mu.Unlock()
	if err := c.writeConfig(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedKeys[key] = time.Now()
	return nil
}

// revokedAt returns when a key was taken away.
func (c *cell) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revokedKeys[key]
	return at, ok
}

// drainTime is how long a draining server runs on at least.
const minDrainTime = 2 * time.Second

// begin starts a fault and returns what ends it.
func (c *cell) startFault(s plannedFault) (end func()) {
	d, n := s.Target%len(c.daemons), s.Target%len(c.servers)
	noEnd := func() {}
	disturb := func(p *proxy, m mode) func() {
		p.setMode(m)
		return func() { p.setMode(modeForward) }
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
		c.storeHTTP.SetDelay(slowStoreDelay)
		return func() { c.storeHTTP.SetDelay(0) }
	case storeCompact:
		c.store.Compact()
	case storeCut:
		return disturb(c.storeProxies[d], modeBlockAll)
	case storeOneWay:
		return disturb(c.storeProxies[d], modeBlockReplies)
	case storeReset:
		return disturb(c.storeProxies[d], modeReset)
	case storeDelay:
		return disturb(c.storeProxies[d], modeDelay)
	case serverSilent:
		return disturb(c.serverProxies[n], modeBlockAll)
	case serverOneWay:
		return disturb(c.serverProxies[n], modeBlockReplies)
	case serverDelay:
		return disturb(c.serverProxies[n], modeDelay)
	case serverCrash:
		v := c.fleet.Crash(c.servers[n].ID)
		c.serverProxies[n].reset() // its connections end with it
		return func() { c.logError(c.register(v)) }
	case serverDrain:
		v := c.servers[n]
		v.Draining, v.Remaining = true, minDrainTime
		c.logError(c.register(v))
		return func() { c.logError(c.register(c.servers[n])) }
	case revokeKey:
		c.logError(c.revokeNextKey())
	case registrationLost:
		c.store.Delete("servers/" + string(c.servers[n].ID))
		return func() { c.logError(c.register(c.servers[n])) }
	}
	return noEnd
}

// note reports an error of the soak itself.
func (c *cell) logError(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

func (c *cell) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *cell) setStoreFault(f func() txstore.Fault) func() {
	c.store.SetFault(func(string, string) txstore.Fault { return f() })
	return func() { c.store.SetFault(nil) }
}

// close ends the daemons that this cell started, and its listeners.
func (c *cell) close() error {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, p := range append(c.serverProxies, c.storeProxies...) {
		p.close()
	}
	var errs []error
	for _, l := range c.httpServers {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
