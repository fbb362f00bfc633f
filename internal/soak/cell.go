package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
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
	multiKeyTeam    = "blue" // has several keys, which are revoked one by one
	limitedTeam     = "red"
	queueHost       = "soak.example"
	queuePrefix     = "/q/"
	advisedPrefix   = "/advised/" // of a queue with an advisor
	serverCores     = 8           // of each backend server
	scarceCores     = 6           // of each backend server in the other profiles than ProfileMixed, so that all are in use
	teamLimitCores  = 12          // CPU limit of limitedTeam
	minTaskDuration = 50 * time.Millisecond
	maxTaskDuration = 900 * time.Millisecond
	slowStoreDelay  = 200 * time.Millisecond // delay of the replies of a slow store
	gracePeriod     = 6 * time.Second
	revocationBound = 5 * time.Second
)

// cell is a deployment on loopback: a simulated store and simulated backend servers in this process, and daemons in separate
// processes.
type cell struct {
	store        *txstore.Store
	storeServers []*standin.StoreServer
	fleet        *runhost.Fleet
	profile      Profile
	proxiedCalls bool // daemons call servers for the leader
	slots        []*slot
	storeProxies []*proxy // from each daemon to the store
	peerProxies  []*proxy // from the other daemons to each one, with ProfileSilentLinks and ProfileServerProxies
	daemons      []*process
	httpServers  []*http.Server
	addresses    *addressBlock // of the daemons
	network      *network      // of a profile with data centres
	evacuations  evacuations   // with ProfileEvacuations

	randomMu sync.Mutex // the store's faults take it under the store's lock, so no call to the store may be made under it
	random   *rand.Rand

	mu            sync.Mutex
	configVersion int
	keys          map[string][]string  // valid API keys by team
	revokedKeys   map[string]time.Time // revoked keys with the time of the revocation
}

// newCell starts a cell. Settings and logs are written to the directory. After an error nothing of the cell is left running.
func newCell(o Options, dir string, seed uint64) (*cell, error) {
	c := &cell{
		profile: o.Profile, proxiedCalls: o.proxiedCalls(),
		store: txstore.New(time.Now), random: rand.New(rand.NewPCG(seed, 5)), revokedKeys: map[string]time.Time{},
		keys: map[string][]string{multiKeyTeam: {"blue-0", "blue-1", "blue-2", "blue-3"}, limitedTeam: {limitedTeam + "-0"}},
	}
	c.fleet = runhost.New(taskDuration, func(sched.TaskID) resource.Vector { return taskDemand })
	c.fleet.SetAdvisor(advisorTiming, advisorAllows)
	c.fleet.SetStartCheck(c.evacuations.checkStart)
	if err := c.start(o, dir, seed); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

// start starts the servers, the proxies and the daemons. After an error some may be running.
func (c *cell) start(o Options, dir string, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := c.addServers(o.Servers); err != nil {
		return err
	}
	if err := c.writeConfig(); err != nil {
		return err
	}
	addresses, err := reserveAddresses(os.Getpid(), seed)
	if err != nil {
		return err
	}
	c.addresses = addresses
	storeAddress, err := c.connect(o.Daemons)
	if err != nil {
		return err
	}
	for i := range o.Daemons {
		storeProxy, err := newProxy(storeAddress(i))
		if err != nil {
			return fmt.Errorf("start a proxy from daemon d%d to the store: %w", i, err)
		}
		c.storeProxies = append(c.storeProxies, storeProxy)
		advisorAddress, err := c.listen(standin.NewAdvisorHandler(c.fleet.Client()))
		if err != nil {
			return err
		}
		node := standin.DaemonSettings{
			Member: ident.MemberID(fmt.Sprintf("d%d", i)), IP: addresses.ip(i),
			StoreAddress: storeProxy.address(), AdvisorAddress: advisorAddress, FirstInternalPort: addresses.port, Grace: gracePeriod, MaxRunLease: runhost.MaxLease,
			StopTimeout: 200 * time.Millisecond, Revocation: revocationBound,
			DataCentre: dataCentreName(c.daemonDataCentre(i)), Region: regionName(c.daemonDataCentre(i)),
		}
		if c.profile == ProfileEvacuations {
			node.Evacuation = evacuationBound
		}
		p, err := newProcess(o.Binary, dir, o.environment(), node)
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, p)
	}
	return nil
}

