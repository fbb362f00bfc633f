//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	serviceName = "quoting"
	callerHost  = "lab.example"
	memoryMB    = 284 // of each machine, as at both installations
	workerCPU   = 5000
)

// settings is a daemon's settings file, as DEPLOY.md shows it, with the bounds of Bensalem.
const settings = `node = %q
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "sfax-a"
region = "sfax"
internalPorts = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
controlMode = "request"
advice = ""
[zones]
sfax-a = "sfax"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
graceS = 6
failClosed = true
revokeMs = 5000
holdMaxMs = 10000
stopTimeoutMs = 200
early_ms = 250
status_s = 120
checkpointIntervalS = 2
restoreMs = 250
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// cell is a small deployment: the store and the workers in this process, and daemons as processes of the deploy file.
type cell struct {
	record  *record
	history *history
	dir     string
	port    int // the first internal port of the daemons
	store   *txstore.Store
	workers []*worker
	daemons []*daemon

	mu  sync.Mutex
	cpu map[string]int // of a task of a job
}

func newCell(r *record) (*cell, error) {
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	return &cell{record: r, history: newHistory(), dir: dir, store: txstore.New(time.Now), cpu: map[string]int{}}, nil
}

// prepare starts workers and three daemons.
func (c *cell) prepare(workers int, ends func(task string, run int) outcome) error {
	if err := c.addWorkers(workers, ends); err != nil {
		return err
	}
	if err := c.configure(); err != nil {
		return err
	}
	return c.startDaemons(3)
}

// isOf reports whether a task belongs to one of some jobs, which are guarded by mu.
func (c *cell) isOf(task string, jobs map[string]bool) bool {
	id, _, _ := strings.Cut(task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	return jobs[id]
}

// addWorkers starts and registers workers of five cores.
func (c *cell) addWorkers(count int, ends func(task string, run int) outcome) error {
	for i := range count {
		w, err := newWorker(c.record, c.history, sched.Server{
			ID: sched.ServerID(fmt.Sprintf("w%d", i+1)), Service: serviceName, DataCentre: "sfax-a", Labels: []string{"a", fmt.Sprintf("r%d", i+1)},
			Capacity: resource.Vector{CPU: workerCPU, Memory: 32768},
		}, ends)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		if err := c.register(w); err != nil {
			return err
		}
	}
	return nil
}

// lapse removes the registration of a worker that doesn't reach the store, after three intervals of silence.
func (c *cell) lapse(w *worker) {
	time.AfterFunc(second(4.5), func() { c.store.Delete("servers/" + string(w.info.ID)) })
}

// register writes the registration of a worker.
func (c *cell) register(w *worker) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	raw, err := standin.EncodeRegistration(w.info)
	if err != nil {
		return fmt.Errorf("encode the registration of %s: %w", w.info.ID, err)
	}
	c.store.Put("servers/"+string(w.info.ID), raw)
	return nil
}

// configure writes the configuration: a queue of each priority of the site's queues of this service, with their figures, and two tenants.
func (c *cell) configure() error {
	route := func(name string, priority int, stretch, target float64) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "prefix": "/" + name + "/", "service": serviceName, "priority": priority, "maxAttempts": 4,
			"stretch": stretch, "targetDurationMs": target,
		}
	}
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{"key-" + name}, "weight": 100, "maxCount": map[string]any{}}
	}
	raw, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route("urgent", 0, 1.5, 300), route("lasting", 1, 2.2, 2500), route("batch", 2, 4, 3000)}, "tenants": []any{tenant("blue"), tenant("red")},
		"services": []any{map[string]any{"name": serviceName}}, "limits": map[string]any{"maxBodyBytes": maxBodyBytes},
	})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	c.store.Put("op/config", raw)
	return nil
}

// startDaemons starts daemons and waits until one of them has led for two seconds, or at most five seconds.
func (c *cell) startDaemons(count int) error {
	network := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, 1+os.Getpid()/128%250)
	if c.port == 0 {
		l, err := net.Listen("tcp", network+"1:0")
		if err != nil {
			return fmt.Errorf("look for a free port: %w", err)
		}
		c.port = min(l.Addr().(*net.TCPAddr).Port, 65_000)
		if err := l.Close(); err != nil {
			return fmt.Errorf("look for a free port: %w", err)
		}
	}
	for range count {
		front, err := newStoreFront(c.store)
		if err != nil {
			return err
		}
		n := len(c.daemons) + 1
		d := &daemon{
			record: c.record, name: fmt.Sprintf("edge-%d", n), ip: fmt.Sprintf("%s%d", network, n), port: c.port, store: front, ended: make(chan struct{}),
		}
		c.daemons = append(c.daemons, d)
		if err := d.begin(c.dir, front.address); err != nil {
			return err
		}
	}
	for range 60 {
		time.Sleep(50 * time.Millisecond)
		if _, led := c.store.Peek("cell/leader"); led {
			break
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// close ends all daemons and removes the folder with their settings and logs.
func (c *cell) close() {
	for _, d := range c.daemons {
		d.remove()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// daemon is a process that is started again after each end, as by the platform, until it is removed.
type daemon struct {
	record   *record
	name, ip string
	port     int // of the first internal port; the port of callers is ten higher
	settings string
	store    *storeFront
	log      *os.File
	ended    chan struct{}

	mu      sync.Mutex
	process *exec.Cmd
	removed bool
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, d.port+10) }

// begin writes the settings and starts the process.
func (d *daemon) begin(dir, storeAddress string) error {
	d.settings = filepath.Join(dir, d.name+".toml")
	text := fmt.Sprintf(settings, d.name, d.ip, d.port, d.port+9, d.ip, d.port+10, d.ip, d.port+11, memoryMB, storeAddress)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	var err error
	if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	if err := d.start(); err != nil {
		return err
	}
	go d.restart()
	return nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	p := exec.Command("target/rosemaryspoke", "serve")
	p.Env = append(os.Environ(), "ROSEMARYSPOKE_BOOT="+d.settings)
	p.Stdout, p.Stderr = d.log, d.log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed {
		return nil
	}
	if err := p.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	d.process = p
	return nil
}

func (d *daemon) restart() {
	defer close(d.ended)
	for {
		d.mu.Lock()
		p := d.process
		d.mu.Unlock()
		_ = p.Wait() // the cases kill processes
		d.record.note("%s: the process has ended", d.name)
		time.Sleep(300 * time.Millisecond)
		d.mu.Lock()
		removed := d.removed
		d.mu.Unlock()
		if removed || d.start() != nil {
			return
		}
	}
}

// kill ends the process.
func (d *daemon) kill(why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.note("%s: killed, %s", d.name, why)
	_ = d.process.Process.Kill()
}

// remove ends the daemon for good.
func (d *daemon) remove() {
	d.mu.Lock()
	d.removed = true
	d.mu.Unlock()
	d.kill("removed")
	<-d.ended
}
