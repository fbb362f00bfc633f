//go:build review

package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	restartDelay = 300 * time.Millisecond
	portsOfAHost = 10
	memoryMb     = 284 // of the site's machines
)

// Daemon is a process of the role of deploy/system.toml.
type Daemon struct {
	Name     string
	lab      *Lab
	settings standin.DaemonSettings
	path     string

	mu       sync.Mutex
	command  *exec.Cmd
	expected bool // the current process was killed by the case
	stopped  bool
	ends     int // without a signal of the case; memory over the limit counts

	killedPid int // process that was killed for its memory
}

// AddDaemon starts a daemon on a loopback address of its own and restarts it whenever it ends.
func (l *Lab) AddDaemon() *Daemon {
	n := len(l.Daemons) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%250, n)
	d := &Daemon{Name: "host-" + strconv.Itoa(n), lab: l}
	d.settings = standin.DaemonSettings{
		Member: ident.MemberID(d.Name), DataCentre: zone, Region: "region-a", IP: ip, StoreAddress: l.Store.address,
		FirstInternalPort: freePorts(l, ip), Grace: 6 * time.Second, MaxRunLease: maxHold, StopTimeout: 200 * time.Millisecond,
		Revocation: 5 * time.Second,
	}
	raw, err := d.settings.Encode()
	l.check(err)
	raw = bytes.Replace(raw, []byte("memoryMb = 256"), fmt.Appendf(nil, "memoryMb = %d", memoryMb), 1)
	d.path = filepath.Join(l.dir, d.Name+".toml")
	l.check(os.WriteFile(d.path, raw, 0o600))
	l.Daemons = append(l.Daemons, d)
	d.start()
	go d.keepUp()
	return d
}

// freePorts returns the first of portsOfAHost free ports.
func freePorts(l *Lab, ip string) int {
	for first := 21000; first < 30000; first += portsOfAHost {
		free := true
		for i := range portsOfAHost {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+i)))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return first
		}
	}
	l.check(fmt.Errorf("no free ports at %s", ip))
	return 0
}

func (d *Daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(d.lab.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.lab.check(err)
	d.command = exec.Command("target/rosemaryspoke", "serve")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYSPOKE_BOOT=" + d.path}
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = d.command.Start()
	_ = log.Close()
	if err != nil {
		go d.lab.check(err)
		return
	}
	d.expected = false
	d.lab.Record("daemon %s starts", d.Name)
}

func (d *Daemon) keepUp() {
	for {
		d.mu.Lock()
		c := d.command
		d.mu.Unlock()
		_ = c.Wait() // the error tells the signal
		d.mu.Lock()
		if !d.expected {
			d.ends++
			d.lab.Record("daemon %s ended by itself: %s", d.Name, c.ProcessState)
		}
		stopped := d.stopped
		d.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		d.start()
	}
}

// Kill sends SIGKILL to the process; the daemon is restarted.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expected = true
	d.lab.Record("daemon %s is killed", d.Name)
	_ = d.command.Process.Kill()
}

// end kills the process for good.
func (d *Daemon) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped, d.expected = true, true
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Kill()
	}
}

// OwnEnds returns how often the daemon's processes ended without a signal of the case, also for memory over the limit.
func (d *Daemon) OwnEnds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends
}

// Leader returns the daemon that last wrote to the store under a condition: the one that the leader record names.
func (l *Lab) Leader() *Daemon {
	item, ok := l.Store.Peek("cell/leader")
	var record struct {
		Member string `json:"member"`
	}
	if !ok || json.Unmarshal(item.Value, &record) != nil {
		return nil
	}
	for _, d := range l.Daemons {
		if d.Name == record.Member {
			return d
		}
	}
	return nil
}

// KillAboveMemory ends each process that exceeds memoryMb, as the platform does, until the case ends.
func (l *Lab) KillAboveMemory() {
	for range time.Tick(50 * time.Millisecond) {
		for _, d := range l.Daemons {
			d.mu.Lock()
			if used := residentMb(d.command.Process.Pid); used > memoryMb && d.killedPid != d.command.Process.Pid {
				d.killedPid = d.command.Process.Pid
				l.Record("platform: daemon %s uses %d MB, more than memoryMb = %d, and is killed", d.Name, used, memoryMb)
				_ = d.command.Process.Kill()
			}
			d.mu.Unlock()
		}
	}
}

// residentMb returns the resident memory of a process, or 0 once it has ended.
func residentMb(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		var kb int
		if n, _ := fmt.Sscanf(string(line), "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
