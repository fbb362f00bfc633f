package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// restartDelay is the time between the exit of a daemon and its restart.
const restartDelay = 300 * time.Millisecond

var errStopped = errors.New("daemon not restarted: the soak test has stopped it")

// process runs a daemon as a separate process and restarts it after every exit until stop is called.
type process struct {
	binary       string
	node         standin.DaemonSettings
	settingsPath string
	environment  []string
	logFile      *os.File

	mu              sync.Mutex
	command         *exec.Cmd
	unexpectedExits int           // exits that no call of signal caused
	stopping        bool          // the current process was sent SIGTERM or SIGKILL
	stopped         bool          // stop was called, so there are no more restarts
	done            chan struct{} // closed when restartLoop returns
}

// newProcess writes the settings of a daemon and starts it.
func newProcess(binary, dir string, environment []string, node standin.DaemonSettings) (*process, error) {
	settings, err := node.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", node.Member, err)
	}
	p := &process{
		binary: binary, node: node, settingsPath: filepath.Join(dir, string(node.Member)+".toml"), environment: environment,
		done: make(chan struct{}),
	}
	if err = os.WriteFile(p.settingsPath, settings, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", node.Member, err)
	}
	p.logFile, err = os.Create(filepath.Join(dir, string(node.Member)+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", node.Member, err)
	}
	if err := p.start(); err != nil {
		_ = p.logFile.Close()
		return nil, err
	}
	go p.restartLoop()
	return p, nil
}

// start starts the daemon's process, unless stop was called.
func (p *process) start() error {
	c := exec.Command(p.binary, "serve", "--log-level", "1")
	c.Env = append(append(os.Environ(), p.environment...), "ROSEMARYSPOKE_BOOT="+p.settingsPath)
	c.Stdout, c.Stderr = p.logFile, p.logFile
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStopped // a process started now would keep running after stop
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start daemon %s: %w", p.node.Member, err)
	}
	p.command, p.stopping = c, false
	return nil
}

// restartLoop waits for the process to exit and restarts the daemon, until stop is called.
func (p *process) restartLoop() {
	defer close(p.done)
	for {
		p.mu.Lock()
		c := p.command
		p.mu.Unlock()
		_ = c.Wait() // signals end the process, so an error is expected
		p.mu.Lock()
		if !p.stopping {
			p.unexpectedExits++
		}
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			_, _ = fmt.Fprintln(p.logFile, err) // errStopped is logged too
			return
		}
	}
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	_ = p.command.Process.Signal(s) // an error means that the process has exited
}

// stop kills the daemon, also if it is frozen, and ends the restarts.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.logFile.Close()
}

// unexpectedExitCount returns the number of exits that no signal caused.
func (p *process) unexpectedExitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
