package inbound_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// The limits in the daemons' settings, which are the bounds of the tests. They are lowered so that a small set of connections shows a
// missing bound: the smallest hosts have 184 MB and 4,100 descriptors.
const (
	memoryMB       = 96
	maxDescriptors = 600
	answerTimeout  = 20 * time.Second // for an ordinary request, with repetitions
	queueHost      = "inbound.example"
	queuePrefix    = "/q/"
	callerKey      = "key"
	firstPort      = 21000
)

// binary is the program, built without the race detector, which multiplies memory.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "inbound")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "rosemaryspoke")
	build := exec.Command("go", "build", "-o", binary, "github.com/rosemaryspoke/rosemaryspoke/cmd/rosemaryspoke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// cell is a store and a few servers in this process, and daemons in processes of their own.
type cell struct {
	t       *testing.T
	store   string // its address
	records *txstore.Store
	daemons []*daemon
}

// daemon is a running process with the highest number of descriptors that was seen.
type daemon struct {
	settings    standin.DaemonSettings
	command     *exec.Cmd
	log         output
	exited      chan struct{}
	descriptors atomic.Int64
}

// output is what a process has written.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns what was written.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

var addressCount atomic.Int64

// newCell starts a cell and waits until an ordinary request is answered at each daemon.
func newCell(t *testing.T, daemons int) *cell {
	t.Helper()
	store := txstore.New(time.Now)
	fleet := runhost.New(func(sched.TaskID) time.Duration { return 10 * time.Millisecond },
		func(sched.TaskID) resource.Vector { return resource.Vector{CPU: 100} })
	for i := range 3 {
		v := sched.Server{
			ID: sched.ServerID(fmt.Sprintf("s%d", i)), Service: "pool", DataCentre: "z1", Labels: []string{"cpu", "rack-0"},
			Capacity: resource.Vector{CPU: resource.Cores(8), Memory: 1 << 14}, Incarnation: 1,
		}
		v.Address = listen(t, standin.NewBackendHandler(fleet.Client(), v.ID))
		fleet.Add(v)
		raw, err := standin.EncodeRegistration(v)
		if err != nil {
			t.Fatal(err)
		}
		store.Put("servers/"+string(v.ID), raw)
	}
	raw, err := standin.EncodeConfig(1,
		[]standin.Queue{{Name: "q", Host: queueHost, Prefix: queuePrefix, Service: "pool", MaxAttempts: 3}},
		[]standin.Team{{Name: "blue", Keys: []string{callerKey}}})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(standin.ConfigKey, raw)
	c := &cell{t: t, records: store, store: listen(t, standin.NewStoreServer(store).Handler())}
	for i := range daemons {
		c.daemons = append(c.daemons, c.startDaemon(i))
	}
	for _, d := range c.daemons {
		c.request(d)
	}
	return c
}

func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func (c *cell) startDaemon(i int) *daemon {
	c.t.Helper()
	pid := os.Getpid()
	d := &daemon{exited: make(chan struct{}), settings: standin.DaemonSettings{
		Member: ident.MemberID(fmt.Sprintf("d%d", i)), StoreAddress: c.store, FirstInternalPort: firstPort,
		IP:    fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&63, pid&255, 1+addressCount.Add(1)%250),
		Grace: 2 * time.Second, MaxRunLease: runhost.MaxLease, StopTimeout: 200 * time.Millisecond, Revocation: 5 * time.Second,
		MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}}
	raw, err := d.settings.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		c.t.Fatal(err)
	}
	d.command = exec.Command(binary, "serve")
	d.command.Env = append(os.Environ(), "ROSEMARYSPOKE_BOOT="+file)
	d.command.Stdout, d.command.Stderr = &d.log, &d.log
	if err := d.command.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		defer close(d.exited)
		_ = d.command.Wait()
	}()
	go d.countDescriptors()
	c.t.Cleanup(d.kill)
	return d
}

func (d *daemon) kill() {
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

func (d *daemon) countDescriptors() {
	for {
		select {
		case <-d.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid)); err == nil {
			d.descriptors.Store(max(d.descriptors.Load(), int64(len(files))))
		}
	}
}

// peakMemory returns the highest resident memory of the process in bytes.
func (d *daemon) peakMemory() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the status of the process: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of the process")
}

var jobCount atomic.Int64

// request submits an ordinary job, again until it is accepted, and fails the test if it never is.
func (c *cell) request(d *daemon) {
	c.t.Helper()
	caller := standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: callerKey, Client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second,
	}}
	id := ident.JobID(fmt.Sprintf("%016x", jobCount.Add(1)))
	deadline := time.Now().Add(answerTimeout)
	for {
		ctx, cancel := context.WithTimeout(c.t.Context(), 4*time.Second)
		reply, err := caller.Submit(ctx, d.settings.CallerAddress(), id, []sched.Step{{Count: 1, Demand: resource.Vector{CPU: 100}}})
		cancel()
		if err == nil && reply.Code == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			c.t.Errorf("%s: no ordinary request was accepted: status %d, %v", d.settings.Member, reply.Code, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// check checks that a daemon lives, answers, and has stayed within its memory and its descriptors.
func (c *cell) check(d *daemon) {
	c.t.Helper()
	select {
	case <-d.exited:
		c.t.Errorf("%s has ended: %s", d.settings.Member, tail(d.log.String()))
		return
	default:
	}
	c.request(d)
	peak, err := d.peakMemory()
	if err != nil {
		c.t.Error(err)
	}
	c.t.Logf("%s: peak %d MB, %d descriptors", d.settings.Member, peak>>20, d.descriptors.Load())
	if peak > memoryMB<<20 {
		c.t.Errorf("%s: %d MB resident at the peak, the host has %d MB", d.settings.Member, peak>>20, memoryMB)
	}
	if n := d.descriptors.Load(); n > maxDescriptors {
		c.t.Errorf("%s: %d descriptors, at most %d allowed", d.settings.Member, n, maxDescriptors)
	}
}

func tail(log string) string { return log[max(0, len(log)-2000):] }