// connect starts the proxies between daemons and the store as the profile needs them, and returns the address of the store for each
// daemon.
func (c *cell) connect(daemons int) (storeAddress func(daemon int) string, err error) {
	proxies, err := c.addPeerProxies(daemons)
	if err != nil {
		return nil, err
	}
	if c.profile.hasDataCentres() {
		if err := c.addNetwork(daemons, proxies); err != nil {
			return nil, err
		}
		return func(daemon int) string { return c.network.dataCentres[dataCentreOf(daemon)].store.address() }, nil
	}
	address, err := c.addStore(proxies)
	return func(int) string { return address }, err
}

// addPeerProxies puts a proxy before the peer address of each daemon and returns their addresses. The other profiles go without: a
// daemon that is down refuses connections, and its proxy accepts and closes them.
func (c *cell) addPeerProxies(daemons int) (proxies map[string]string, err error) {
	if c.profile != ProfileSilentLinks && c.profile != ProfileServerProxies {
		return nil, nil
	}
	proxies = map[string]string{}
	for i := range daemons {
		own := net.JoinHostPort(c.addresses.ip(i), strconv.Itoa(c.addresses.port))
		p, err := newProxy(own)
		if err != nil {
			return nil, fmt.Errorf("start a proxy to daemon d%d: %w", i, err)
		}
		c.peerProxies = append(c.peerProxies, p)
		proxies[own] = p.address()
	}
	return proxies, nil
}

// daemonDataCentre returns the data centre of a daemon. Daemons make calls only to servers of their own data centre for a leader.
func (c *cell) daemonDataCentre(daemon int) int {
	switch {
	case c.profile.hasDataCentres():
		return dataCentreOf(daemon)
	case !c.proxiedCalls:
		return 0
	}
	return c.slots[daemon*serversPerRack*racksPerDataCentre%len(c.slots)].dataCentre
}

// taskDuration returns the duration of a task. It depends only on the task's id, so that every run takes the same time.
func taskDuration(t sched.TaskID) time.Duration {
	n := uint64(t.Step*31 + t.Index*7)
	for _, b := range []byte(t.Job) {
		n = n*131 + uint64(b)
	}
	return minTaskDuration + time.Duration(n%uint64(maxTaskDuration-minTaskDuration))
}

// advisorTiming has the short calls of a queue whose jobs are urgent.
var advisorTiming = sched.Advisor{BaseTime: 13 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: 3 * time.Second}

var taskDemand = resource.Vector{CPU: resource.Cores(1), Memory: 100}

// listen serves a handler on a free loopback port and returns its address.
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

// writeConfig writes the next version of the configuration to the store.
func (c *cell) writeConfig() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion++
	raw, err := standin.EncodeConfig(c.configVersion,
		[]standin.Queue{
			{Name: "q", Host: queueHost, Prefix: queuePrefix, Service: serviceName, MaxAttempts: 3},
			{Name: "advised", Host: queueHost, Prefix: advisedPrefix, Service: serviceName, MaxAttempts: 3, Advisor: &advisorTiming},
		},
		[]standin.Team{
			{Name: multiKeyTeam, Keys: c.keys[multiKeyTeam]},
			{Name: limitedTeam, Keys: c.keys[limitedTeam], Limit: resource.Vector{CPU: resource.Cores(teamLimitCores)}},
		})
	if err != nil {
		return fmt.Errorf("encode version %d of the configuration: %w", c.configVersion, err)
	}
	c.store.Put(standin.ConfigKey, raw)
	return nil
}

// revokeNextKey revokes the last key of multiKeyTeam, unless it is the only one left.
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

// revokedAt returns the time at which a key was revoked, and whether it was.
func (c *cell) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revokedKeys[key]
	return at, ok
}

// close stops the daemons, the proxies and the HTTP servers.
func (c *cell) close() error {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, p := range append(c.storeProxies, c.peerProxies...) {
		p.close()
	}
	c.network.close()
	for _, s := range c.slots {
		s.currentProxy().close()
	}
	var errs []error
	if c.addresses != nil {
		errs = append(errs, c.addresses.release())
	}
	for _, l := range c.httpServers {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
